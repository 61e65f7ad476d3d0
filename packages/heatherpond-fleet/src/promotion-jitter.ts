/** Spreads the hosts' actions over time, so that one host acts first. */
import {waitUntil} from 'heatherpond-core';
import type {PromotionController} from './promotion-controller-state.js';

/** Maximum random delay in milliseconds before a host acts on a condition that all hosts observe. */
const JITTER_MS = 120;
/** Additional delay in milliseconds of hosts that are not preferred. */
const NON_PREFERRED_DELAY_MS = 250;

/** Waits for a random delay, so that one host acts first and the others see its result before they act themselves. */
export async function waitForJitter({services: {clock, random}, isPreferred, signal}: PromotionController): Promise<void> {
	const jitter = random() * JITTER_MS;
	await waitUntil(clock, clock.readNow() + (isPreferred() ? jitter : NON_PREFERRED_DELAY_MS + (2 * jitter)), signal);
}
