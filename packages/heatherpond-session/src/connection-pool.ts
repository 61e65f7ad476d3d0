/**
 * Pool of one host's connections to one database. Every connection is authenticated as one team, and the connection
 * limit may be lower than the number of teams, so the pool closes the connection that has been idle longest to open one for a
 * team that has none. `openCount` includes connections that are still being opened; every connection is subtracted exactly
 * once, when it closes or fails to open.
 */
import type {
	Clock, Instant, Teardown,
} from 'heatherpond-core';
import {hasSameVariables} from './connection-setup.js';
import type {ConnectionHandle, ConnectionRequest} from './connection-handle.js';
import {createPooledHandle, type PooledConnection} from './pooled-handle.js';
import {createUpstreamError, UpstreamError} from './session-error.js';
import type {WriteEvent} from './session-services.js';
import type {UpstreamConnection} from './upstream-connection.js';

/** Options of a connection pool. */
export type ConnectionPoolOptions = {
	readonly clock: Clock;
	/** Opens a connection authenticated as a team; rejects with an UpstreamError. */
	readonly open: (team: string) => Promise<UpstreamConnection>;
	/** Reads the maximum number of connections that this host may have open at present. */
	readonly readMaxConnections: () => number;
	/** Whether the database is being drained: no connection is opened or kept idle any more. */
	readonly isDraining: () => boolean;
	/** Returns a random number from 0, inclusive, to 1, exclusive. */
	readonly random: () => number;
	readonly writeEvent: WriteEvent;
};

/** Pool of connections to one database. */
export type ConnectionPool = {
	/**
	 * Waits for a connection of the team.
	 *
	 * @throws UpstreamError when the request is aborted, the deadline passes, or a connection opened for the team fails
	 */
	readonly acquire: (request: ConnectionRequest) => Promise<ConnectionHandle>;
	/** Whether the pool holds an idle connection of the team. */
	readonly hasIdle: (team: string) => boolean;
	/** Whether the pool is backing off because the database recently rejected a connection over its limit. */
	readonly isAtConnectionLimit: () => boolean;
	/** Counts the connections that are open or being opened. */
	readonly countOpen: () => number;
	/** Counts the connections in use. */
	readonly countInUse: () => number;
	/** Counts the requests that wait for a connection. */
	readonly countWaiting: () => number;
	/** Closes connections that have been idle since before `instant`, those over the limit, and all idle ones of a draining pool. */
	readonly closeIdle: (instant: Instant) => void;
	/** Closes every idle connection and rejects all waiting requests. */
	readonly destroy: (reason: string) => void;
};

/** A request that waits for a connection. */
type Waiter = {
	readonly request: ConnectionRequest;
	/** Instant before which the waiter is served by released connections only, and no new connection is opened for it. */
	readonly openAfter: Instant;
	readonly resolve: (connection: PooledConnection) => void;
	readonly reject: (error: unknown) => void;
};

/** Milliseconds for which a team with connections in use waits for one of them before another is opened. */
const REUSE_WAIT_MS = 20;
/** Minimum backoff, in milliseconds, after the database rejected a connection over its limit; up to the same time is added at random. */
const LIMIT_BACKOFF_MS = 80;
/** Milliseconds for which the number of connections that were open at such a rejection counts as the limit of the pool. */
const LEARNED_LIMIT_MS = 1000;

/** Creates an empty pool. */
export function createConnectionPool({clock, open, readMaxConnections, isDraining, random, writeEvent}: ConnectionPoolOptions): ConnectionPool {
	/** Idle connections, the longest idle first. */
	let idle: PooledConnection[] = [];
	let waiters: Waiter[] = [];
	let openCount = 0;
	let inUseCount = 0;
	let limitBackoffUntil: Instant = 0;
	/** The number of connections that the database accepted when it last rejected one, and until when it counts. */
	let learned: {readonly limit: number; readonly until: Instant} = {limit: 0, until: 0};
	let stopOpeningTimer: Teardown = () => undefined;
	const inUseByTeam = new Map<string, number>();
	/** Number of connections being opened, by team. */
	const openingByTeam = new Map<string, number>();

	function updateOpening(team: string, change: number): void {
		openingByTeam.set(team, (openingByTeam.get(team) ?? 0) + change);
	}

	function takeIdle({team, variables}: ConnectionRequest): PooledConnection | undefined {
		const own = idle.filter(({upstream}) => upstream.team === team && upstream.isOpen());
		const chosen = own.findLast(connection => hasSameVariables(connection, variables)) ?? own.at(-1);
		idle = idle.filter(connection => connection !== chosen);
		return chosen;
	}

	function takeWaiter(team: string): Waiter | undefined {
		const chosen = waiters.filter(({request}) => request.team === team).toSorted(compareWaiters).at(0);
		waiters = waiters.filter(waiter => waiter !== chosen);
		return chosen;
	}

	function handleRelease(connection: PooledConnection): void {
		if (!connection.upstream.isOpen()) {
			return;
		}

		const waiter = takeWaiter(connection.upstream.team);
		if (waiter) {
			waiter.resolve(connection);
			return;
		}

		if (isDraining() || openCount > readMaxConnections()) {
			connection.upstream.destroy();
			return;
		}

		connection.idleSince = clock.readNow();
		idle = [...idle, connection];
		openForWaiters();
	}

	function handleClose(connection: PooledConnection): void {
		idle = idle.filter(other => other !== connection);
		openCount--;
		openForWaiters();
	}

	async function openConnection(team: string): Promise<void> {
		openCount++;
		updateOpening(team, 1);
		try {
			const connection: PooledConnection = {
				upstream: await open(team), variables: new Map(), statements: new Map(), statementLength: 0, isSetupKnown: true, preparedCount: 0, idleSince: clock.readNow(),
			};
			updateOpening(team, -1);
			connection.upstream.registerCloseListener(() => {
				handleClose(connection);
			});
			handleRelease(connection);
		} catch (error) {
			updateOpening(team, -1);
			openCount--;
			const isAtLimit = error instanceof UpstreamError && error.failure === 'too_many';
			if (isAtLimit) {
				limitBackoffUntil = clock.readNow() + (LIMIT_BACKOFF_MS * (1 + random()));
				learned = {limit: openCount, until: clock.readNow() + LEARNED_LIMIT_MS};
			}

			if (!isAtLimit || openCount === 0) {
				takeWaiter(team)?.reject(error);
			}

			openForWaiters();
		}
	}

	function readLimit(): number {
		return clock.readNow() < learned.until ? Math.max(1, Math.min(readMaxConnections(), learned.limit)) : readMaxConnections();
	}

	/** Closes the longest-idle connection if the pool is at its limit; returns whether another connection may be opened now. */
	function closeIdleAtLimit(): boolean {
		if (openCount < readLimit()) {
			return true;
		}

		// The close listener removes the connection from `idle` and decrements `openCount`.
		idle.at(0)?.upstream.destroy();
		return openCount < readLimit();
	}

	function openForWaiters(): void {
		const now = clock.readNow();
		if (waiters.length === 0 || isDraining()) {
			return;
		}

		if (now < limitBackoffUntil) {
			scheduleOpening(limitBackoffUntil);
			return;
		}

		const unserved = waiters.toSorted(compareWaiters).filter(({request}) => {
			const waiting = waiters.filter(other => other.request.team === request.team).length;
			return waiting > (openingByTeam.get(request.team) ?? 0);
		});
		const due = unserved.find(({openAfter}) => openAfter <= now);
		if (due && closeIdleAtLimit()) {
			void openConnection(due.request.team);
			openForWaiters();
		} else if (!due && unserved.length > 0) {
			scheduleOpening(Math.min(...unserved.map(({openAfter}) => openAfter)));
		}
	}

	function scheduleOpening(instant: Instant): void {
		stopOpeningTimer();
		stopOpeningTimer = clock.registerTimer(instant, openForWaiters);
	}

	async function waitForConnection(request: ConnectionRequest): Promise<PooledConnection> {
		return new Promise<PooledConnection>((resolve, reject) => {
			function stopWaiting(): void {
				waiters = waiters.filter(other => other !== waiter);
				stopTimer();
				request.signal.removeEventListener('abort', handleAbort);
			}

			const waiter: Waiter = {
				request,
				openAfter: clock.readNow() + ((inUseByTeam.get(request.team) ?? 0) > 0 ? REUSE_WAIT_MS : 0),
				resolve(connection) {
					stopWaiting();
					resolve(connection);
				},
				reject(error) {
					stopWaiting();
					reject(error);
				},
			};
			const stopTimer = clock.registerTimer(request.deadline, () => {
				waiter.reject(createUpstreamError('timed out waiting for a free connection', 'too_many', false));
			});
			function handleAbort(): void {
				waiter.reject(createUpstreamError('the wait for a connection was cancelled', 'cancelled', false));
			}

			if (request.signal.aborted) {
				handleAbort();
				return;
			}

			request.signal.addEventListener('abort', handleAbort, {once: true});
			waiters = [...waiters, waiter];
			openForWaiters();
		});
	}

	function updateInUse(team: string, change: number): void {
		inUseCount += change;
		inUseByTeam.set(team, (inUseByTeam.get(team) ?? 0) + change);
	}

	function createHandle(connection: PooledConnection): ConnectionHandle {
		const {team} = connection.upstream;
		updateInUse(team, 1);
		return createPooledHandle({
			clock, connection, handleRelease, writeEvent,
			handleEnd() {
				updateInUse(team, -1);
			},
		});
	}

	return {
		async acquire(request) {
			return createHandle(takeIdle(request) ?? await waitForConnection(request));
		},
		hasIdle: team => idle.some(({upstream}) => upstream.team === team),
		isAtConnectionLimit: () => clock.readNow() < limitBackoffUntil,
		countOpen: () => openCount,
		countInUse: () => inUseCount,
		countWaiting: () => waiters.length,
		closeIdle(instant) {
			const excess = Math.max(0, openCount - readMaxConnections());
			idle.filter((connection, index) => isDraining() || index < excess || connection.idleSince < instant).forEach(({upstream}) => {
				upstream.destroy();
			});
		},
		destroy(reason) {
			stopOpeningTimer();
			idle.forEach(({upstream}) => {
				upstream.destroy();
			});
			waiters.forEach(waiter => {
				waiter.reject(createUpstreamError(reason, 'closed', false));
			});
		},
	};
}

/** Orders waiters by priority, then by deadline. */
function compareWaiters(left: Waiter, right: Waiter): number {
	return (left.request.priority - right.request.priority) || (left.request.deadline - right.request.deadline);
}
