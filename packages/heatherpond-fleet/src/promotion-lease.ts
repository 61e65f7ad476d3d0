/**
 * The promotion lease, stored under the key `duty`: at most one host at a time may request promotions. The lease expires at
 * the time in its row unless its holder renews it.
 */
import type {Deadline, Instant} from 'heatherpond-core';
import type {PromotionLeaseRecord} from './fleet-records.js';
import type {HostIdentity} from './fleet-services.js';
import type {FleetState} from './fleet-state.js';
import {isSettled} from './store-restore.js';

/** Milliseconds for which the lease is acquired or renewed. */
export const PROMOTION_LEASE_MS = 3500;
/** Milliseconds before its expiry at which the holder renews the lease. */
export const PROMOTION_LEASE_RENEWAL_MS = 2000;
/** Milliseconds before its expiry at which the holder stops using the lease, so that it has stopped when others may acquire it. */
const PROMOTION_LEASE_MARGIN_MS = 300;

/** Number of fencing tokens of one era of the store; tokens of a later era are higher than all that were given out before. */
const TOKENS_PER_ERA = 2 ** 32;

/** Returns whether this incarnation of the host holds the promotion lease. */
export function hasPromotionLease(state: FleetState, {host, incarnation}: HostIdentity): boolean {
	const lease = readCurrentLease(state);
	return lease?.holder === host && lease.incarnation === incarnation;
}

/** Reads the lease unless it was written in an earlier era, in which it may have changed hands since. */
function readCurrentLease({duty, storeEra}: FleetState): PromotionLeaseRecord | undefined {
	return duty && duty.record.fence >= (storeEra ?? 0) * TOKENS_PER_ERA ? duty.record : undefined;
}

/**
 * Returns whether this host may acquire the lease: it has expired, or this host holds it, possibly as an earlier incarnation.
 * Leases of an earlier era of the store may be lost; they have expired when that era has settled.
 */
export function isPromotionLeaseAvailable(state: FleetState, {host}: HostIdentity, now: Instant): boolean {
	const lease = readCurrentLease(state);
	return lease ? lease.holder === host || lease.until < now + state.storeClockOffset : isSettled(state, now);
}

/** Creates the record with which this host acquires or renews the lease; a new holder gets a new fencing token. */
export function createPromotionLease(state: FleetState, identity: HostIdentity, now: Instant, durationMs: number): PromotionLeaseRecord {
	const fence = Math.max(state.duty?.record.fence ?? 0, (state.storeEra ?? 0) * TOKENS_PER_ERA);
	return {
		holder: identity.host,
		incarnation: identity.incarnation,
		fence: hasPromotionLease(state, identity) ? fence : fence + 1,
		until: Math.floor(now + state.storeClockOffset + durationMs),
	};
}

/** Response timeout of a promotion request, in milliseconds. */
const PROMOTION_REQUEST_TIMEOUT_MS = 1000;
/** Milliseconds before the end of the lease at which a request has its response, or counts as unknown. */
const PROMOTION_REQUEST_END_MARGIN_MS = 400;

/**
 * Decides, at the moment of sending, by when a promotion request must be answered; nothing when it must not be sent any more: the
 * host may have stood still since its last check, and another host acquired the lease.
 */
export function decideRequestDeadline(leaseDeadline: Deadline, now: Instant): Deadline | undefined {
	const deadline = Math.min(leaseDeadline - PROMOTION_REQUEST_END_MARGIN_MS, now + PROMOTION_REQUEST_TIMEOUT_MS);
	return now < deadline ? deadline : undefined;
}

/** Returns until when this host may use the lease, on its own clock; negative infinity when it does not hold it. */
export function readPromotionLeaseDeadline(state: FleetState, identity: HostIdentity): Deadline {
	return hasPromotionLease(state, identity) ? state.duty!.record.until - state.storeClockOffset - PROMOTION_LEASE_MARGIN_MS : Number.NEGATIVE_INFINITY;
}
