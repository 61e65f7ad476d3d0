/** State of the model of promotions in a group with synchronous replicas. */
import type {
	DatabaseStatus, FleetState, PrimacyRecord, Upstream,
} from 'heatherpond-fleet';

/** Name of the only group in the model. */
export const GROUP = 'g';

/** A commit in a log. */
type Commit = {readonly term: number; readonly id: number};

/** A database of the group. */
export type Database = {
	readonly name: string;
	readonly log: readonly Commit[];
	readonly isUp: boolean;
	readonly isRegistered: boolean;
	readonly isDraining: boolean;
	readonly isPrimary: boolean;
};

/** State of the model. */
export type ReplicaState = {
	readonly databases: readonly Database[];
	readonly record: PrimacyRecord;
	/** Ids of the commits that were acknowledged. */
	readonly acknowledged: readonly number[];
	readonly commits: number;
	readonly crashes: number;
	readonly drains: number;
	readonly violation?: string;
};

/** One step of a database, a host or the platform. */
export type ReplicaStep
	= | {readonly kind: 'write' | 'acknowledge' | 'list' | 'forget' | 'begin'}
		| {readonly kind: 'replicate' | 'crash' | 'restart' | 'deregister' | 'drain'; readonly database: string}
	/** A promotion surveys all databases that are up but `silent`, and promotes one if it may. */
		| {readonly kind: 'promote'; readonly silent?: string; readonly mayCatchUp: boolean};

/** Bounds of the exploration. */
export type ReplicaScope = {
	readonly databases: readonly string[];
	/** Number of replicas that must have received a commit before it is acknowledged. */
	readonly syncReplicas: number;
	readonly commits: number;
	readonly crashes: number;
	readonly drains: number;
	readonly maxTerm: number;
};

/** Finds a database by its name. */
export function findDatabase({databases}: Pick<ReplicaState, 'databases'>, name: string | undefined): Database | undefined {
	return databases.find(database => database.name === name);
}

/** Returns the state with some properties of one database replaced. */
export function updateDatabase(state: ReplicaState, name: string, change: Partial<Database>): ReplicaState {
	return {...state, databases: state.databases.map(database => database.name === name ? {...database, ...change} : database)};
}

/** Creates a database as the production code knows it. */
export function createUpstream({name, isDraining, isPrimary}: Database): Upstream {
	return {
		id: name, group: GROUP, host: name, port: 1, domain: 'd', capacity: 1, isLeaving: isDraining, claimsPrimary: isPrimary, isWarmingUp: false, startedAt: 0,
	};
}

/** Creates the part of the fleet state that the production code reads. */
export function createFleetState({databases}: Pick<ReplicaState, 'databases'>): Pick<FleetState, 'upstreams'> {
	return {upstreams: new Map(databases.filter(({isRegistered}) => isRegistered).map(database => [database.name, createUpstream(database)]))};
}

/** Creates the status that a database reports. */
export function createStatus({log, isPrimary}: Database, term: number): DatabaseStatus {
	return {isPrimary, term, point: {term: log.at(-1)?.term ?? 0, position: BigInt(log.length)}};
}
