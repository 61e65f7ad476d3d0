/**
 * What a host does when the store has come back from an older copy. Rows that hosts wrote in the lost time are gone: records
 * of primaries, promotions under way, the promotion lease, registrations.
 *
 * A primacy record counts only in the era in which it was affirmed. A host whose lease on a primary was valid when it learned
 * of the new era affirms that primary at once: every promotion waits for the confirmation or the lease of this host before it
 * is requested, so none has been, and none of the earlier era will be, because the row of a promotion is read again right
 * before its request. Without such a host, a primary is affirmed from what the databases report, after all leases and
 * requests of the earlier era have ended.
 */
import type {Instant} from 'heatherpond-core';
import type {PrimacyRecord} from './fleet-records.js';
import type {FleetState} from './fleet-state.js';
import {LEASE_MS, isProven} from './primacy.js';
import {readEra} from './store-version.js';

/**
 * Milliseconds after which nothing of the earlier era is under way any more: leases on primaries, the promotion lease, and
 * promotion requests with the time that they take.
 */
export const RESTORE_SETTLE_MS = 5500;

/** Milliseconds for which the operator may take to write the configuration again after a restore. */
export const CONTRACTS_SETTLE_MS = 1000;

/**
 * Applies the era of a response. The first era that a host sees is that of its start; a later one invalidates its
 * registration and its leases.
 */
export function applyStoreEra(state: FleetState, era: number, now: Instant): FleetState {
	if (state.storeEra !== undefined && era <= state.storeEra) {
		return state;
	}

	if (state.storeEra === undefined) {
		return {...state, storeEra: era, eraSeenAt: now};
	}

	return {
		...state,
		storeEra: era,
		eraSeenAt: now,
		restoredAt: now,
		retainedPrimaries: new Map([...findRetainedPrimaries(state, now)].map(record => [record.group, record])),
		knownTerms: new Map([...state.knownTerms, ...[...state.primacies.values()].map(({record: {group, term}}) => [group, Math.max(term, state.knownTerms.get(group) ?? 0)] as const)]),
		primacyVerifiedAt: Number.NEGATIVE_INFINITY,
		leaseVerifiedAt: new Map(),
		registeredUntil: Number.NEGATIVE_INFINITY,
		registeredAt: Number.POSITIVE_INFINITY,
	};
}

/** Finds the primaries that cannot have been replaced: those with a valid lease, and those retained from a restore shortly before. */
function findRetainedPrimaries(state: FleetState, now: Instant): readonly PrimacyRecord[] {
	const earlier = now < state.restoredAt + LEASE_MS ? [...state.retainedPrimaries.values()] : [];
	const proven = [...state.primacies.values()]
		.map(({record}) => record)
		.filter(({group, primary, term, promotion}) => primary !== undefined && promotion === undefined && isProven(state, {group, database: primary, term}, now));
	return [...earlier, ...proven];
}

/** Whether a response is of an earlier era than another one that this host has seen. */
export function isOutdated({storeEra}: FleetState, version: number): boolean {
	return storeEra !== undefined && readEra(version) < storeEra;
}

/** Whether leases and promotion requests of an earlier era, if there was one, have ended. */
export function isSettled({storeEra, eraSeenAt}: FleetState, now: Instant): boolean {
	return (storeEra ?? 0) === 0 || now >= eraSeenAt + RESTORE_SETTLE_MS;
}

/** How a record that is not affirmed can be affirmed: with the primary that this host knows, by asking the databases, or not yet. */
export type AffirmationDecision = {readonly kind: 'write'; readonly record: PrimacyRecord} | {readonly kind: 'survey'} | {readonly kind: 'wait'};

/** Decides how a record is affirmed. A promotion that is in the record is not affirmed but taken over. */
export function decideAffirmation(state: FleetState, record: PrimacyRecord, now: Instant): AffirmationDecision {
	const retained = state.retainedPrimaries.get(record.group);
	if (retained && retained.term >= record.term) {
		return {kind: 'write', record: {...retained, era: state.storeEra}};
	}

	return record.promotion === undefined && isSettled(state, now) ? {kind: 'survey'} : {kind: 'wait'};
}
