/** The rules of primacy on the store: decisions of the production code and conditions of its transactions. Mutants replace some of them. */
import {
	createPromotionLease, decideRequestDeadline, PROMOTION_LEASE_MS, findLiveHosts, isPromotionLeaseAvailable, isProven, LEASE_MARGIN_MS, LEASE_MS, readPromotionLeaseDeadline, REGISTRATION_MS,
	type PromotionLeaseRecord, type FleetState, type HostIdentity, type HostRecord, type PrimacyRecord,
} from 'heatherpond-fleet';

/** Every rule that a mutant may disable. */
export type StorePrimacyRules = {
	readonly isProven: typeof isProven;
	readonly isPromotionLeaseAvailable: typeof isPromotionLeaseAvailable;
	readonly createPromotionLease: (state: FleetState, identity: HostIdentity, now: number) => PromotionLeaseRecord;
	readonly readPromotionLeaseDeadline: typeof readPromotionLeaseDeadline;
	readonly decideRequestDeadline: typeof decideRequestDeadline;
	readonly findLiveHosts: (hosts: ReadonlyMap<string, HostRecord>, storeNow: number) => readonly string[];
	/** Time in milliseconds after which a promotion proceeds without confirmations: every lease has expired by then. */
	readonly leaseWaitMs: number;
	readonly registrationMs: number;
	/** Whether verifying this record renews the lease. */
	readonly isLeaseRenewedBy: (record: PrimacyRecord) => boolean;
	/** Finds the database that an earlier attempt at the promotion has named as candidate. */
	readonly findNamedCandidate: (record: PrimacyRecord) => string | undefined;
	/** Whether a transaction is rejected if a row has changed since it was read. */
	readonly hasConditions: boolean;
};

/** The rules of the production code, unchanged. */
export const STORE_PRIMACY_RULES: StorePrimacyRules = {
	isProven,
	isPromotionLeaseAvailable,
	createPromotionLease: (state, identity, now) => createPromotionLease(state, identity, now, PROMOTION_LEASE_MS),
	readPromotionLeaseDeadline,
	decideRequestDeadline,
	findLiveHosts,
	leaseWaitMs: LEASE_MS + LEASE_MARGIN_MS,
	registrationMs: REGISTRATION_MS,
	isLeaseRenewedBy: ({promotion}) => promotion === undefined,
	findNamedCandidate: ({promotion}) => promotion?.candidate,
	hasConditions: true,
};
