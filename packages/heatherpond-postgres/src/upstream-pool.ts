/**
 * Connection pool of one database. `openCount` counts every connection that is open or being opened and is decremented
 * exactly once for each, when it has closed or failed to open. A released connection goes directly to the first waiter,
 * so that it can neither be lost nor be taken by a later request.
 */
import {serialize} from 'pg-protocol';
import type {Clock, Instant} from 'heatherpond-core';
import {applyPooledEvent, INITIAL_STATE, type PooledState} from './pooled-connection.js';
import {UpstreamError} from './postgres-error.js';
import type {UpstreamConnection} from './upstream-connection.js';
import type {ConnectionWaitOptions, ConnectionHandle} from './upstream-pools.js';

/** Options of a connection pool. */
export type UpstreamPoolOptions = {
	readonly clock: Clock;
	/** Opens a connection; rejects with an UpstreamError. */
	readonly open: () => Promise<UpstreamConnection>;
	/** Reads the maximum number of open connections. */
	readonly readMaxConnections: () => number;
	/** Whether idle and released connections are to be closed and no new ones opened. */
	readonly isDraining: () => boolean;
};

/** Pool of connections to one database. */
export type UpstreamPool = {
	/**
	 * Acquires a connection; rejects with an UpstreamError when none is available by the deadline or the signal aborts.
	 */
	readonly acquire: (options: ConnectionWaitOptions) => Promise<ConnectionHandle>;
	readonly countOpen: () => number;
	readonly countIdle: () => number;
	/**
	 * Applies a changed limit or draining state: serves waiters, and closes idle connections that exceed the limit or
	 * are draining.
	 */
	readonly refresh: () => void;
	/**
	 * Pings connections that have been idle for at least `idleMs` milliseconds and destroys those that do not respond;
	 * resolves when all pings have completed.
	 */
	readonly pingIdle: (idleMs: number) => Promise<void>;
	/**
	 * Whether recent pings covered connections that were opened before an instant, and none of these pings was answered.
	 */
	readonly isUnresponsiveSince: (instant: Instant) => boolean;
};

type PooledConnection = {readonly connection: UpstreamConnection; readonly openedAt: Instant; state: PooledState};

/** Result of a completed ping. */
type PingResult = {readonly openedAt: Instant; readonly endedAt: Instant; readonly hasResponded: boolean};

type Waiter = {readonly resolve: (pooled: PooledConnection) => void; readonly reject: (error: unknown) => void};

/** Milliseconds within which an idle connection must respond to a ping. */
const PING_TIMEOUT_MS = 500;
/** Milliseconds for which ping results are taken into account. */
const PING_RESULT_TTL_MS = 3000;

export function createUpstreamPool(options: UpstreamPoolOptions): UpstreamPool {
	const {clock, open, readMaxConnections, isDraining} = options;
	const idle: PooledConnection[] = [];
	const waiters = new Set<Waiter>();
	const pendingPings = new Set<Promise<void>>();
	let pingResults: readonly PingResult[] = [];
	let openCount = 0;

	function handleClose(pooled: PooledConnection): void {
		pooled.state = applyPooledEvent(pooled.state, {type: 'close'});
		const index = idle.indexOf(pooled);
		if (index !== -1) {
			idle.splice(index, 1);
		}

		openCount--;
		resolveWaiters();
	}

	function releaseConnection(pooled: PooledConnection): void {
		const {connection} = pooled;
		if (!connection.isOpen()) {
			return;
		}

		if (isDraining() || openCount > Math.max(1, readMaxConnections())) {
			connection.destroy();
			return;
		}

		pooled.state = applyPooledEvent(pooled.state, {type: 'return', at: clock.readNow()});
		idle.push(pooled);
		resolveWaiters();
	}

	/** Opens a connection and hands it to the first waiter. If that fails, the first waiter is rejected. */
	async function openConnection(): Promise<void> {
		openCount++;
		try {
			const pooled: PooledConnection = {connection: await open(), openedAt: clock.readNow(), state: INITIAL_STATE};
			pooled.connection.registerCloseListener(() => {
				handleClose(pooled);
			});
			opening--;
			releaseConnection(pooled);
		} catch (error) {
			opening--;
			openCount--;
			const [waiter] = waiters;
			waiter?.reject(error);
			resolveWaiters();
		}
	}

	function resolveWaiters(): void {
		while (waiters.size > 0 && idle.length > 0) {
			const [waiter] = waiters;
			const pooled = idle.pop()!;
			if (pooled.connection.isOpen()) {
				// The state changes before the waiter resumes, because the connection may close in between.
				pooled.state = applyPooledEvent(pooled.state, {type: 'acquire'});
				waiter!.resolve(pooled);
			}
		}

		openForWaiters();
	}

	let opening = 0;
	function openForWaiters(): void {
		while (waiters.size > opening && openCount < readMaxConnections() && !isDraining()) {
			opening++;
			void openConnection();
		}
	}

	async function waitForConnection({deadline, signal}: ConnectionWaitOptions): Promise<PooledConnection> {
		return new Promise<PooledConnection>((resolve, reject) => {
			const stopTimer = clock.registerTimer(deadline, () => {
				waiter.reject(new UpstreamError('no pooled connection became available by the deadline'));
			});
			function handleAbort(): void {
				waiter.reject(new UpstreamError('the wait for a pooled connection was canceled'));
			}

			function stopWaiting(): void {
				waiters.delete(waiter);
				stopTimer();
				signal.removeEventListener('abort', handleAbort);
			}

			const waiter: Waiter = {
				resolve(pooled) {
					stopWaiting();
					resolve(pooled);
				},
				reject(error) {
					stopWaiting();
					reject(error);
				},
			};
			if (signal.aborted) {
				handleAbort();
				return;
			}

			signal.addEventListener('abort', handleAbort, {once: true});
			waiters.add(waiter);
			openForWaiters();
		});
	}

	function takeIdle(): PooledConnection | undefined {
		const pooled = idle.pop();
		if (!pooled) {
			return undefined;
		}

		if (!pooled.connection.isOpen()) {
			return takeIdle();
		}

		pooled.state = applyPooledEvent(pooled.state, {type: 'acquire'});
		return pooled;
	}

	async function checkConnection(pooled: PooledConnection): Promise<void> {
		pooled.state = applyPooledEvent(pooled.state, {type: 'ping'});
		try {
			const {status} = await pooled.connection.exchange([serialize.sync()], () => undefined, clock.readNow() + PING_TIMEOUT_MS);
			if (status === 'I') {
				recordPing(pooled, true);
				releaseConnection(pooled);
				return;
			}
		} catch {
			// A connection that does not respond is destroyed below.
		}

		recordPing(pooled, false);
		pooled.connection.destroy();
	}

	function recordPing({openedAt}: PooledConnection, hasResponded: boolean): void {
		const endedAt = clock.readNow();
		pingResults = [...pingResults.filter(ping => ping.endedAt > endedAt - PING_RESULT_TTL_MS), {openedAt, endedAt, hasResponded}];
	}

	return {
		async acquire(acquireOptions) {
			const pooled = (waiters.size === 0 ? takeIdle() : undefined) ?? await waitForConnection(acquireOptions);
			return createConnectionHandle(pooled, releaseConnection);
		},
		countOpen: () => openCount,
		countIdle: () => idle.length,
		refresh() {
			const excess = isDraining() ? idle.length : Math.min(idle.length, Math.max(0, openCount - Math.max(1, readMaxConnections())));
			idle.splice(0, excess).forEach(item => {
				item.connection.destroy();
			});
			resolveWaiters();
		},
		isUnresponsiveSince(instant) {
			const now = clock.readNow();
			const relevant = pingResults.filter(({openedAt, endedAt}) => openedAt < instant && endedAt > now - PING_RESULT_TTL_MS);
			return relevant.length > 0 && relevant.every(({hasResponded}) => !hasResponded);
		},
		async pingIdle(idleMs) {
			const now = clock.readNow();
			const due = idle.filter(({state}) => state.kind === 'idle' && now - state.since >= idleMs);
			due.forEach(pooled => {
				idle.splice(idle.indexOf(pooled), 1);
				const check = checkConnection(pooled).finally(() => {
					pendingPings.delete(check);
				});
				pendingPings.add(check);
			});
			await Promise.all(pendingPings);
		},
	};
}

function createConnectionHandle(pooled: PooledConnection, releaseConnection: (pooled: PooledConnection) => void): ConnectionHandle {
	let isReleased = false;
	return {
		connection: pooled.connection,
		release(isClean) {
			if (isReleased) {
				return;
			}

			isReleased = true;
			if (isClean) {
				releaseConnection(pooled);
			} else {
				pooled.connection.destroy();
			}
		},
	};
}
