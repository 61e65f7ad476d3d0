/** The databases that this host uses: their connection pools, load, latency and failures. */
import type {Clock, Instant} from 'heatherpond-core';
import {
	acquireQueuedHandle, applyOutcome, createConnectionPool, createFailureRecord, createLearnedTimes,
	createStatementQueue, createUpstreamError, readFailureShare, type CandidateQuery, type ConnectionHandle,
	type ConnectionPool, type ConnectionRequest, type FailureRecord, type PositionTracker, type StatementOutcome,
	type StatementQueue, type StepTiming, type UpstreamCandidate, type UpstreamConnection, type UpstreamsPort,
	type WriteEvent,
} from 'heatherpond-session';
import {readAssumedRoundTrip} from './assumed-round-trip.js';
import {createDatabaseShares} from './database-shares.js';
import type {HostRecord} from './fleet-records.js';
import type {FleetBlackboard} from './fleet-state.js';
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
	/** Refuses the waiting statements that cannot have been run before this host stops. */
	readonly refuseUnservable: () => void;
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
/** Time that a statement loses at a database that does not answer, and at one that breaks the connection, in milliseconds. */
const SILENCE_LOST_MS = 350;
const FAILURE_LOST_MS = 50;
/** Reasons of failures that say nothing of the database. */
const HARMLESS_REASONS: ReadonlySet<string> = new Set(['too_many', 'relay', 'evacuated', 'overloaded', 'expired', 'unsendable', 'no_memory', 'cancelled']);
/** Share of failures from which a database is reported in the log. */
const LOGGED_FAILURE_SHARE = 0.3;
/** Creates an empty directory. */
export function createUpstreamDirectory(options: UpstreamDirectoryOptions): UpstreamDirectory {
	const {clock, blackboard, positions, places} = options;
	const entries = new Map<string, UpstreamEntry>();
	const times = createLearnedTimes();
	const shares = createDatabaseShares({
		...options,
		readOwnLoad(id) {
			const entry = entries.get(id);
			return {openConnections: entry?.pool.countOpen() ?? 0, queuedStatements: entry ? entry.queue.countRunning() + entry.queue.countWaiting() : 0};
		},
	});

	function findEntry(upstream: Upstream): UpstreamEntry {
		const known = entries.get(upstream.id);
		if (known) {
			return known;
		}

		const created: UpstreamEntry = {
			pool: createConnectionPool({
				clock,
				open: async team => options.open(findUpstream(upstream.id) ?? upstream, team),
				readMaxConnections: () => shares.readConnectionLimit(upstream),
				isDraining: () => !isUsable(findUpstream(upstream.id)),
				random: options.random,
				writeEvent: options.writeEvent,
			}),
			queue: createStatementQueue({
				clock, random: options.random, readLimit: () => shares.readStatementLimit(findUpstream(upstream.id) ?? upstream), readWorkEnd: () => blackboard.read().workEndsAt,
			}),
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

	function readRoundTrip({domain}: Upstream): number {
		return times.readRoundTripMs(domain, readAssumedRoundTrip(options, domain));
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
			hasIdleConnection: entry.pool.hasIdle(team) || shares.findRelay(upstream, team, homes) !== undefined,
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
			const relay = upstream && shares.findRelay(upstream, request.team, request.homes);
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
			if (!entry || HARMLESS_REASONS.has(reason)) {
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
			shares.refresh();
			times.removeUnknown(id => findUpstream(id) !== undefined);
			[...entries].forEach(([id, entry]) => {
				entry.pool.closeIdle(now - shares.readIdleTimeoutMs(findUpstream(id)));
				if (!findUpstream(id) && entry.pool.countInUse() === 0) {
					entry.pool.destroy('database is no longer registered');
					entries.delete(id);
				}
			});
		},
		refuseUnservable() {
			[...entries.values()].forEach(({queue}) => {
				queue.refuseUnservable();
			});
		},
		destroy() {
			[...entries.values()].forEach(({pool}) => {
				pool.destroy('host is shutting down');
			});
		},
	};
}
