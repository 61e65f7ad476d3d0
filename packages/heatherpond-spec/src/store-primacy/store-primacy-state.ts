/** State of the model of primacy on the platform's store. Instants are in milliseconds of one clock shared by all hosts. */
import {
	EMPTY_FLEET_STATE, type PromotionLeaseRecord, type FleetState, type HostIdentity, type HostRecord, type PrimacyRecord, type Versioned,
} from 'heatherpond-fleet';

/** Name of the only group in the model. */
export const GROUP = 'g';

/** A promotion that a host is carrying out. */
export type PromotionRun = {
	readonly phase: 'waiting' | 'clear' | 'named' | 'checked' | 'ordered';
	readonly promotion: string;
	readonly startedAt: number;
	readonly fence: number;
	/** Version of the primacy row that this promotion last wrote. */
	readonly version: number;
	readonly candidate?: string;
};

/** A write in flight on a host. */
export type HostWrite = {
	readonly database: string;
	readonly term: number;
	/** Whether the database has committed the write: not yet, as the actual primary, or after it was replaced. */
	readonly commit: 'none' | 'good' | 'stale';
};

/** One host. */
export type HostModel = {
	readonly incarnation: number;
	readonly record: Versioned<PrimacyRecord>;
	readonly duty?: Versioned<PromotionLeaseRecord>;
	readonly leaseVerifiedAt: number;
	readonly registeredUntil: number;
	readonly registeredAt: number;
	/** Time at which the host first read the promotion in its record. */
	readonly promotionSeenAt: number;
	readonly confirmed?: string;
	readonly pendingWrite?: HostWrite;
	readonly run?: PromotionRun;
};

/** A promotion request that the platform has not executed yet. */
export type PromotionRequest = {readonly database: string; readonly promotion: string};

/** State of the model. */
export type StorePrimacyState = {
	readonly now: number;
	readonly hosts: Readonly<Record<string, HostModel>>;
	/** Version of the last transaction in the store; each transaction increases it. */
	readonly version: number;
	readonly record: Versioned<PrimacyRecord>;
	readonly duty?: Versioned<PromotionLeaseRecord>;
	/** Time at which the registration of each host was refreshed, by name of the host. */
	readonly registrations: Readonly<Record<string, number>>;
	readonly confirmations: Readonly<Record<string, string>>;
	/** Promotion requests that the platform has received and not executed yet. */
	readonly promotionRequests: readonly PromotionRequest[];
	readonly actualPrimary: string;
	readonly term: number;
	/** Databases that the platform has made primary, by promotion. */
	readonly promoted: Readonly<Record<string, readonly string[]>>;
	/** Replaced primaries that still accept writes. */
	readonly replacedPrimaries: readonly string[];
	readonly lastFence: number;
	readonly fenceHolders: Readonly<Record<number, string>>;
	readonly crashes: number;
	readonly violation?: string;
};

/** Reads the identity of a host; each restart gives it a new incarnation. */
export function readIdentity(name: string, {incarnation}: HostModel): HostIdentity {
	return {
		host: name, incarnation: `${name}${incarnation}`, domain: 'd', address: name, port: 1,
	};
}

/** Creates the state that the decisions of the production code read on a host. */
export function createFleetState(host: HostModel): FleetState {
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

/** Creates the host records as the store has them. */
export function createHostRecords({registrations}: StorePrimacyState): ReadonlyMap<string, HostRecord> {
	return new Map(Object.entries(registrations).map(([host, refreshedAt]) => [host, {
		host, incarnation: '', domain: 'd', address: host, port: 1, refreshedAt,
	}]));
}

/** Returns the state with some properties of one host replaced. */
export function updateHost(state: StorePrimacyState, name: string, change: Partial<HostModel>): StorePrimacyState {
	return {...state, hosts: {...state.hosts, [name]: {...state.hosts[name]!, ...change}}};
}
