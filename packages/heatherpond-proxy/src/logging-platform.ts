/** Logs unreadable data in the platform. The host cannot follow the log past such data, and operators must learn why. */
import {PortError, type PlatformPort} from 'heatherpond-core';
import type {Logger} from 'heatherpond-observe';

/** Wraps a platform port so that errors with code `invalid` are logged. Repetitions of the same error are logged once. */
export function createLoggingPlatform(platform: PlatformPort, logger: Logger): PlatformPort {
	let reported = '';

	async function runLogged<Result>(call: string, work: () => Promise<Result>): Promise<Result> {
		try {
			return await work();
		} catch (error) {
			const reason = (error as Error).message;
			if (error instanceof PortError && error.code === 'invalid' && reason !== reported) {
				reported = reason;
				logger.error('platformUnreadable', {call, reason});
			}

			throw error;
		}
	}

	return {
		...platform,
		readEntries: async (version, options) => runLogged('readEntries', async () => platform.readEntries(version, options)),
		appendEntry: async (draft, version, options) => runLogged('appendEntry', async () => platform.appendEntry(draft, version, options)),
		readSnapshot: async options => runLogged('readSnapshot', async () => platform.readSnapshot(options)),
	};
}
