/** The databases that this host uses: their connection pools, load, latency and failures. */
import type {Clock, Instant} from 'heatherpond-core';
import {
	acquireQueuedHandle, applyOutcome, createConnectionPool, createFailureRecord, readFailureShare, type FailureRecord, type StatementOutcome, type WriteEvent, createLearnedTimes, createStatementQueue, createUpstreamError, type StepTiming, type StatementQueue, type ConnectionPool, type ConnectionHandle, type CandidateQuery, type ConnectionRequest, type Homes, type PositionTracker, type UpstreamCandidate, type UpstreamConnection, type UpstreamsPort,
} from 'heatherpond-session';
import type {HostRecord} from './fleet-records.js';
import type {FleetBlackboard} from './fleet-state.js';
import {selectRelays, isRelayRequired} from './relay-selection.js';
import {createRelaySelectionCache} from './relay-selection-cache.js';
import type {RelayClient} from './relay-client.js';
import type {PermittedPlaces} from './permitted-places.js';
import {isAcceptingWork, type Upstream} from './upstream.js';

/** Dependencies of the directory. */
export type UpstreamDirectoryOptions = {
	readonly clock: Clock;
	readonly blackboard: FleetBlackboard;
	readonly positions: PositionTracker;
	readonly places: PermittedPlaces;
	/** Failure domain of this host. */
	readonly domain: string;
	readonly random: () => number;
	/** Reads the region of a failure domain. */
	readonly readRegion: (domain: string) => string;
	/** Opens a connection authenticated as a team; rejects with an UpstreamError. */
	readonly open: (upstream: Upstream, team: string) => Promise<UpstreamConnection>;
	/** Called when a database has failed or timed out. */
	readonly handleFailure: (database: string) => void;
	/** Reads the load that other hosts have reported for a database. */
	readonly readRemoteUsage: (database: string) => {readonly statements: number; readonly connections: number};
	/** All registered hosts, this one first. */
	readonly readHosts: () => readonly HostRecord[];
	readonly relays: RelayClient;
	readonly writeEvent: WriteEvent;
};

/** Selects databases and lends connections to them. */
export type UpstreamDirectory = Omit<UpstreamsPort, 'findBudget'> & {
	/** Acquires a connection from the pool of this host, never through a relay. */
	readonly acquireOwn: (database: string, request: ConnectionRequest) => Promise<ConnectionHandle>;
	/** Statements in flight and open connections, by database. */
	readonly readUsage: () => Record<string, [number, number]>;
	/** Closes connections past their idle timeout and pools of databases that are no longer registered, and selects relays anew when the hosts have changed. */
	readonly refresh: () => void;
	readonly destroy: () => void;
};

/** State kept for one database. */
type UpstreamEntry = {
	readonly pool: ConnectionPool;
	readonly queue: StatementQueue;
	outcomes: FailureRecord;
	inFlight: number;
	avoidedUntil: Instant;
	/** Consecutive failures. */
	failures: number;
};

/** Backoff after a failure of a database, in milliseconds; doubles with each consecutive failure, the first one included, up to the maximum. */
const BACKOFF_MS = 150;
const MAX_BACKOFF_MS = 1600;
/** Idle time after which a connection is closed, in milliseconds: normally, and while connections are scarce. */
const IDLE_TIMEOUT_MS = 20_000;
const SCARCE_IDLE_TIMEOUT_MS = 2500;
/** Fraction of a database's connection limit; connections are scarce while fewer are unused. */
const SCARCE_UNUSED_SHARE = 0.4;

/** Fraction of a database's connection limit kept free for restarting hosts, while the database still counts the connections of their previous incarnation. */
const RESERVED_SHARE = 0.2;
/** Connections that a host may open itself to a database with relays; when it can reach none of them, the reserved share. */
const FALLBACK_CONNECTIONS = 1;
/** Time that a statement loses at a database that does not answer, and at one that breaks the connection, in milliseconds. */
const SILENCE_LOST_MS = 350;
const FAILURE_LOST_MS = 50;
/** Share of failures from which a database is reported in the log. */
const LOGGED_FAILURE_SHARE = 0.3;
/** Statements that all hosts together may have running on a database, as a multiple of what it runs at once, and the least for one host. */
const RUNNING_PER_SLOT = 3;
const MIN_RUNNING = 2;
/** Round-trip times to a database in the same failure domain, in the same region and elsewhere, in milliseconds, assumed until they have been measured. */
const DOMAIN_ROUND_TRIP_MS = 1;
const REGION_ROUND_TRIP_MS = 4;
const REMOTE_ROUND_TRIP_MS = 30;

/** Creates an empty directory. */
export function createUpstreamDirectory(options: UpstreamDirectoryOptions): UpstreamDirectory {
	const {clock, blackboard, positions, places} = options;
	const entries = new Map<string, UpstreamEntry>();
	const times = createLearnedTimes();
	const relays = createRelaySelectionCache();

	function findEntry(upstream: Upstream): UpstreamEntry {
		const known = entries.get(upstream.id);
		if (known) {
			return known;
		}

		const created: UpstreamEntry = {
			pool: createConnectionPool({
				clock,
				open: async team => options.open(findUpstream(upstream.id) ?? upstream, team),
				readMaxConnections: () => readConnectionLimit(upstream),
				isDraining: () => !isUsable(findUpstream(upstream.id)),
				random: options.random,
			}),
			queue: createStatementQueue({clock, random: options.random, readLimit: () => readStatementLimit(findUpstream(upstream.id) ?? upstream)}),
			outcomes: createFailureRecord(clock.readNow()), inFlight: 0, avoidedUntil: 0, failures: 0,
		};
		entries.set(upstream.id, created);
		return created;
	}

	function isUsable(upstream: Upstream | undefined): boolean {
		return upstream !== undefined && isAcceptingWork(upstream);
	}

	function findUpstream(id: string): Upstream | undefined {
		return blackboard.read().upstreams.get(id);
	}

	/** Reads how many connections all hosts together may open, and how many of these are unused according to the latest reports. */
	function readConnectionBudget({id, group}: Pick<Upstream, 'id' | 'group'>): {readonly total: number; readonly unused: number} {
		const total = Math.floor((blackboard.read().contracts?.groups.get(group)?.maxConnections ?? 1) * (1 - RESERVED_SHARE));
		return {total, unused: total - options.readRemoteUsage(id).connections - (entries.get(id)?.pool.countOpen() ?? 0)};
	}

	/** Finds the relays of a database; none when each host opens its own connections. */
	function findDatabaseRelays(upstream: Upstream): readonly HostRecord[] {
		return relays.findRelays(upstream.id, () => {
			const hosts = options.readHosts();
			const {total: connections} = readConnectionBudget(upstream);
			return isRelayRequired({connections, hosts, teams: blackboard.read().contracts?.teams.size ?? 0})
				? selectRelays({
					database: upstream.id, domain: upstream.domain, connections, hosts, readRegion: options.readRegion,
				})
				: [];
		});
	}

	/** Finds the relay for a team; nothing when this host is the relay, the database has none, or all are backing off. */
	function findRelay(upstream: Upstream, team: string, homes: Homes | undefined): HostRecord | undefined {
		const all = findDatabaseRelays(upstream).filter(relay => places.isPermittedRelay(relay.domain, homes));
		if (all.length === 0) {
			return undefined;
		}

		const [own] = options.readHosts();
		const chosen = relays.orderForTeam(upstream.id, team, all).find(relay => relay.host === own!.host || !options.relays.isBackingOff(relay));
		return chosen?.host === own!.host ? undefined : chosen;
	}

	/**
	 * Reads how many connections this host may open. Without relays it is an equal part of the limit, or more while others
	 * leave connections unused; with relays the limit is divided among them.
	 */
	function readConnectionLimit(upstream: Upstream): number {
		const {total, unused} = readConnectionBudget(upstream);
		const allHosts = options.readHosts();
		const databaseRelays = findDatabaseRelays(upstream);
		if (databaseRelays.length > 0) {
			return databaseRelays.some(({host}) => host === allHosts[0]!.host) ? Math.max(1, Math.floor(total / databaseRelays.length)) : readFallbackLimit(upstream, databaseRelays);
		}

		const hosts = allHosts.length;
		return Math.max(1, Math.floor(total / hosts), (entries.get(upstream.id)?.pool.countOpen() ?? 0) + Math.floor(unused / hosts));
	}

	/**
	 * Reads how many statements this host may have running on a database: an equal part of some times what the database runs at once,
	 * so that it is never idle while statements wait, or more while others leave their parts unused.
	 */
	function readStatementLimit(upstream: Upstream): number {
		const total = Math.max(1, upstream.capacity) * RUNNING_PER_SLOT;
		const databaseRelays = findDatabaseRelays(upstream);
		const holders = databaseRelays.length > 0 ? databaseRelays.length : options.readHosts().length;
		return Math.max(MIN_RUNNING, Math.ceil(total / holders), Math.floor(total - countElsewhere(upstream, databaseRelays)));
	}

	/** Counts the statements for a database at other hosts; a relay's own queue holds those that the others have sent to it. */
	function countElsewhere({id}: Upstream, databaseRelays: readonly HostRecord[]): number {
		const {statements} = options.readRemoteUsage(id);
		const queue = entries.get(id)?.queue;
		return databaseRelays.length === 0 || !queue ? statements : Math.max(0, statements - queue.countRunning() - queue.countWaiting());
	}

	/** A host that reaches none of the relays of a database is probably cut off from them, and then has the reserved connections for itself. */
	function readFallbackLimit({group}: Upstream, databaseRelays: readonly HostRecord[]): number {
		const maxConnections = blackboard.read().contracts?.groups.get(group)?.maxConnections ?? 1;
		return databaseRelays.every(options.relays.isBackingOff) ? Math.max(FALLBACK_CONNECTIONS, Math.floor(maxConnections * RESERVED_SHARE)) : FALLBACK_CONNECTIONS;
	}

	/** While connections are scarce they are closed sooner, so that rarely used ones become available to busier hosts. */
	function readIdleTimeoutMs(id: string): number {
		const upstream = findUpstream(id);
		const {total, unused} = upstream ? readConnectionBudget(upstream) : {total: 0, unused: 0};
		const hasOwnPart = upstream !== undefined && findDatabaseRelays(upstream).length === 0;
		return hasOwnPart && unused < total * SCARCE_UNUSED_SHARE ? SCARCE_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS;
	}

	function readRoundTrip({domain}: Upstream): number {
		return times.readRoundTripMs(domain, readAssumedRoundTrip(domain));
	}

	function readAssumedRoundTrip(domain: string): number {
		if (domain === options.domain) {
			return DOMAIN_ROUND_TRIP_MS;
		}

		return options.readRegion(domain) === options.readRegion(options.domain) ? REGION_ROUND_TRIP_MS : REMOTE_ROUND_TRIP_MS;
	}

	/** Records an outcome, and logs when a database begins or ends to count as one that fails in part. */
	function recordOutcome(entry: UpstreamEntry, database: string, outcome: StatementOutcome): void {
		const now = clock.readNow();
		const before = readFailureShare(entry.outcomes, now);
		entry.outcomes = applyOutcome(entry.outcomes, outcome, now);
		const after = readFailureShare(entry.outcomes, now);
		if ((before >= LOGGED_FAILURE_SHARE) !== (after >= LOGGED_FAILURE_SHARE)) {
			options.writeEvent('failure_share', {
				database, share: Math.round(after * 100) / 100, lost_ms: Math.round(entry.outcomes.lostMs), relapses: entry.outcomes.relapses,
			});
		}
	}

	/** Learns from a response. What a database ran for is known from the connection itself, the way to it only through a relay. */
	function recordTiming(upstream: Upstream, elapsedMs: number, {ranMs, heldMs}: StepTiming): void {
		const wayMs = heldMs === undefined ? readRoundTrip(upstream) : 0;
		times.recordStatement(upstream.group, upstream.id, Math.max(0, ranMs - wayMs));
		if (heldMs !== undefined) {
			times.recordRoundTrip(upstream.domain, elapsedMs - heldMs);
		}
	}

	function createCandidate(upstream: Upstream, {team, primary, homes}: CandidateQuery): UpstreamCandidate {
		const entry = findEntry(upstream);
		return {
			id: upstream.id,
			isPrimary: upstream.id === primary || upstream.claimsPrimary,
			capacity: upstream.capacity,
			inFlight: entry.inFlight,
			remoteInFlight: options.readRemoteUsage(upstream.id).statements,
			hasIdleConnection: entry.pool.hasIdle(team) || findRelay(upstream, team, homes) !== undefined,
			isAtConnectionLimit: entry.pool.isAtConnectionLimit(),
			roundTripMs: readRoundTrip(upstream),
			statementMs: times.readStatementMs(upstream.group, upstream.id),
			isSameDomain: upstream.domain === options.domain,
			isWarmingUp: upstream.isWarmingUp,
			lastPosition: positions.findDatabasePosition(upstream.id),
			failureShare: readFailureShare(entry.outcomes, clock.readNow()),
			failureMs: entry.outcomes.lostMs,
			backoffUntil: entry.avoidedUntil,
		};
	}

	async function acquireOwn(database: string, request: ConnectionRequest): Promise<ConnectionHandle> {
		const upstream = findUpstream(database);
		if (!upstream) {
			throw createUpstreamError('database is not registered', 'closed', false);
		}

		places.checkOpen(upstream);
		const {pool, queue} = findEntry(upstream);
		return acquireQueuedHandle({
			clock, queue, request, acquire: async () => places.createGuardedHandle(await pool.acquire(request)),
		});
	}

	return {
		findCandidates(group, query) {
			return [...blackboard.read().upstreams.values()]
				.filter(upstream => upstream.group === group && places.isCandidate(upstream, query.homes))
				.map(upstream => createCandidate(upstream, query));
		},
		isPermitted(database, homes) {
			const upstream = findUpstream(database);
			return upstream === undefined || places.isPermitted(upstream, homes);
		},
		hasPermitted(group, homes) {
			const members = [...blackboard.read().upstreams.values()].filter(upstream => upstream.group === group);
			return members.length === 0 || members.some(upstream => places.isPermitted(upstream, homes));
		},
		async acquire(database, request) {
			const upstream = findUpstream(database);
			const relay = upstream && findRelay(upstream, request.team, request.homes);
			return relay ? options.relays.createHandle(relay, database, request) : acquireOwn(database, request);
		},
		acquireOwn,
		registerWork(database) {
			const entry = entries.get(database);
			let isEnded = entry === undefined;
			if (entry) {
				entry.inFlight++;
			}

			return () => {
				if (!isEnded) {
					isEnded = true;
					entry!.inFlight--;
				}
			};
		},
		recordFailure(database, reason, at) {
			const entry = entries.get(database);
			if (!entry || reason === 'too_many' || reason === 'relay' || reason === 'evacuated' || reason === 'overloaded') {
				return;
			}

			// The cause of one timeout may affect all idle connections; new ones show whether the database responds.
			if (reason === 'silent') {
				entry.pool.closeIdle(at);
			}

			recordOutcome(entry, database, {hasFailed: true, elapsedMs: reason === 'silent' ? SILENCE_LOST_MS : FAILURE_LOST_MS});
			entry.failures++;
			entry.avoidedUntil = at + Math.min(MAX_BACKOFF_MS, BACKOFF_MS * (2 ** entry.failures));
			options.handleFailure(database);
		},
		recordResponse(database, {elapsedMs, timing, hasFailed}) {
			const entry = entries.get(database);
			const upstream = findUpstream(database);
			if (entry) {
				recordOutcome(entry, database, {hasFailed, elapsedMs});
				entry.failures = 0;
				entry.avoidedUntil = 0;
			}

			if (upstream && timing) {
				recordTiming(upstream, elapsedMs, timing);
			}
		},
		readUsage() {
			return Object.fromEntries([...entries]
				.filter(([, {pool, inFlight}]) => pool.countOpen() > 0 || inFlight > 0)
				.map(([id, {pool, inFlight}]) => [id, [inFlight, pool.countOpen()]]));
		},
		refresh() {
			const now = clock.readNow();
			relays.refresh(options.readHosts(), blackboard.read().contracts);
			times.removeUnknown(id => findUpstream(id) !== undefined);
			[...entries].forEach(([id, entry]) => {
				entry.pool.closeIdle(now - readIdleTimeoutMs(id));
				if (!findUpstream(id) && entry.pool.countInUse() === 0) {
					entry.pool.destroy('database is no longer registered');
					entries.delete(id);
				}
			});
		},
		destroy() {
			[...entries.values()].forEach(({pool}) => {
				pool.destroy('host is shutting down');
			});
		},
	};
}
