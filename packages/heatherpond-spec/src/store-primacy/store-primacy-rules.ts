/** The rules of primacy on the store: decisions of the production code and conditions of its transactions. Mutants replace some of them. */
import {
	createDuty, DUTY_MS, findLiveHosts, isDutyFree, isProven, LEASE_MARGIN_MS, LEASE_MS, readDutyDeadline, REGISTRATION_MS,
	type DutyRecord, type FleetState, type HostIdentity, type HostRecord, type PrimacyRecord,
} from 'heatherpond-fleet';

/** Every rule that a mutant may disable. */
export type StorePrimacyRules = {
	readonly isProven: typeof isProven;
	readonly isDutyFree: typeof isDutyFree;
	readonly createDuty: (state: FleetState, identity: HostIdentity, now: number) => DutyRecord;
	readonly readDutyDeadline: typeof readDutyDeadline;
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
	isDutyFree,
	createDuty: (state, identity, now) => createDuty(state, identity, now, DUTY_MS),
	readDutyDeadline,
	findLiveHosts,
	leaseWaitMs: LEASE_MS + LEASE_MARGIN_MS,
	registrationMs: REGISTRATION_MS,
	isLeaseRenewedBy: ({promotion}) => promotion === undefined,
	findNamedCandidate: ({promotion}) => promotion?.candidate,
	hasConditions: true,
};
