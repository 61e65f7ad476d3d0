/** Connection pools of a host, one per database, with a limit on the open connections of each. */
import {
	runPeriodically, type Clock, type Deadline, type Instant, type Member,
} from 'heatherpond-core';
import {UpstreamError} from './postgres-error.js';
import type {UpstreamCredentials} from './upstream-authentication.js';
import {openUpstreamConnection, type UpstreamConnection} from './upstream-connection.js';
import {createUpstreamPool, type UpstreamPool} from './upstream-pool.js';

/** Handle to a connection that was acquired from a pool. */
export type ConnectionHandle = {
	readonly connection: UpstreamConnection;
	/** Returns the connection to its pool, or destroys it when it is not clean; further calls do nothing. */
	readonly release: (isClean: boolean) => void;
};

/** Deadline and abort signal of a wait for a connection. */
export type ConnectionWaitOptions = {readonly deadline: Deadline; readonly signal: AbortSignal};

/** Connection pools of one host. */
export type UpstreamPools = {
	/**
	 * Acquires a connection to a database.
	 *
	 * @throws UpstreamError when no connection is available by the deadline, the signal aborts, or the database is draining
	 */
	readonly acquire: (group: string, member: Member, options: ConnectionWaitOptions) => Promise<ConnectionHandle>;
	/** Counts connections that are open or being opened. */
	readonly countOpen: () => number;
	readonly countIdle: () => number;
	/** Applies changed connection limits and draining states; called when the fleet view changes. */
	readonly refresh: () => void;
	/** Pings all idle connections to a database; used when one connection to it is unresponsive. */
	readonly pingIdle: (group: string, member: Member) => Promise<void>;
	/**
	 * Whether, according to recent pings, the connections to a database that were open at an instant are unresponsive.
	 */
	readonly isUnresponsiveSince: (group: string, member: Member, instant: Instant) => boolean;
};

/** Options of the connection pools. */
export type UpstreamPoolsOptions = {
	readonly clock: Clock;
	readonly credentials: UpstreamCredentials;
	/** `application_name` that databases see, as `domain/host`. */
	readonly applicationName: string;
	/** Reads the maximum number of connections from this host to a database. */
	readonly readMaxConnections: (group: string, database: string) => number;
	/** Whether a database is draining and must not receive new requests. */
	readonly isDraining: (group: string, database: string) => boolean;
	readonly signal: AbortSignal;
};

/** Milliseconds between maintenance runs, which ping idle connections and apply changed connection limits. */
const MAINTENANCE_INTERVAL_MS = 1000;

/** Milliseconds within which a new connection must be ready for queries. */
const OPEN_TIMEOUT_MS = 3000;

/** Creates the pools of a host. When the signal aborts, connections close as soon as they are idle or released. */
export function createUpstreamPools(options: UpstreamPoolsOptions): UpstreamPools {
	const {clock, signal} = options;
	const pools = new Map<string, UpstreamPool>();

	function findPool(group: string, member: Member): UpstreamPool {
		const key = `${group}/${member.name}/${member.host}:${member.port}`;
		const existing = pools.get(key);
		if (existing) {
			return existing;
		}

		const pool = createUpstreamPool({
			clock,
			open: async () => openUpstreamConnection({
				member, database: group, credentials: options.credentials, applicationName: options.applicationName, clock, deadline: clock.readNow() + OPEN_TIMEOUT_MS,
			}),
			readMaxConnections: () => options.readMaxConnections(group, member.name),
			isDraining: () => signal.aborted || options.isDraining(group, member.name),
		});
		pools.set(key, pool);
		return pool;
	}

	function updatePools(): void {
		[...pools.values()].forEach(pool => {
			pool.refresh();
		});
	}

	void runPeriodically(clock, MAINTENANCE_INTERVAL_MS, async () => {
		updatePools();
		[...pools.values()].forEach(pool => {
			void pool.pingIdle(MAINTENANCE_INTERVAL_MS);
		});
	}, signal);
	signal.addEventListener('abort', updatePools, {once: true});
	return {
		async acquire(group, member, acquireOptions) {
			if (options.isDraining(group, member.name)) {
				throw new UpstreamError(`database ${member.name} is draining and accepts no new requests`);
			}

			return findPool(group, member).acquire(acquireOptions);
		},
		countOpen: () => [...pools.values()].reduce((sum, pool) => sum + pool.countOpen(), 0),
		countIdle: () => [...pools.values()].reduce((sum, pool) => sum + pool.countIdle(), 0),
		refresh: updatePools,
		pingIdle: async (group, member) => findPool(group, member).pingIdle(0),
		isUnresponsiveSince: (group, member, instant) => findPool(group, member).isUnresponsiveSince(instant),
	};
}
