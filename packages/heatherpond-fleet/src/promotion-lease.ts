/**
 * The promotion lease, stored under the key `duty`: at most one host at a time may request promotions. The lease expires at
 * the time in its row unless its holder renews it.
 */
import type {Deadline, Instant} from 'heatherpond-core';
import type {PromotionLeaseRecord} from './fleet-records.js';
import type {HostIdentity} from './fleet-services.js';
import type {FleetState} from './fleet-state.js';

/** Milliseconds for which the lease is acquired or renewed. */
export const PROMOTION_LEASE_MS = 3500;
/** Milliseconds before its expiry at which the holder renews the lease. */
export const PROMOTION_LEASE_RENEWAL_MS = 2000;
/** Milliseconds before its expiry at which the holder stops using the lease, so that it has stopped when others may acquire it. */
const PROMOTION_LEASE_MARGIN_MS = 300;

/** Returns whether this incarnation of the host holds the promotion lease. */
export function hasPromotionLease({duty}: FleetState, {host, incarnation}: HostIdentity): boolean {
	return duty?.record.holder === host && duty.record.incarnation === incarnation;
}

/** Returns whether this host may acquire the lease: it has expired, or this host holds it, possibly as an earlier incarnation. */
export function isPromotionLeaseAvailable(state: FleetState, {host}: HostIdentity, now: Instant): boolean {
	const {duty} = state;
	return !duty || duty.record.holder === host || duty.record.until < now + state.storeClockOffset;
}

/** Creates the record with which this host acquires or renews the lease; a new holder gets a new fencing token. */
export function createPromotionLease(state: FleetState, identity: HostIdentity, now: Instant, durationMs: number): PromotionLeaseRecord {
	const fence = state.duty?.record.fence ?? 0;
	return {
		holder: identity.host,
		incarnation: identity.incarnation,
		fence: hasPromotionLease(state, identity) ? fence : fence + 1,
		until: Math.floor(now + state.storeClockOffset + durationMs),
	};
}

/** Returns until when this host may use the lease, on its own clock; negative infinity when it does not hold it. */
export function readPromotionLeaseDeadline(state: FleetState, identity: HostIdentity): Deadline {
	return hasPromotionLease(state, identity) ? state.duty!.record.until - state.storeClockOffset - PROMOTION_LEASE_MARGIN_MS : Number.NEGATIVE_INFINITY;
}
