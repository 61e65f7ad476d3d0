/** Notices that a connection answers nothing at all, while a new connection to the same database would. */
import type {CallerContext} from './caller-context.js';
import type {RunningRequest, Work} from './running-request.js';

/**
 * Watches one exchange. At the first silence the database is asked on a new connection. When that one answers, idle
 * connections are pinged at once. A read gives its connection up either way and is run elsewhere. A connection that is
 * given up leaves the outcome of a write unknown, so a write waits on, unless the pings show that the connections which
 * were open when it was sent have all gone silent. Each time a read is moved it is given twice as long, so that a slow
 * one ends.
 *
 * @returns ends the watch
 */
export function startSilenceWatch(context: CallerContext, work: Work, running: RunningRequest, isInTransaction: boolean): () => void {
	const {services} = context;
	const {connection} = work.loan;
	const framesBefore = connection.countFrames();
	const sentAt = services.clock.readNow();
	let isWatching = true;
	let stopTimer = registerLook(running.silences);

	function registerLook(doublings: number): () => void {
		return services.clock.registerTimer(services.clock.readNow() + (services.limits.silenceMs * (2 ** doublings)), () => {
			void handleSilence(doublings);
		});
	}

	function isSilent(): boolean {
		return isWatching && connection.countFrames() === framesBefore;
	}

	async function handleSilence(doublings: number): Promise<void> {
		if (!isSilent()) {
			return;
		}

		const isAlive = await services.probe(work.member, services.clock.readNow() + services.limits.silenceMs, running.cancellation.signal);
		const checked = isAlive && isSilent() ? services.pools.checkIdle(work.group, work.member) : undefined;
		if (running.request.isRead && !isInTransaction && isSilent()) {
			running.silences++;
			connection.destroy();
			return;
		}

		await checked;
		if (!isSilent()) {
			return;
		}

		if (isAlive && services.pools.isSilentSince(work.group, work.member, sentAt)) {
			services.recordEvent('requestGivenUp', {request: running.requestId, database: work.member.name, reason: 'the connections to the database have gone silent'});
			connection.destroy();
			return;
		}

		stopTimer = registerLook(doublings + 1);
	}

	return () => {
		isWatching = false;
		stopTimer();
	};
}
