/** Starts due promotions, takes over those that another host has abandoned, and records the initial primary of each group. */
import {startLoop, type Deadline, type Instant} from 'heatherpond-core';
import {startDuePromotion} from './due-promotions.js';
import type {FleetState} from './fleet-state.js';
import {writeInitialPrimaries} from './initial-primaries.js';
import {renewPromotionLease} from './own-promotion-lease.js';
import {findNextPoll, PEER_POLL_INTERVAL_MS} from './poll-schedule.js';
import type {PromotionController, PromotionControllerOptions} from './promotion-controller-state.js';
import {waitForJitter} from './promotion-jitter.js';
import {hasPromotionLease, isPromotionLeaseAvailable} from './promotion-lease.js';
import {takeOverPromotions} from './promotion-takeover.js';
import {recordAffirmations, findUnaffirmed} from './record-affirmations.js';
import {startOwnPromotions} from './running-promotions.js';
import {StoreError} from './store-port.js';
import {isSettled} from './store-restore.js';

/**
 * Milliseconds between steps while nothing is in progress, and while a promotion is or may become due. A change of primaries,
 * suspicions or databases triggers a step at once; the intervals are for what becomes due with time, which hosts that are not
 * preferred leave to the preferred ones for longer.
 */
const STEP_INTERVALS_MS = {
	preferred: {idle: 250, active: 50},
	other: {idle: PEER_POLL_INTERVAL_MS, active: 250},
};
/** Milliseconds after a failure of the store before the next step. */
const RETRY_DELAY_MS = 250;

/** Starts the controller, which runs until the signal aborts. */
export function startPromotionController(options: PromotionControllerOptions): void {
	const controller: PromotionController = {
		...options, runningGroups: new Set(), firstSeenAt: new Map(), lastKnownUpstreams: new Map(), nextAttemptAt: 0, unrecordedSince: Number.POSITIVE_INFINITY,
	};
	const {services: {blackboard, clock}, signal} = options;
	const loop = startLoop(clock, async () => {
		const startedAt = clock.readNow();
		await runStep(controller);
		return findNextStep(controller, startedAt);
	}, signal);
	const stopListening = [
		blackboard.registerListener(({primacies}) => primacies, loop.wake),
		blackboard.registerListener(({suspicions}) => suspicions, loop.wake),
		blackboard.registerListener(({upstreams}) => upstreams, loop.wake),
	];
	signal.addEventListener('abort', () => {
		stopListening.forEach(stop => {
			stop();
		});
	}, {once: true});
}

function findNextStep(controller: PromotionController, startedAt: Instant): Deadline {
	const isPreferred = controller.isPreferred() || controller.runningGroups.size > 0;
	const {idle, active} = STEP_INTERVALS_MS[isPreferred ? 'preferred' : 'other'];
	if (isActive(controller)) {
		return startedAt + active;
	}

	return isPreferred ? startedAt + idle : findNextPoll(startedAt, idle, controller.pollPhase);
}

/** Whether there is work that must be continued without delay. */
function isActive({services: {blackboard}, runningGroups, unrecordedSince}: PromotionController): boolean {
	const state = blackboard.read();
	const {primacies, suspicions} = state;
	return runningGroups.size > 0 || Number.isFinite(unrecordedSince) || findUnaffirmed(state).length > 0
		|| suspicions.size > 0 || [...primacies.values()].some(({record}) => record.promotion);
}

async function runStep(controller: PromotionController): Promise<void> {
	const {services: {blackboard, clock, writeEvent}} = controller;
	const state = blackboard.read();
	const now = clock.readNow();
	[...state.upstreams.values()].forEach(upstream => {
		controller.lastKnownUpstreams.set(upstream.id, upstream);
	});
	[...state.primacies.values()].filter(({record}) => record.promotion && !controller.firstSeenAt.has(record.promotion.id)).forEach(({record}) => {
		controller.firstSeenAt.set(record.promotion!.id, now);
	});
	// Before the first verification after a suspension, the offset of the store's clock is unknown as well.
	if (state.isStopping || !Number.isFinite(state.primacyVerifiedAt) || state.registeredUntil <= now || now < controller.nextAttemptAt) {
		return;
	}

	try {
		await runDueWork(controller, state, now);
	} catch (error) {
		if (!(error instanceof StoreError)) {
			throw error;
		}

		writeEvent('promotion_step_failed', {reason: error.message});
		controller.nextAttemptAt = clock.readNow() + RETRY_DELAY_MS;
	}
}

async function runDueWork(controller: PromotionController, state: FleetState, now: Instant): Promise<void> {
	const {services: {identity}} = controller;
	if (isSettled(state, now)) {
		await writeInitialPrimaries(controller, state);
	}

	await runAffirmation(controller, state);
	if (hasPromotionLease(state, identity)) {
		startOwnPromotions(controller, state, now);
		await renewPromotionLease(controller, state, now);
	} else if (isPromotionLeaseAvailable(state, identity, now)) {
		await takeOverPromotions(controller, state);
	}

	if (isPromotionLeaseAvailable(state, identity, now)) {
		await startDuePromotion(controller, state);
	}
}

/** Affirms the records of an earlier era of the store. Several hosts may try; their transactions have the same conditions. */
async function runAffirmation(controller: PromotionController, state: FleetState): Promise<void> {
	if (findUnaffirmed(state).length === 0) {
		return;
	}

	await waitForJitter(controller);
	const {services} = controller;
	const current = services.blackboard.read();
	if (Number.isFinite(current.primacyVerifiedAt)) {
		await recordAffirmations(services, current, services.clock.readNow());
	}
}
