/**
 * The connections of one host to one database. A connection speaks for one team, and there are fewer connections than
 * teams: a team without an idle connection takes the place of the one that has been idle longest. `openCount` counts
 * every connection that is open or being opened; each is counted off once.
 */
import type {
	Clock, Instant, Teardown,
} from 'heatherpond-core';
import {hasSameVariables} from './connection-setup.js';
import type {Loan, LoanRequest} from './loan.js';
import {createPooledLoan, type PooledConnection} from './pooled-loan.js';
import {createUpstreamError, UpstreamError} from './session-error.js';
import type {UpstreamConnection} from './upstream-connection.js';

/** How a pool runs. */
export type ConnectionPoolOptions = {
	readonly clock: Clock;
	/** Opens a connection in the name of a team; rejects with an UpstreamError. */
	readonly open: (team: string) => Promise<UpstreamConnection>;
	/** Decides how many connections the host may have open. */
	readonly readCap: () => number;
	/** Tells whether connections are no longer kept. */
	readonly isLeaving: () => boolean;
	/** Draws a number from 0, inclusive, to 1, exclusive. */
	readonly random: () => number;
};

/** Connections to one database. */
export type ConnectionPool = {
	/** @throws UpstreamError when there is no connection by the deadline */
	readonly acquire: (request: LoanRequest) => Promise<Loan>;
	readonly hasIdle: (team: string) => boolean;
	/** Whether the database has lately had no room for another connection. */
	readonly isCrowded: () => boolean;
	readonly countOpen: () => number;
	readonly countLent: () => number;
	readonly countWaiting: () => number;
	/** Closes connections that have been idle since before `instant`, those over the cap, and all when the pool is leaving. */
	readonly closeIdle: (instant: Instant) => void;
	/** Closes every idle connection and tells waiters that there will be none. */
	readonly destroy: (reason: string) => void;
};

type Waiter = {
	readonly request: LoanRequest;
	/** Until then a connection of the same team is waited for, instead of opening another one. */
	readonly opensAt: Instant;
	readonly resolve: (connection: PooledConnection) => void;
	readonly reject: (error: unknown) => void;
};

/** Milliseconds for which a team that has connections at work waits for one of them. */
const OPEN_PATIENCE_MS = 20;
/** Milliseconds for which no connection is opened after the database had no room; a random part of them comes on top. */
const CROWDED_MS = 80;

/** Creates an empty pool. */
export function createConnectionPool({clock, open, readCap, isLeaving, random}: ConnectionPoolOptions): ConnectionPool {
	/** In the order in which they became idle. */
	let idle: PooledConnection[] = [];
	let waiters: Waiter[] = [];
	let openCount = 0;
	let lentCount = 0;
	let crowdedUntil: Instant = 0;
	let stopWakeTimer: Teardown = () => undefined;
	const lentByTeam = new Map<string, number>();
	/** Openings under way by team. */
	const openings = new Map<string, number>();

	function countOpening(team: string, change: number): void {
		openings.set(team, (openings.get(team) ?? 0) + change);
	}

	function takeIdle({team, variables}: LoanRequest): PooledConnection | undefined {
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

	function applyRelease(connection: PooledConnection): void {
		if (!connection.upstream.isOpen()) {
			return;
		}

		const waiter = takeWaiter(connection.upstream.team);
		if (waiter) {
			waiter.resolve(connection);
			return;
		}

		if (isLeaving() || openCount > readCap()) {
			connection.upstream.destroy();
			return;
		}

		connection.idleSince = clock.readNow();
		idle = [...idle, connection];
		startOpening();
	}

	function handleClose(connection: PooledConnection): void {
		idle = idle.filter(other => other !== connection);
		openCount--;
		startOpening();
	}

	async function openOne(team: string): Promise<void> {
		openCount++;
		countOpening(team, 1);
		try {
			const connection: PooledConnection = {
				upstream: await open(team), variables: new Map(), statements: new Set(), idleSince: clock.readNow(),
			};
			countOpening(team, -1);
			connection.upstream.registerCloseListener(() => {
				handleClose(connection);
			});
			applyRelease(connection);
		} catch (error) {
			countOpening(team, -1);
			openCount--;
			if (error instanceof UpstreamError && error.failure === 'too_many') {
				crowdedUntil = clock.readNow() + (CROWDED_MS * (1 + random()));
			}

			takeWaiter(team)?.reject(error);
			startOpening();
		}
	}

	/** Makes room by closing the connection that has been idle longest. */
	function findRoom(): boolean {
		if (openCount < readCap()) {
			return true;
		}

		// Its close listener takes it off the list and counts it off.
		idle.at(0)?.upstream.destroy();
		return openCount < readCap();
	}

	function startOpening(): void {
		const now = clock.readNow();
		if (waiters.length === 0 || isLeaving()) {
			return;
		}

		if (now < crowdedUntil) {
			registerWake(crowdedUntil);
			return;
		}

		const unserved = waiters.toSorted(compareWaiters).filter(({request}) => {
			const waiting = waiters.filter(other => other.request.team === request.team).length;
			return waiting > (openings.get(request.team) ?? 0);
		});
		const due = unserved.find(({opensAt}) => opensAt <= now);
		if (due && findRoom()) {
			void openOne(due.request.team);
			startOpening();
		} else if (!due && unserved.length > 0) {
			registerWake(Math.min(...unserved.map(({opensAt}) => opensAt)));
		}
	}

	function registerWake(instant: Instant): void {
		stopWakeTimer();
		stopWakeTimer = clock.registerTimer(instant, startOpening);
	}

	async function waitForConnection(request: LoanRequest): Promise<PooledConnection> {
		return new Promise<PooledConnection>((resolve, reject) => {
			function stopWaiting(): void {
				waiters = waiters.filter(other => other !== waiter);
				stopTimer();
				request.signal.removeEventListener('abort', handleAbort);
			}

			const waiter: Waiter = {
				request,
				opensAt: clock.readNow() + ((lentByTeam.get(request.team) ?? 0) > 0 ? OPEN_PATIENCE_MS : 0),
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
				waiter.reject(createUpstreamError('no connection became free in time', 'too_many', false));
			});
			function handleAbort(): void {
				waiter.reject(createUpstreamError('the wait for a connection was given up', 'closed', false));
			}

			if (request.signal.aborted) {
				handleAbort();
				return;
			}

			request.signal.addEventListener('abort', handleAbort, {once: true});
			waiters = [...waiters, waiter];
			startOpening();
		});
	}

	function countLoan(team: string, change: number): void {
		lentCount += change;
		lentByTeam.set(team, (lentByTeam.get(team) ?? 0) + change);
	}

	function createLoan(connection: PooledConnection): Loan {
		const {team} = connection.upstream;
		countLoan(team, 1);
		return createPooledLoan({
			clock, connection, applyRelease,
			handleEnd() {
				countLoan(team, -1);
			},
		});
	}

	return {
		async acquire(request) {
			return createLoan(takeIdle(request) ?? await waitForConnection(request));
		},
		hasIdle: team => idle.some(({upstream}) => upstream.team === team),
		isCrowded: () => clock.readNow() < crowdedUntil,
		countOpen: () => openCount,
		countLent: () => lentCount,
		countWaiting: () => waiters.length,
		closeIdle(instant) {
			const excess = Math.max(0, openCount - readCap());
			idle.filter((connection, index) => isLeaving() || index < excess || connection.idleSince < instant).forEach(({upstream}) => {
				upstream.destroy();
			});
		},
		destroy(reason) {
			stopWakeTimer();
			idle.forEach(({upstream}) => {
				upstream.destroy();
			});
			waiters.forEach(waiter => {
				waiter.reject(createUpstreamError(reason, 'closed', false));
			});
		},
	};
}

/** The more urgent first, then the one whose deadline is nearer. */
function compareWaiters(left: Waiter, right: Waiter): number {
	return (left.request.priority - right.request.priority) || (left.request.deadline - right.request.deadline);
}
