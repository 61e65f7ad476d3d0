/** Detects unresponsive connections: those on which a database sends nothing while it may respond on new ones. */
import type {ClientContext} from './client-context.js';
import type {RunningRequest, ConnectionAssignment} from './running-request.js';

/**
 * Watches one exchange. When nothing has been received for `silenceMs`, the database is probed on a new connection, and
 * if the probe succeeds, its idle connections are pinged. A read outside a transaction then abandons its connection,
 * whatever the probe showed, and is retried. Abandoning a write would leave its outcome unknown, so a write keeps waiting
 * unless the pings show that the connections that were open when it was sent are all unresponsive. The time-out doubles
 * with every check and with every retry of a read, so that a slow read can complete.
 *
 * @returns function that stops the watchdog
 */
export function startResponseWatchdog(context: ClientContext, assignment: ConnectionAssignment, running: RunningRequest, isInTransaction: boolean): () => void {
	const {services} = context;
	const {connection} = assignment.handle;
	const initialFrameCount = connection.countFrames();
	const sentAt = services.clock.readNow();
	let isWatching = true;
	let stopTimer = registerCheck(running.abandonedConnections);

	function registerCheck(doublings: number): () => void {
		return services.clock.registerTimer(services.clock.readNow() + (services.limits.silenceMs * (2 ** doublings)), () => {
			void handleTimeout(doublings);
		});
	}

	function isUnresponsive(): boolean {
		return isWatching && connection.countFrames() === initialFrameCount;
	}

	async function handleTimeout(doublings: number): Promise<void> {
		if (!isUnresponsive()) {
			return;
		}

		const isAlive = await services.probe(assignment.member, services.clock.readNow() + services.limits.silenceMs, running.cancellation.signal);
		const pinged = isAlive && isUnresponsive() ? services.pools.pingIdle(assignment.group, assignment.member) : undefined;
		if (running.request.isRead && !isInTransaction && isUnresponsive()) {
			running.abandonedConnections++;
			connection.destroy();
			return;
		}

		await pinged;
		if (!isUnresponsive()) {
			return;
		}

		if (isAlive && services.pools.isUnresponsiveSince(assignment.group, assignment.member, sentAt)) {
			services.recordEvent('requestGivenUp', {request: running.requestId, database: assignment.member.name, reason: 'connections to the database are unresponsive'});
			connection.destroy();
			return;
		}

		stopTimer = registerCheck(doublings + 1);
	}

	return () => {
		isWatching = false;
		stopTimer();
	};
}
