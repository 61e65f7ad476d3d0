/**
 * Divides what a database offers among the hosts: its connections, and the statements that run on it at once. Where there are
 * too few connections for all hosts, some of them hold the connections and relay the statements of the others.
 */
import type {Homes} from 'heatherpond-session';
import type {HostRecord} from './fleet-records.js';
import type {FleetBlackboard} from './fleet-state.js';
import type {PermittedPlaces} from './permitted-places.js';
import type {RelayClient} from './relay-client.js';
import {isRelayRequired, selectRelays} from './relay-selection.js';
import {createRelaySelectionCache} from './relay-selection-cache.js';
import type {DatabaseUsage} from './remote-usage.js';
import type {Upstream} from './upstream.js';

/** Load that this host puts on a database itself. */
export type OwnLoad = {readonly openConnections: number; readonly queuedStatements: number};

/** Dependencies of the shares. */
export type DatabaseSharesOptions = {
	readonly blackboard: FleetBlackboard;
	readonly places: PermittedPlaces;
	/** Reads the region of a failure domain. */
	readonly readRegion: (domain: string) => string;
	/** All registered hosts, this one first. */
	readonly readHosts: () => readonly HostRecord[];
	/** Reads the load that other hosts have reported for a database. */
	readonly readRemoteUsage: (database: string) => DatabaseUsage;
	readonly readOwnLoad: (database: string) => OwnLoad;
	readonly relays: RelayClient;
};

/** Shares of this host. */
export type DatabaseShares = {
	/** Finds the relay for a team; nothing when this host is the relay, the database has none, or all are backing off. */
	readonly findRelay: (upstream: Upstream, team: string, homes: Homes | undefined) => HostRecord | undefined;
	/** Reads how many connections this host may open to a database. */
	readonly readConnectionLimit: (upstream: Upstream) => number;
	/** Reads how many statements this host may have running on a database. */
	readonly readStatementLimit: (upstream: Upstream) => number;
	/** Reads after which idle time a connection is closed, in milliseconds. */
	readonly readIdleTimeoutMs: (upstream: Upstream | undefined) => number;
	/** Selects relays anew when the hosts or contracts have changed. */
	readonly refresh: () => void;
};

/** Idle time after which a connection is closed, in milliseconds: normally, and while connections are scarce. */
const IDLE_TIMEOUT_MS = 20_000;
const SCARCE_IDLE_TIMEOUT_MS = 2500;
/** Fraction of a database's connection limit; connections are scarce while fewer are unused. */
const SCARCE_UNUSED_SHARE = 0.4;

/** Fraction of a database's connection limit kept free for restarting hosts, while the database still counts the connections of their previous incarnation. */
const RESERVED_SHARE = 0.2;
/** Connections that a host may open itself to a database with relays; when it can reach none of them, the reserved share. */
const FALLBACK_CONNECTIONS = 1;
/** Statements that all hosts together may have running on a database, as a multiple of what it runs at once, and the least for one host. */
const RUNNING_PER_SLOT = 3;
const MIN_RUNNING = 2;
/** Creates the shares. */
export function createDatabaseShares(options: DatabaseSharesOptions): DatabaseShares {
	const {blackboard, places} = options;
	const cache = createRelaySelectionCache();

	/** Reads how many connections all hosts together may open, and how many of these are unused according to the latest reports. */
	function readConnectionBudget({id, group}: Upstream): {readonly total: number; readonly unused: number} {
		const total = Math.floor((blackboard.read().contracts?.groups.get(group)?.maxConnections ?? 1) * (1 - RESERVED_SHARE));
		return {total, unused: total - options.readRemoteUsage(id).connections - options.readOwnLoad(id).openConnections};
	}

	/** Finds the relays of a database; none when each host opens its own connections. */
	function findDatabaseRelays(upstream: Upstream): readonly HostRecord[] {
		return cache.findRelays(upstream.id, () => {
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
		const all = findDatabaseRelays(upstream);
		const [own] = options.readHosts();
		const chosen = cache.orderForTeam(upstream.id, team, all)
			.filter(relay => places.isPermittedRelay(relay.domain, homes))
			.find(relay => relay.host === own!.host || !options.relays.isBackingOff(relay));
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
		return Math.max(1, Math.floor(total / hosts), options.readOwnLoad(upstream.id).openConnections + Math.floor(unused / hosts));
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
		return databaseRelays.length === 0 ? statements : Math.max(0, statements - options.readOwnLoad(id).queuedStatements);
	}

	/** A host that reaches none of the relays of a database is probably cut off from them, and then has the reserved connections for itself. */
	function readFallbackLimit({group}: Upstream, databaseRelays: readonly HostRecord[]): number {
		const maxConnections = blackboard.read().contracts?.groups.get(group)?.maxConnections ?? 1;
		return databaseRelays.every(options.relays.isBackingOff) ? Math.max(FALLBACK_CONNECTIONS, Math.floor(maxConnections * RESERVED_SHARE)) : FALLBACK_CONNECTIONS;
	}

	/** While connections are scarce they are closed sooner, so that rarely used ones become available to busier hosts. */
	function readIdleTimeoutMs(upstream: Upstream | undefined): number {
		const {total, unused} = upstream ? readConnectionBudget(upstream) : {total: 0, unused: 0};
		const hasOwnPart = upstream !== undefined && findDatabaseRelays(upstream).length === 0;
		return hasOwnPart && unused < total * SCARCE_UNUSED_SHARE ? SCARCE_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS;
	}

	return {
		findRelay,
		readConnectionLimit,
		readStatementLimit,
		readIdleTimeoutMs,
		refresh() {
			cache.refresh(options.readHosts(), blackboard.read().contracts);
		},
	};
}
