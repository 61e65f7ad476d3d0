/** Pools of connections to databases, with a hard cap for each database. */
import {
	runPeriodically, type Clock, type Deadline, type Instant, type Member,
} from 'heatherpond-core';
import {UpstreamError} from './postgres-error.js';
import type {UpstreamCredentials} from './upstream-authentication.js';
import {openUpstreamConnection, type UpstreamConnection} from './upstream-connection.js';
import {createUpstreamPool, type UpstreamPool} from './upstream-pool.js';

/** A connection on loan. */
export type Loan = {
	readonly connection: UpstreamConnection;
	/** Gives the connection back for others; one that is in doubt is destroyed instead. */
	readonly release: (isClean: boolean) => void;
};

/** Bounds of a wait for a connection. */
export type AcquireOptions = {readonly deadline: Deadline; readonly signal: AbortSignal};

/** All pools of one host. */
export type UpstreamPools = {
	/**
	 * Lends a connection to a database.
	 *
	 * @throws UpstreamError when there is none by the deadline, the signal aborts, or the database is leaving
	 */
	readonly acquire: (group: string, member: Member, options: AcquireOptions) => Promise<Loan>;
	readonly countOpen: () => number;
	readonly countIdle: () => number;
	/** Looks again at caps and leaving databases; called when the fleet's view changes. */
	readonly refresh: () => void;
	/** Pings the idle connections to a database now, because one connection to it has gone silent. */
	readonly checkIdle: (group: string, member: Member) => Promise<void>;
	/** Whether the connections to a database that were open at an instant have gone silent. */
	readonly isSilentSince: (group: string, member: Member, instant: Instant) => boolean;
};

/** How pools run. */
export type UpstreamPoolsOptions = {
	readonly clock: Clock;
	readonly credentials: UpstreamCredentials;
	readonly applicationName: string;
	/** Decides how many connections this host may hold to a database. */
	readonly readCap: (group: string, database: string) => number;
	/** Tells whether a database gets no new work. */
	readonly isLeaving: (group: string, database: string) => boolean;
	readonly signal: AbortSignal;
};

/** Milliseconds between two rounds in which idle connections are pinged and caps are read again. */
const ROUND_INTERVAL_MS = 1000;

/** Milliseconds within which a new connection must be ready. */
const OPEN_TIMEOUT_MS = 3000;

/** Creates empty pools; all connections close with the signal. */
export function createUpstreamPools(options: UpstreamPoolsOptions): UpstreamPools {
	const {clock, signal} = options;
	const pools = new Map<string, UpstreamPool>();

	function findPool(group: string, member: Member): UpstreamPool {
		const key = `${group}/${member.name}/${member.host}:${member.port}`;
		const known = pools.get(key);
		if (known) {
			return known;
		}

		const pool = createUpstreamPool({
			clock,
			open: async () => openUpstreamConnection({
				member, database: group, credentials: options.credentials, applicationName: options.applicationName, clock, deadline: clock.readNow() + OPEN_TIMEOUT_MS,
			}),
			readCap: () => options.readCap(group, member.name),
			isLeaving: () => signal.aborted || options.isLeaving(group, member.name),
		});
		pools.set(key, pool);
		return pool;
	}

	function updatePools(): void {
		[...pools.values()].forEach(pool => {
			pool.refresh();
		});
	}

	void runPeriodically(clock, ROUND_INTERVAL_MS, async () => {
		updatePools();
		[...pools.values()].forEach(pool => {
			void pool.checkIdle(ROUND_INTERVAL_MS);
		});
	}, signal);
	signal.addEventListener('abort', updatePools, {once: true});
	return {
		async acquire(group, member, acquireOptions) {
			if (options.isLeaving(group, member.name)) {
				throw new UpstreamError(`database ${member.name} is leaving`);
			}

			return findPool(group, member).acquire(acquireOptions);
		},
		countOpen: () => [...pools.values()].reduce((sum, pool) => sum + pool.countOpen(), 0),
		countIdle: () => [...pools.values()].reduce((sum, pool) => sum + pool.countIdle(), 0),
		refresh: updatePools,
		checkIdle: async (group, member) => findPool(group, member).checkIdle(0),
		isSilentSince: (group, member, instant) => findPool(group, member).isSilentSince(instant),
	};
}
