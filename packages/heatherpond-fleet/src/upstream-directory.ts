/** The databases that this host uses: their pools, what is at work on them, and how they have fared. */
import type {Clock, Instant} from 'heatherpond-core';
import {
	createConnectionPool, createUpstreamError, type ConnectionPool, type Loan, type LoanRequest, type PositionBook, type UpstreamCandidate, type UpstreamConnection, type UpstreamsPort,
} from 'heatherpond-session';
import type {HostRecord} from './fleet-records.js';
import type {FleetBlackboard} from './fleet-state.js';
import {findRelays, isRelayed, orderRelays} from './relay-choice.js';
import type {RelayClient} from './relay-client.js';
import type {Upstream} from './upstream.js';

/** What the directory needs. */
export type UpstreamDirectoryOptions = {
	readonly clock: Clock;
	readonly blackboard: FleetBlackboard;
	readonly positions: PositionBook;
	readonly domain: string;
	readonly random: () => number;
	/** Region by failure domain. */
	readonly readRegion: (domain: string) => string;
	/** Opens a connection in the name of a team; rejects with an UpstreamError. */
	readonly open: (upstream: Upstream, team: string) => Promise<UpstreamConnection>;
	/** Takes note that a database failed or was silent. */
	readonly handleFailure: (database: string) => void;
	readonly readForeign: (database: string) => {readonly statements: number; readonly connections: number};
	/** Every host that is registered, this one first. */
	readonly readHosts: () => readonly HostRecord[];
	readonly relays: RelayClient;
};

/** The directory. */
export type UpstreamDirectory = UpstreamsPort & {
	/** Lends a connection that this host holds itself. */
	readonly acquireOwn: (database: string, request: LoanRequest) => Promise<Loan>;
	/** By database: statements at work, and open connections. */
	readonly readUsage: () => Record<string, [number, number]>;
	/** Closes what has been idle for long, and pools of databases that are gone. */
	readonly refresh: () => void;
	readonly destroy: () => void;
};

type Entry = {
	readonly pool: ConnectionPool;
	inFlight: number;
	avoidedUntil: Instant;
	/** Mean round trip and work in milliseconds. */
	meanMs: number;
	failures: number;
};

/** Milliseconds for which a database that failed is left alone, doubled with each failure in a row. */
const AVOID_MS = 150;
const MAX_AVOID_MS = 1600;
/** Milliseconds after which an idle connection is closed, and when connections are scarce. */
const IDLE_MS = 20_000;
const SCARCE_IDLE_MS = 2500;
/** Part of a database's connections below which those unused are scarce. */
const SCARCE_SHARE = 0.4;

/** Part of a database's connections that is left for hosts that start, while it still counts those of their last run. */
const RESERVED_SHARE = 0.2;
/** Connections of a host to a database whose connections others hold, for when it reaches none of those. */
const FALLBACK_CONNECTIONS = 1;
const MEAN_WEIGHT = 0.1;
/** Milliseconds of a round trip within the failure domain, within the region and beyond. */
const NEAR_ROUND_TRIP_MS = 1;
const REGION_ROUND_TRIP_MS = 4;
const FAR_ROUND_TRIP_MS = 30;

/** Creates an empty directory. */
export function createUpstreamDirectory(options: UpstreamDirectoryOptions): UpstreamDirectory {
	const {clock, blackboard, positions} = options;
	const entries = new Map<string, Entry>();
	/** Looked up anew with each refresh. */
	const relaysByDatabase = new Map<string, readonly HostRecord[]>();

	function findEntry(upstream: Upstream): Entry {
		const known = entries.get(upstream.id);
		if (known) {
			return known;
		}

		const created: Entry = {
			pool: createConnectionPool({
				clock,
				open: async team => options.open(findUpstream(upstream.id) ?? upstream, team),
				readCap: () => readCap(upstream),
				isLeaving: () => findUpstream(upstream.id)?.isLeaving ?? true,
				random: options.random,
			}),
			inFlight: 0, avoidedUntil: 0, meanMs: 0, failures: 0,
		};
		entries.set(upstream.id, created);
		return created;
	}

	function findUpstream(id: string): Upstream | undefined {
		return blackboard.read().upstreams.get(id);
	}

	/** Reads how many connections all hosts may have open, and how many of them are unused as far as known. */
	function readRoom({id, group}: Pick<Upstream, 'id' | 'group'>): {readonly most: number; readonly unused: number} {
		const most = Math.floor((blackboard.read().contracts?.groups.get(group)?.maxConnections ?? 1) * (1 - RESERVED_SHARE));
		return {most, unused: most - options.readForeign(id).connections - (entries.get(id)?.pool.countOpen() ?? 0)};
	}

	/** Finds the hosts that hold the connections to a database for all; none when each host has its own. */
	function findDatabaseRelays(upstream: Upstream): readonly HostRecord[] {
		const known = relaysByDatabase.get(upstream.id);
		if (known) {
			return known;
		}

		const hosts = options.readHosts();
		const {most: connections} = readRoom(upstream);
		const found = isRelayed({connections, hosts})
			? findRelays({
				database: upstream.id, domain: upstream.domain, connections, hosts, readRegion: options.readRegion,
			})
			: [];
		relaysByDatabase.set(upstream.id, found);
		return found;
	}

	/** Finds the host that holds the connections of a team; nothing when this one does, or none can be reached. */
	function findRelay(upstream: Upstream, team: string): HostRecord | undefined {
		const [own] = options.readHosts();
		const chosen = orderRelays(findDatabaseRelays(upstream), team).find(({host}) => host === own!.host || !options.relays.isAvoided(host));
		return chosen?.host === own!.host ? undefined : chosen;
	}

	/** Every host has an equal part, and an equal part of what the others leave unused; or few hosts have all. */
	function readCap(upstream: Upstream): number {
		const {most, unused} = readRoom(upstream);
		const allHosts = options.readHosts();
		const relays = findDatabaseRelays(upstream);
		if (relays.length > 0) {
			return relays.some(({host}) => host === allHosts[0]!.host) ? Math.max(1, Math.floor(most / relays.length)) : FALLBACK_CONNECTIONS;
		}

		const hosts = allHosts.length;
		return Math.max(1, Math.floor(most / hosts), (entries.get(upstream.id)?.pool.countOpen() ?? 0) + Math.floor(unused / hosts));
	}

	/** Connections that are seldom used make room for hosts that would use them often. */
	function readIdleMs(id: string): number {
		const upstream = findUpstream(id);
		const {most, unused} = upstream ? readRoom(upstream) : {most: 0, unused: 0};
		const hasOwnPart = upstream !== undefined && findDatabaseRelays(upstream).length === 0;
		return hasOwnPart && unused < most * SCARCE_SHARE ? SCARCE_IDLE_MS : IDLE_MS;
	}

	function readRoundTrip(upstream: Upstream): number {
		if (upstream.domain === options.domain) {
			return NEAR_ROUND_TRIP_MS;
		}

		return options.readRegion(upstream.domain) === options.readRegion(options.domain) ? REGION_ROUND_TRIP_MS : FAR_ROUND_TRIP_MS;
	}

	function createCandidate(upstream: Upstream, team: string, primary: string | undefined): UpstreamCandidate {
		const entry = findEntry(upstream);
		return {
			id: upstream.id,
			isPrimary: upstream.id === primary || upstream.claimsPrimary,
			capacity: upstream.capacity,
			inFlight: entry.inFlight,
			foreignInFlight: options.readForeign(upstream.id).statements,
			hasIdleConnection: entry.pool.hasIdle(team) || findRelay(upstream, team) !== undefined,
			isCrowded: entry.pool.isCrowded(),
			roundTripMs: readRoundTrip(upstream),
			isNear: upstream.domain === options.domain,
			isWarmingUp: upstream.isWarmingUp,
			lastPoint: positions.findDatabasePoint(upstream.id),
			avoidedUntil: entry.avoidedUntil,
		};
	}

	async function acquireOwn(database: string, request: LoanRequest): Promise<Loan> {
		const upstream = findUpstream(database);
		if (!upstream) {
			throw createUpstreamError('the database is not registered', 'closed', false);
		}

		return findEntry(upstream).pool.acquire(request);
	}

	return {
		findCandidates(group, team, primary) {
			return [...blackboard.read().upstreams.values()]
				.filter(upstream => upstream.group === group && !upstream.isLeaving)
				.map(upstream => createCandidate(upstream, team, primary));
		},
		async acquire(database, request) {
			const upstream = findUpstream(database);
			const relay = upstream && findRelay(upstream, request.team);
			return relay ? options.relays.createLoan(relay, database, request) : acquireOwn(database, request);
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
		applyFailure(database, reason, at) {
			const entry = entries.get(database);
			if (!entry || reason === 'too_many' || reason === 'relay') {
				return;
			}

			// What has silenced one connection may have silenced all; new ones show whether the database answers.
			if (reason === 'silent') {
				entry.pool.closeIdle(at);
			}

			entry.failures++;
			entry.avoidedUntil = at + Math.min(MAX_AVOID_MS, AVOID_MS * (2 ** entry.failures));
			options.handleFailure(database);
		},
		applyAnswer(database, latencyMs) {
			const entry = entries.get(database);
			if (entry) {
				entry.failures = 0;
				entry.avoidedUntil = 0;
				entry.meanMs += (latencyMs - entry.meanMs) * MEAN_WEIGHT;
			}
		},
		readUsage() {
			return Object.fromEntries([...entries]
				.filter(([, {pool, inFlight}]) => pool.countOpen() > 0 || inFlight > 0)
				.map(([id, {pool, inFlight}]) => [id, [inFlight, pool.countOpen()]]));
		},
		refresh() {
			const now = clock.readNow();
			relaysByDatabase.clear();
			[...entries].forEach(([id, entry]) => {
				entry.pool.closeIdle(now - readIdleMs(id));
				if (!findUpstream(id) && entry.pool.countLent() === 0) {
					entry.pool.destroy('the database is gone');
					entries.delete(id);
				}
			});
		},
		destroy() {
			[...entries.values()].forEach(({pool}) => {
				pool.destroy('the host is stopping');
			});
		},
	};
}
