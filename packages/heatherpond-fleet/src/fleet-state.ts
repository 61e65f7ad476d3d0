/** The blackboard of a host: what it knows about the fleet, and when that was last verified. */
import type {
	Blackboard, Deadline, Instant, Teardown,
} from 'heatherpond-core';
import type {Contracts} from './contracts.js';
import type {Evacuations} from './evacuations.js';
import type {
	EvacuationRecord, PromotionLeaseRecord, HostRecord, PrimacyRecord, SuspicionRecord,
} from './fleet-records.js';
import type {Upstream} from './upstream.js';

/** A record with the version of its row. */
export type Versioned<Record> = {readonly record: Record; readonly version: number};

/** The confirmation of this host for a promotion. */
export type OwnConfirmation = {readonly promotionId: string; readonly isSent: boolean};

/** Fleet state of a host. Instants refer to its own monotonic clock unless stated otherwise. */
export type FleetState = {
	readonly contracts?: Contracts;
	/** The contracts were complete at this instant. */
	readonly contractsVerifiedAt: Instant;
	/** The failure domains that the operator evacuates. */
	readonly evacuations: Evacuations;
	/** When this host learned that the evacuation of a failure domain had ended. */
	readonly evacuationEnds: ReadonlyMap<string, Instant>;
	/** Records of evacuations, by failure domain. */
	readonly evacuationRecords: ReadonlyMap<string, EvacuationRecord>;
	/** Databases by id, as registered. */
	readonly registrations: ReadonlyMap<string, Upstream>;
	/** The registered databases, with the evacuations of their failure domains. */
	readonly upstreams: ReadonlyMap<string, Upstream>;
	/** The registrations were complete at this instant. */
	readonly upstreamsVerifiedAt: Instant;
	/** Primacy records by group. */
	readonly primacies: ReadonlyMap<string, Versioned<PrimacyRecord>>;
	/** The primacy records were complete at this instant. */
	readonly primacyVerifiedAt: Instant;
	/** By group: when its record was last verified to have no promotion, which is when the lease of its primary starts. */
	readonly leaseVerifiedAt: ReadonlyMap<string, Instant>;
	/** The promotion lease. */
	readonly duty?: Versioned<PromotionLeaseRecord>;
	/** Id of the last promotion that a host has confirmed, by `formatGroupHostKey`. */
	readonly confirmations: ReadonlyMap<string, string>;
	/** Suspicions of failed primaries, by `formatGroupHostKey`. */
	readonly suspicions: ReadonlyMap<string, SuspicionRecord>;
	/** Confirmations of this host, by group. */
	readonly ownConfirmations: ReadonlyMap<string, OwnConfirmation>;
	/** Registered hosts, which may rely on leases, as last read or received. */
	readonly hosts: ReadonlyMap<string, HostRecord>;
	/** Until when this host may consider itself registered, so that promotions wait for its confirmation. */
	readonly registeredUntil: Instant;
	/** When the store accepted the current registration; only verifications after it start leases. */
	readonly registeredAt: Instant;
	/** Latest era of the store that this host has seen; absent before the first response. */
	readonly storeEra?: number;
	/** When this host first saw that era. */
	readonly eraSeenAt: Instant;
	/** When this host learned that the store had come back from an older copy; negative infinity if that has not happened in its life. */
	readonly restoredAt: Instant;
	/** By group: primaries that were not replaced in the earlier era, and cannot be any more. */
	readonly retainedPrimaries: ReadonlyMap<string, PrimacyRecord>;
	/** By group: the highest term that was known before a restore. */
	readonly knownTerms: ReadonlyMap<string, number>;
	/**
	 * Whether this host knows all hosts that registered before it. Of two hosts that start at the same time, the later one
	 * then knows the earlier one and reports to it.
	 */
	readonly arePeersKnown: boolean;
	/** When a suspension was last noticed; ages measured from an earlier instant are too low by its unknown length. */
	readonly clockValidFrom: Instant;
	/** Clock of the store minus that of this host in milliseconds, as last measured. */
	readonly storeClockOffset: number;
	readonly isStopping: boolean;
	/** When this host starts no more statements, because it stops; infinite as long as it does not. */
	readonly workEndsAt: Deadline;
};

/** Blackboard that holds the fleet state of a host. */
export type FleetBlackboard = Blackboard<FleetState>;

/** Initial state of a host, before anything has been read. */
export const EMPTY_FLEET_STATE: FleetState = {
	contractsVerifiedAt: Number.NEGATIVE_INFINITY,
	evacuations: new Map(),
	evacuationEnds: new Map(),
	evacuationRecords: new Map(),
	registrations: new Map(),
	upstreams: new Map(),
	upstreamsVerifiedAt: Number.NEGATIVE_INFINITY,
	primacies: new Map(),
	primacyVerifiedAt: Number.NEGATIVE_INFINITY,
	leaseVerifiedAt: new Map(),
	confirmations: new Map(),
	suspicions: new Map(),
	ownConfirmations: new Map(),
	hosts: new Map(),
	registeredUntil: Number.NEGATIVE_INFINITY,
	registeredAt: Number.POSITIVE_INFINITY,
	eraSeenAt: Number.NEGATIVE_INFINITY,
	restoredAt: Number.NEGATIVE_INFINITY,
	retainedPrimaries: new Map(),
	knownTerms: new Map(),
	arePeersKnown: false,
	clockValidFrom: Number.NEGATIVE_INFINITY,
	storeClockOffset: 0,
	isStopping: false,
	workEndsAt: Number.POSITIVE_INFINITY,
};

/** Invalidates all verifications and the registration, after a suspension that the monotonic clock did not measure. */
export function applySuspension(state: FleetState, now: Instant): FleetState {
	return {
		...state,
		clockValidFrom: now,
		contractsVerifiedAt: Number.NEGATIVE_INFINITY,
		upstreamsVerifiedAt: Number.NEGATIVE_INFINITY,
		primacyVerifiedAt: Number.NEGATIVE_INFINITY,
		leaseVerifiedAt: new Map(),
		registeredUntil: Number.NEGATIVE_INFINITY,
		registeredAt: Number.POSITIVE_INFINITY,
	};
}

/** Calls the listener when a suspension invalidates every instant that this host has measured before `validFrom`. */
export function registerClockListener(blackboard: FleetBlackboard, listener: (validFrom: Instant) => void): Teardown {
	return blackboard.registerListener(({clockValidFrom}) => clockValidFrom, listener);
}

/** Calls the listener when a suspension, a restore of the store, or the end of this host invalidates its registration. */
export function registerSuspensionListener(blackboard: FleetBlackboard, listener: () => void): Teardown {
	return blackboard.registerListener(({registeredUntil}) => registeredUntil, registeredUntil => {
		if (registeredUntil === Number.NEGATIVE_INFINITY) {
			listener();
		}
	});
}
