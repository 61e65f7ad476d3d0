/** The rules of primacy on the store: the product's own decisions, and the conditions of its steps. A mutant replaces some. */
import {
	createDuty, DUTY_MS, findLiveHosts, isDutyFree, isProven, LEASE_MARGIN_MS, LEASE_MS, readDutyDeadline, REGISTRATION_MS,
	type DutyRecord, type FleetState, type HostIdentity, type HostRecord, type PrimacyRecord,
} from 'heatherpond-fleet';

/** Everything that a mutant may leave out. */
export type StorePrimacyRules = {
	readonly isProven: typeof isProven;
	readonly isDutyFree: typeof isDutyFree;
	readonly createDuty: (state: FleetState, identity: HostIdentity, now: number) => DutyRecord;
	readonly readDutyDeadline: typeof readDutyDeadline;
	readonly findLiveHosts: (hosts: ReadonlyMap<string, HostRecord>, storeNow: number) => readonly string[];
	/** Milliseconds after which a promotion goes on without confirmations. */
	readonly waitMs: number;
	readonly registrationMs: number;
	/** Whether a lease runs on from a verification of this record. */
	readonly isLeaseRenewedBy: (record: PrimacyRecord) => boolean;
	/** Finds the database that an earlier order has named. */
	readonly findNamed: (record: PrimacyRecord) => string | undefined;
	/** Whether a transaction is refused when the row has changed. */
	readonly hasConditions: boolean;
};

/** The protocol as it stands. */
export const STORE_PRIMACY_RULES: StorePrimacyRules = {
	isProven,
	isDutyFree,
	createDuty: (state, identity, now) => createDuty(state, identity, now, DUTY_MS),
	readDutyDeadline,
	findLiveHosts,
	waitMs: LEASE_MS + LEASE_MARGIN_MS,
	registrationMs: REGISTRATION_MS,
	isLeaseRenewedBy: ({promotion}) => promotion === undefined,
	findNamed: ({promotion}) => promotion?.candidate,
	hasConditions: true,
};
