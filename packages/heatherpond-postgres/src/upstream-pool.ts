/**
 * The pool of one database. `open` counts every connection that is open or being opened; each one is counted off
 * exactly once, when it has closed or failed to open. Freed room is handed to the first waiter directly, so it can
 * neither be lost nor be taken by a later request.
 */
import {serialize} from 'pg-protocol';
import type {Clock, Instant} from 'heatherpond-core';
import {applyPooledEvent, OPENED, type PooledState} from './pooled-connection.js';
import {UpstreamError} from './postgres-error.js';
import type {UpstreamConnection} from './upstream-connection.js';
import type {AcquireOptions, Loan} from './upstream-pools.js';

/** How a pool runs. */
export type UpstreamPoolOptions = {
	readonly clock: Clock;
	/** Opens a connection; rejects with an UpstreamError. */
	readonly open: () => Promise<UpstreamConnection>;
	/** Decides how many connections may be open. */
	readonly readCap: () => number;
	/** Tells whether idle connections are to be closed and released ones not kept. */
	readonly isLeaving: () => boolean;
};

/** Connections to one database. */
export type UpstreamPool = {
	readonly acquire: (options: AcquireOptions) => Promise<Loan>;
	readonly countOpen: () => number;
	readonly countIdle: () => number;
	/** Serves waiters for whom there is room now, and closes what is over the cap or leaving. */
	readonly refresh: () => void;
	/** Pings connections that have been idle for `idleMs` milliseconds or longer and destroys those that are silent; resolves when all pings are over. */
	readonly checkIdle: (idleMs: number) => Promise<void>;
	/** Whether the connections that were open at an instant have gone silent, as pings of idle ones have shown lately. */
	readonly isSilentSince: (instant: Instant) => boolean;
};

type Pooled = {readonly connection: UpstreamConnection; readonly openedAt: Instant; state: PooledState};

/** A ping that is over. */
type Ping = {readonly openedAt: Instant; readonly endedAt: Instant; readonly isAnswered: boolean};

type Waiter = {readonly resolve: (pooled: Pooled) => void; readonly reject: (error: unknown) => void};

/** Milliseconds within which an idle connection must answer a ping. */
const PING_TIMEOUT_MS = 500;
/** Milliseconds for which pings count as evidence. */
const EVIDENCE_MS = 3000;

/** Creates an empty pool. */
export function createUpstreamPool(options: UpstreamPoolOptions): UpstreamPool {
	const {clock, open, readCap, isLeaving} = options;
	const idle: Pooled[] = [];
	const waiters = new Set<Waiter>();
	const checks = new Set<Promise<void>>();
	let pings: readonly Ping[] = [];
	let openCount = 0;

	function handleClose(pooled: Pooled): void {
		pooled.state = applyPooledEvent(pooled.state, {type: 'close'});
		const index = idle.indexOf(pooled);
		if (index !== -1) {
			idle.splice(index, 1);
		}

		openCount--;
		answerWaiters();
	}

	function releaseConnection(pooled: Pooled): void {
		const {connection} = pooled;
		if (!connection.isOpen()) {
			return;
		}

		if (isLeaving() || openCount > Math.max(1, readCap())) {
			connection.destroy();
			return;
		}

		pooled.state = applyPooledEvent(pooled.state, {type: 'return', at: clock.readNow()});
		idle.push(pooled);
		answerWaiters();
	}

	/** Opens one connection for whoever waits first when it is ready. */
	async function openOne(): Promise<void> {
		openCount++;
		try {
			const pooled: Pooled = {connection: await open(), openedAt: clock.readNow(), state: OPENED};
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
			answerWaiters();
		}
	}

	function answerWaiters(): void {
		while (waiters.size > 0 && idle.length > 0) {
			const [waiter] = waiters;
			const pooled = idle.pop()!;
			if (pooled.connection.isOpen()) {
				// Lent in this very turn, before the waiter goes on: the connection may close in between.
				pooled.state = applyPooledEvent(pooled.state, {type: 'lend'});
				waiter!.resolve(pooled);
			}
		}

		startOpening();
	}

	let opening = 0;
	function startOpening(): void {
		while (waiters.size > opening && openCount < readCap() && !isLeaving()) {
			opening++;
			void openOne();
		}
	}

	async function waitForConnection({deadline, signal}: AcquireOptions): Promise<Pooled> {
		return new Promise<Pooled>((resolve, reject) => {
			const stopTimer = clock.registerTimer(deadline, () => {
				waiter.reject(new UpstreamError('no connection became free in time'));
			});
			function handleAbort(): void {
				waiter.reject(new UpstreamError('the wait for a connection was given up'));
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
			startOpening();
		});
	}

	function takeIdle(): Pooled | undefined {
		const pooled = idle.pop();
		if (!pooled) {
			return undefined;
		}

		if (!pooled.connection.isOpen()) {
			return takeIdle();
		}

		pooled.state = applyPooledEvent(pooled.state, {type: 'lend'});
		return pooled;
	}

	async function checkConnection(pooled: Pooled): Promise<void> {
		pooled.state = applyPooledEvent(pooled.state, {type: 'check'});
		try {
			const {status} = await pooled.connection.exchange([serialize.sync()], () => undefined, clock.readNow() + PING_TIMEOUT_MS);
			if (status === 'I') {
				applyPing(pooled, true);
				releaseConnection(pooled);
				return;
			}
		} catch {
			// A connection that does not answer is destroyed below.
		}

		applyPing(pooled, false);
		pooled.connection.destroy();
	}

	function applyPing({openedAt}: Pooled, isAnswered: boolean): void {
		const endedAt = clock.readNow();
		pings = [...pings.filter(ping => ping.endedAt > endedAt - EVIDENCE_MS), {openedAt, endedAt, isAnswered}];
	}

	return {
		async acquire(acquireOptions) {
			const pooled = (waiters.size === 0 ? takeIdle() : undefined) ?? await waitForConnection(acquireOptions);
			return createLoan(pooled, releaseConnection);
		},
		countOpen: () => openCount,
		countIdle: () => idle.length,
		refresh() {
			const excess = isLeaving() ? idle.length : Math.min(idle.length, Math.max(0, openCount - Math.max(1, readCap())));
			idle.splice(0, excess).forEach(item => {
				item.connection.destroy();
			});
			answerWaiters();
		},
		isSilentSince(instant) {
			const now = clock.readNow();
			const known = pings.filter(({openedAt, endedAt}) => openedAt < instant && endedAt > now - EVIDENCE_MS);
			return known.length > 0 && known.every(({isAnswered}) => !isAnswered);
		},
		async checkIdle(idleMs) {
			const now = clock.readNow();
			const due = idle.filter(({state}) => state.kind === 'idle' && now - state.since >= idleMs);
			due.forEach(pooled => {
				idle.splice(idle.indexOf(pooled), 1);
				const check = checkConnection(pooled).finally(() => {
					checks.delete(check);
				});
				checks.add(check);
			});
			await Promise.all(checks);
		},
	};
}

function createLoan(pooled: Pooled, releaseConnection: (pooled: Pooled) => void): Loan {
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
