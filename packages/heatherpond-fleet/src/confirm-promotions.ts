/**
 * Confirms promotions: this host sends the old primary no new statements, waits briefly for those in flight, and then tells
 * the host that carries out the promotion that it no longer acknowledges anything that the old primary commits. Only a
 * confirmation that the other host has not acknowledged is written to the store.
 */
import {waitUntil, type Deadline} from 'heatherpond-core';
import {applyConfirmation} from './apply-fleet-update.js';
import {
	CONFIRMATION_PREFIX, FLEET_TABLE, type ConfirmationRecord, type PrimacyRecord,
} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import type {HostContact} from './host-message.js';
import type {PrimaryWork} from './primary-work.js';
import {formatGroupHostKey} from './row-keys.js';
import {StoreError} from './store-port.js';

/** Milliseconds for which statements in flight on the old primary may finish when it is expected to respond. */
const PLANNED_DRAIN_MS = 350;
/** Milliseconds for which statements in flight on the old primary may finish when it is not expected to respond. */
const UNPLANNED_DRAIN_MS = 30;
/** Milliseconds within which a confirmation must be acknowledged, and how often it is sent. */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 100;
const MAX_ATTEMPTS = 3;
const STORE_TIMEOUT_MS = 500;
const RETRY_DELAY_MS = 150;

/** Dependencies of the confirmations. */
export type ConfirmationServices = FleetServices & {
	/** Statements and transactions of this host that are in flight on primaries. */
	readonly work: PrimaryWork;
	/** Sends the confirmation to the host that carries out the promotion; resolves to whether it has acknowledged it by the deadline. */
	readonly requestConfirmation: (holder: HostContact, confirmation: ConfirmationRecord, deadline: Deadline) => Promise<boolean>;
};

/** Confirms every promotion that appears in the fleet state, until the signal aborts. */
export function startPromotionConfirmations(services: ConfirmationServices, signal: AbortSignal): void {
	const {blackboard, writeEvent} = services;
	const started = new Set<string>();
	const stopListening = blackboard.registerListener(state => state.primacies, primacies => {
		[...primacies.values()].filter(({record}) => record.promotion && !started.has(formatRun(record))).forEach(({record}) => {
			started.add(formatRun(record));
			writeEvent('promotion_seen', {
				group: record.group, promotion: record.promotion!.id, primary: record.primary, term: record.term,
			});
			void handlePromotion(services, record, signal);
		});
	});
	signal.addEventListener('abort', stopListening, {once: true});
}

/** Formats what a confirmation refers to: a host that takes over a promotion needs the confirmations as well. */
function formatRun({promotion}: PrimacyRecord): string {
	return `${promotion!.id} ${promotion!.holder?.incarnation ?? ''}`;
}

async function handlePromotion(services: ConfirmationServices, record: PrimacyRecord, signal: AbortSignal): Promise<void> {
	const {clock, blackboard, work} = services;
	const promotion = record.promotion!;
	await work.waitUntilIdle(record.group, clock.readNow() + (promotion.isPlanned ? PLANNED_DRAIN_MS : UNPLANNED_DRAIN_MS), signal);
	// From here on no commit of the old primary is acknowledged, even if writing the row to the store fails.
	blackboard.update(state => ({
		...state, ownConfirmations: new Map([...state.ownConfirmations, [record.group, {promotionId: promotion.id, isSent: true}]]),
	}));
	const confirmation: ConfirmationRecord = {host: services.identity.host, group: record.group, promotionId: promotion.id};
	if (await sendConfirmation(services, promotion.holder?.host, confirmation)) {
		services.writeEvent('promotion_confirmed', {group: record.group, promotion: promotion.id, to: promotion.holder?.host});
		return;
	}

	await writeConfirmation(services, confirmation, signal);
}

/** Sends a confirmation to the host that carries out the promotion; resolves to whether that host has acknowledged it. */
async function sendConfirmation(services: ConfirmationServices, holder: string | undefined, confirmation: ConfirmationRecord, attempts = 0): Promise<boolean> {
	const {identity, blackboard, clock, requestConfirmation} = services;
	if (holder === identity.host) {
		blackboard.update(state => applyConfirmation(state, confirmation));
		return true;
	}

	const contact = holder === undefined ? undefined : blackboard.read().hosts.get(holder);
	if (!contact || attempts === MAX_ATTEMPTS) {
		return false;
	}

	const isAcknowledged = await requestConfirmation(contact, confirmation, clock.readNow() + ACKNOWLEDGEMENT_TIMEOUT_MS);
	return isAcknowledged || sendConfirmation(services, holder, confirmation, attempts + 1);
}

/** Writes the confirmation to the store, where the host that carries out the promotion reads it. */
async function writeConfirmation({clock, blackboard, identity, store, writeEvent}: FleetServices, confirmation: ConfirmationRecord, signal: AbortSignal): Promise<void> {
	const {group, promotionId} = confirmation;
	const row = {table: FLEET_TABLE, key: `${CONFIRMATION_PREFIX}${formatGroupHostKey(group, identity.host)}`, value: JSON.stringify(confirmation)};
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
