/**
 * Confirms promotions: this host sends the old primary no new statements, waits briefly for those in flight, and then
 * records that it no longer acknowledges anything that the old primary commits.
 */
import {waitUntil, type Deadline} from 'heatherpond-core';
import {
	CONFIRMATION_PREFIX, FLEET_TABLE, type ConfirmationRecord, type PrimacyRecord,
} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import type {PrimaryWork} from './primary-work.js';
import {StoreError} from './store-port.js';

/** Milliseconds for which statements in flight on the old primary may finish when it is expected to respond. */
const PLANNED_DRAIN_MS = 350;
/** Milliseconds for which statements in flight on the old primary may finish when it is not expected to respond. */
const UNPLANNED_DRAIN_MS = 30;
const STORE_TIMEOUT_MS = 500;
const RETRY_DELAY_MS = 150;

/** Dependencies of the confirmations. */
export type ConfirmationServices = FleetServices & {
	/** Statements and transactions of this host that are in flight on primaries. */
	readonly work: PrimaryWork;
	/** Sends the confirmation to the other hosts directly, in addition to the store. */
	readonly sendConfirmation: (confirmation: ConfirmationRecord) => void;
};

/** Confirms every promotion that appears in the fleet state, until the signal aborts. */
export function startPromotionConfirmations(services: ConfirmationServices, signal: AbortSignal): void {
	const {blackboard, writeEvent} = services;
	const started = new Set<string>();
	const stopListening = blackboard.registerListener(state => state.primacies, primacies => {
		[...primacies.values()].filter(({record}) => record.promotion && !started.has(record.promotion.id)).forEach(({record}) => {
			started.add(record.promotion!.id);
			writeEvent('promotion_seen', {
				group: record.group, promotion: record.promotion!.id, primary: record.primary, term: record.term,
			});
			void handlePromotion(services, record, signal);
		});
	});
	signal.addEventListener('abort', stopListening, {once: true});
}

async function handlePromotion(services: ConfirmationServices, record: PrimacyRecord, signal: AbortSignal): Promise<void> {
	const {clock, blackboard, work, sendConfirmation} = services;
	const promotion = record.promotion!;
	await work.waitUntilIdle(record.group, clock.readNow() + (promotion.isPlanned ? PLANNED_DRAIN_MS : UNPLANNED_DRAIN_MS), signal);
	// From here on no commit of the old primary is acknowledged, even if writing the row to the store fails.
	blackboard.update(state => ({
		...state, ownConfirmations: new Map([...state.ownConfirmations, [record.group, {promotionId: promotion.id, isSent: true}]]),
	}));
	const confirmation: ConfirmationRecord = {host: services.identity.host, group: record.group, promotionId: promotion.id};
	sendConfirmation(confirmation);
	await writeConfirmation(services, confirmation, signal);
}

/** Writes the confirmation to the store, because datagrams may be lost and a host that takes over the promotion reads it there. */
async function writeConfirmation({clock, blackboard, identity, store, writeEvent}: FleetServices, confirmation: ConfirmationRecord, signal: AbortSignal): Promise<void> {
	const {group, promotionId} = confirmation;
	const row = {table: FLEET_TABLE, key: `${CONFIRMATION_PREFIX}${group}/${identity.host}`, value: JSON.stringify(confirmation)};
	const isCurrent = (): boolean => blackboard.read().primacies.get(group)?.record.promotion?.id === promotionId;
	while (!signal.aborted && isCurrent()) {
		const deadline: Deadline = clock.readNow() + STORE_TIMEOUT_MS;
		try {
			await store.writeRows({expected: [], puts: [row], removed: []}, deadline);
			writeEvent('promotion_confirmed', {group, promotion: promotionId});
			return;
		} catch (error) {
			if (!(error instanceof StoreError)) {
				throw error;
			}

			writeEvent('confirm_failed', {group, promotion: promotionId, reason: error.message});
			await waitUntil(clock, clock.readNow() + RETRY_DELAY_MS, signal);
		}
	}
}
