/**
 * Hybrid logical clock: stays close to the wall clock, and is always later than every event that the host knows of.
 * Events are thus ordered by causality even across hosts with different wall clocks. The timestamps serve for ordering
 * events only; no decision depends on them.
 */
import type {HybridTime} from 'heatherpond-core';

/** Hybrid logical clock of one host. */
export type HybridClock = {
	/** Returns a timestamp for an event that happens now, later than all timestamps returned before. */
	readonly readHybridTime: () => HybridTime;
	/** Advances the clock past a timestamp received with a message. */
	readonly applyRemoteTime: (remote: HybridTime) => void;
};

/** Received timestamps that are further ahead of the local wall clock are ignored. */
const MAX_CLOCK_SKEW_MS = 600_000;

/**
 * Creates the hybrid logical clock of a host.
 *
 * @param host - name of the host
 * @param readWallMs - returns the wall-clock time in Unix milliseconds, which may jump forwards or backwards
 */
export function createHybridClock(host: string, readWallMs: () => number): HybridClock {
	let wallMs = 0;
	let counter = 0;

	return {
		readHybridTime() {
			const now = Math.floor(readWallMs());
			counter = now > wallMs ? 0 : counter + 1;
			wallMs = Math.max(wallMs, now);
			return {wallMs, counter, host};
		},
		applyRemoteTime(remote) {
			const isNewer = remote.wallMs > wallMs || (remote.wallMs === wallMs && remote.counter > counter);
			if (isNewer && remote.wallMs <= readWallMs() + MAX_CLOCK_SKEW_MS) {
				({wallMs, counter} = remote);
			}
		},
	};
}

/** Compares two timestamps for sorting: negative if `left` is earlier. */
export function compareHybridTimes(left: HybridTime, right: HybridTime): number {
	return left.wallMs - right.wallMs || left.counter - right.counter || (left.host < right.host ? -1 : Number(left.host > right.host));
}

const TIME_PATTERN = /^(?<wallMs>\d{1,16})\.(?<counter>\d{1,12})@(?<host>.+)$/v;

/** Formats a timestamp for log lines and messages, as `milliseconds.counter@host`. */
export function formatHybridTime({wallMs, counter, host}: HybridTime): string {
	return `${wallMs}.${counter}@${host}`;
}

/** Parses a timestamp in the format of `formatHybridTime`; `undefined` for any other text. */
export function parseHybridTime(text: string): HybridTime | undefined {
	const groups = TIME_PATTERN.exec(text)?.groups;
	return groups && {wallMs: Number(groups.wallMs), counter: Number(groups.counter), host: groups.host!};
}
