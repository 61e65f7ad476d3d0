/** Runs promotions that are under the lease of this host, one run at a time for each group. */
import type {Instant} from 'heatherpond-core';
import type {PromotionLeaseRecord, PrimacyRecord} from './fleet-records.js';
import type {FleetState, Versioned} from './fleet-state.js';
import {readFenceDeadline} from './own-promotion-lease.js';
import type {PromotionController} from './promotion-controller-state.js';
import {PROMOTION_LEASE_RENEWAL_MS, readPromotionLeaseDeadline} from './promotion-lease.js';
import {runPromotion} from './promotion-run.js';

/** Continues promotions under the lease of this host that are not running, for example after a response of the store was lost. */
export function startOwnPromotions(controller: PromotionController, state: FleetState, now: Instant): void {
	if (readPromotionLeaseDeadline(state, controller.services.identity) > now + PROMOTION_LEASE_RENEWAL_MS) {
		findUnhandledPromotions(controller, state).forEach(primacy => {
			startPromotionRun(controller, primacy, state.duty!.record);
		});
	}
}

/** Finds the recorded promotions that this host is not running. */
export function findUnhandledPromotions({runningGroups}: PromotionController, state: FleetState): ReadonlyArray<Versioned<PrimacyRecord>> {
	return [...state.primacies.values()].filter(({record}) => record.promotion && !runningGroups.has(record.group));
}

/** Runs a promotion until it ends or the signal aborts; a failure is logged, and a later step may run the promotion again. */
export function startPromotionRun(controller: PromotionController, primacy: Versioned<PrimacyRecord>, promotionLease: PromotionLeaseRecord): void {
	const {services, runningGroups, firstSeenAt, lastKnownUpstreams, signal} = controller;
	const {group, promotion, primary} = primacy.record;
	runningGroups.add(group);
	void runPromotion(services, {
		primacy,
		firstSeenAt: firstSeenAt.get(promotion!.id) ?? services.clock.readNow(),
		fence: promotionLease.fence,
		readDeadline: () => readFenceDeadline(services, promotionLease.fence),
		oldPrimary: primary === undefined ? undefined : lastKnownUpstreams.get(primary),
	}, signal).catch((error: unknown) => {
		services.writeEvent('promotion_run_failed', {group, reason: String(error)});
	}).finally(() => {
		runningGroups.delete(group);
	});
}
