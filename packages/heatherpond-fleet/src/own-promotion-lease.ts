/** Acquires, renews and reads the promotion lease on behalf of this host. */
import type {Deadline, Instant} from 'heatherpond-core';
import {
	PROMOTION_LEASE_KEY, FLEET_TABLE, type PromotionLeaseRecord, type PrimacyRecord,
} from './fleet-records.js';
import type {FleetServices, HostIdentity} from './fleet-services.js';
import type {FleetState} from './fleet-state.js';
import type {PromotionController} from './promotion-controller-state.js';
import {
	createPromotionLease, PROMOTION_LEASE_MS, PROMOTION_LEASE_RENEWAL_MS, readPromotionLeaseDeadline,
} from './promotion-lease.js';

/** Milliseconds within which the store must respond. */
const STORE_TIMEOUT_MS = 600;

/** Creates the lease with which this host acquires or renews the right to request promotions. */
export function createOwnLease({services: {identity, clock}, minPromotionLeaseMs}: PromotionController, state: FleetState): PromotionLeaseRecord {
	return createPromotionLease(state, identity, clock.readNow(), Math.max(PROMOTION_LEASE_MS, minPromotionLeaseMs));
}

/** Creates the holder of a promotion: this incarnation of this host. */
export function createHolder({host, incarnation}: HostIdentity): NonNullable<NonNullable<PrimacyRecord['promotion']>['holder']> {
	return {host, incarnation};
}

/**
 * Renews the lease of this host when it is about to expire and a promotion needs it.
 *
 * @throws StoreError when the store does not respond in time; a conflict is found at the next read of the fleet table
 */
export async function renewPromotionLease(controller: PromotionController, state: FleetState, now: Instant): Promise<void> {
	const {services, runningGroups} = controller;
	const {identity, store, clock} = services;
	const isNeeded = runningGroups.size > 0 || [...state.primacies.values()].some(({record}) => record.promotion);
	if (!isNeeded || readPromotionLeaseDeadline(state, identity) > now + PROMOTION_LEASE_RENEWAL_MS) {
		return;
	}

	const promotionLease = createOwnLease(controller, state);
	await store.writeRows({
		expected: [{table: FLEET_TABLE, key: PROMOTION_LEASE_KEY, version: state.duty!.version}],
		puts: [{table: FLEET_TABLE, key: PROMOTION_LEASE_KEY, value: JSON.stringify(promotionLease)}],
		removed: [],
	}, clock.readNow() + STORE_TIMEOUT_MS);
	services.refreshFleet();
}

/** Returns the deadline of the lease, provided that it still has the same fencing token, and that no suspension makes the clocks incomparable. */
export function readFenceDeadline({readState, identity}: FleetServices, fence: number): Deadline {
	const state = readState();
	const isUsable = state.duty?.record.fence === fence && Number.isFinite(state.primacyVerifiedAt);
	return isUsable ? readPromotionLeaseDeadline(state, identity) : Number.NEGATIVE_INFINITY;
}
