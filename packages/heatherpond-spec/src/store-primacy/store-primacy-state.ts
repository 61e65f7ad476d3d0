/** State of the specification of primacy on the platform's store. Instants are milliseconds of one clock. */
import {
	EMPTY_FLEET_STATE, type DutyRecord, type FleetState, type HostIdentity, type HostRecord, type PrimacyRecord, type Versioned,
} from 'heatherpond-fleet';

/** The one group of the model. */
export const GROUP = 'g';

/** A promotion that a host carries out. */
export type PromotionRun = {
	readonly phase: 'waiting' | 'clear' | 'named' | 'ordered';
	readonly promotion: string;
	readonly begunAt: number;
	readonly fence: number;
	/** Version of the row that the run last wrote. */
	readonly version: number;
	readonly candidate?: string;
};

/** A write that a host has under way. */
export type HostWork = {
	readonly database: string;
	readonly term: number;
	/** Whether the database has committed it, and was replaced by then. */
	readonly commit: 'none' | 'good' | 'stale';
};

/** One host. */
export type ModelHost = {
	readonly incarnation: number;
	readonly record: Versioned<PrimacyRecord>;
	readonly duty?: Versioned<DutyRecord>;
	readonly leaseVerifiedAt: number;
	readonly registeredUntil: number;
	readonly registeredAt: number;
	/** When it first saw the promotion that it sees. */
	readonly seenAt: number;
	readonly confirmed?: string;
	readonly work?: HostWork;
	readonly run?: PromotionRun;
};

/** An order that the platform has not carried out. */
export type ModelOrder = {readonly database: string; readonly promotion: string};

/** Everything. */
export type StorePrimacyState = {
	readonly now: number;
	readonly hosts: Readonly<Record<string, ModelHost>>;
	/** The store: rows, and a counter that grows with each transaction. */
	readonly version: number;
	readonly record: Versioned<PrimacyRecord>;
	readonly duty?: Versioned<DutyRecord>;
	/** By host: when its registration was refreshed. */
	readonly registrations: Readonly<Record<string, number>>;
	readonly confirmations: Readonly<Record<string, string>>;
	/** The platform. */
	readonly orders: readonly ModelOrder[];
	readonly leader: string;
	readonly term: number;
	/** Databases that the orders of each promotion have made primary. */
	readonly promoted: Readonly<Record<string, readonly string[]>>;
	/** Old primaries that still take writes. */
	readonly stale: readonly string[];
	readonly lastFence: number;
	readonly fenceHolders: Readonly<Record<number, string>>;
	readonly crashes: number;
	readonly violation?: string;
};

/** Reads who a host is. */
export function readIdentity(name: string, {incarnation}: ModelHost): HostIdentity {
	return {
		host: name, incarnation: `${name}${incarnation}`, domain: 'd', address: name, port: 1,
	};
}

/** Creates what the product's decisions are given for a host. */
export function createFleetState(host: ModelHost): FleetState {
	return {
		...EMPTY_FLEET_STATE,
		primacies: new Map([[GROUP, host.record]]),
		leaseVerifiedAt: new Map([[GROUP, host.leaseVerifiedAt]]),
		ownConfirmations: host.confirmed === undefined ? new Map() : new Map([[GROUP, {promotionId: host.confirmed, isSent: true}]]),
		duty: host.duty,
		registeredUntil: host.registeredUntil,
		registeredAt: host.registeredAt,
	};
}

/** Creates the list of hosts as the store has it. */
export function createHostList({registrations}: StorePrimacyState): ReadonlyMap<string, HostRecord> {
	return new Map(Object.entries(registrations).map(([host, refreshedAt]) => [host, {
		host, incarnation: '', domain: 'd', address: host, port: 1, refreshedAt,
	}]));
}

/** Replaces what changes about one host. */
export function updateHost(state: StorePrimacyState, name: string, change: Partial<ModelHost>): StorePrimacyState {
	return {...state, hosts: {...state.hosts, [name]: {...state.hosts[name]!, ...change}}};
}
