/** Starts the promotions that have become due. */
import type {Instant} from 'heatherpond-core';
import {findCommitHolders, readSyncReplicas} from './commit-holders.js';
import type {PrimacyRecord} from './fleet-records.js';
import type {FleetState, Versioned} from './fleet-state.js';
import {createHolder, createOwnLease} from './own-promotion-lease.js';
import {isAffirmed} from './primacy.js';
import type {PromotionController} from './promotion-controller-state.js';
import {decidePromotionCause, findLiveHosts, type PromotionCause} from './promotion-decisions.js';
import {waitForJitter} from './promotion-jitter.js';
import {isPromotionLeaseAvailable} from './promotion-lease.js';
import {startPromotionRun} from './running-promotions.js';
import {submitPrimacies} from './submit-primacies.js';

/** A primary that is to be replaced, and why. */
type DuePromotion = {readonly primacy: Versioned<PrimacyRecord>; readonly cause: PromotionCause};

/**
 * Starts one due promotion, unless another host has done so during the random delay.
 *
 * @throws StoreError when the store does not respond in time
 */
export async function startDuePromotion(controller: PromotionController, state: FleetState): Promise<void> {
	const {services, runningGroups} = controller;
	const {clock, blackboard} = services;
	const due = findDuePromotions(controller, state, clock.readNow()).filter(({primacy}) => !runningGroups.has(primacy.record.group));
	if (due.length === 0) {
		return;
	}

	await waitForJitter(controller);
	const current = blackboard.read();
	const first = findDuePromotions(controller, current, clock.readNow()).find(({primacy}) => !runningGroups.has(primacy.record.group));
	if (first && isPromotionLeaseAvailable(current, services.identity, clock.readNow())) {
		await startPromotion(controller, current, first);
	}
}

function findDuePromotions({services: {readRegion}}: PromotionController, state: FleetState, now: Instant): readonly DuePromotion[] {
	const liveHosts = findLiveHosts(state.hosts, now + state.storeClockOffset).length;
	return [...state.primacies.values()].filter(({record}) => isAffirmed(state, record)).flatMap(primacy => {
		const cause = decidePromotionCause(state, primacy.record, {liveHosts, readRegion});
		return cause ? [{primacy, cause}] : [];
	});
}

async function startPromotion(controller: PromotionController, state: FleetState, {primacy, cause}: DuePromotion): Promise<void> {
	const {services} = controller;
	const {identity, clock, writeEvent} = services;
	const promotionLease = createOwnLease(controller, state);
	const record: PrimacyRecord = {
		...primacy.record,
		// The list is kept between promotions only, and a replica that has registered since may depart during this one.
		...readSyncReplicas(state, primacy.record.group) > 0 && {holders: [...findCommitHolders(state, primacy.record)]},
		promotion: {
			id: `${identity.incarnation}-${primacy.version}`, isPlanned: cause.isPlanned, reason: cause.reason, holder: createHolder(identity),
		},
	};
	writeEvent('promotion_due', {
		group: record.group, primary: record.primary, term: record.term, reason: cause.reason, fence: promotionLease.fence,
	});
	const version = await submitPrimacies(services, state, [{record, expected: primacy.version}], promotionLease);
	if (version !== undefined) {
		controller.firstSeenAt.set(record.promotion!.id, clock.readNow());
		startPromotionRun(controller, {record, version}, promotionLease);
	}
}
