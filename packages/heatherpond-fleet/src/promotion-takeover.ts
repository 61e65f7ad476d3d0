/** Takes over the promotions that another host has abandoned. */
import type {PrimacyRecord} from './fleet-records.js';
import type {FleetState, Versioned} from './fleet-state.js';
import {createHolder, createOwnLease} from './own-promotion-lease.js';
import type {PromotionController} from './promotion-controller-state.js';
import {findUnhandledPromotions, startPromotionRun} from './running-promotions.js';
import {submitPrimacies} from './submit-primacies.js';

/** Milliseconds within which every host that reaches the store has read the lease of a promotion that it knows of. */
const LEASE_READ_MS = 1500;

/**
 * Acquires the promotion lease and all unfinished promotions of its previous holder. Rewriting their rows makes pending
 * conditional writes of that holder fail.
 *
 * @throws StoreError when the store does not respond in time
 */
export async function takeOverPromotions(controller: PromotionController, state: FleetState): Promise<void> {
	const unhandled = findUnhandledPromotions(controller, state).filter(primacy => isAbandoned(controller, state, primacy));
	if (unhandled.length === 0) {
		return;
	}

	const {services} = controller;
	const promotionLease = createOwnLease(controller, state);
	const taken = unhandled.map(({record, version: expected}) => ({
		record: {...record, era: state.storeEra, promotion: {...record.promotion!, holder: createHolder(services.identity)}}, expected,
	}));
	const version = await submitPrimacies(services, state, taken, promotionLease);
	if (version !== undefined) {
		services.writeEvent('promotion_taken_over', {groups: taken.map(({record}) => record.group).join(','), fence: promotionLease.fence, from: state.duty?.record.holder});
		taken.forEach(({record}) => {
			startPromotionRun(controller, {record, version}, promotionLease);
		});
	}
}

/**
 * Whether a promotion whose holder's lease is not known here may be taken over. Records of promotions also come directly from
 * their holders, before the lease has been read from the store.
 */
function isAbandoned({services: {clock}, firstSeenAt}: PromotionController, {duty}: FleetState, {record}: Versioned<PrimacyRecord>): boolean {
	const {id, holder} = record.promotion!;
	const isLeaseKnown = holder === undefined || duty?.record.incarnation === holder.incarnation;
	return isLeaseKnown || clock.readNow() >= (firstSeenAt.get(id) ?? Number.POSITIVE_INFINITY) + LEASE_READ_MS;
}
