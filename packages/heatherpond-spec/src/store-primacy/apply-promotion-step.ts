/** Applies the steps with which a host carries out a promotion; the rows that it changes are written in one transaction. */
import type {PromotionLeaseRecord, PrimacyRecord} from 'heatherpond-fleet';
import {STORE_PRIMACY_INVARIANTS} from './store-primacy-invariants.js';
import type {StorePrimacyRules} from './store-primacy-rules.js';
import {
	createFleetState, GROUP, readIdentity, updateHost, type StorePrimacyState,
} from './store-primacy-state.js';

/** A primacy record with the version that its row must have, and the same for the promotion lease if it is written too. */
type TransactionRows = {readonly record: PrimacyRecord; readonly expected: number; readonly duty?: PromotionLeaseRecord; readonly expectedDuty?: number};

/** Writes rows in one transaction; returns undefined if a row has changed since it was read. */
function applyTransaction(rules: StorePrimacyRules, state: StorePrimacyState, {record, expected, duty, expectedDuty}: TransactionRows): StorePrimacyState | undefined {
	const isMet = state.record.version === expected && (duty === undefined || (state.duty?.version ?? 0) === expectedDuty);
	if (rules.hasConditions && !isMet) {
		return undefined;
	}

	const version = state.version + 1;
	return {
		...state, version, record: {record, version}, duty: duty ? {record: duty, version} : state.duty,
	};
}

/** Acquires the promotion lease and records that the promotion is in progress. */
export function applyPromotionStart(rules: StorePrimacyRules, state: StorePrimacyState, name: string): StorePrimacyState {
	const host = state.hosts[name]!;
	const {record, version: expected} = host.record;
	const promotion = record.promotion ?? {id: `${name}${host.incarnation}-${expected}`, isPlanned: false, reason: 'silent'};
	const duty = rules.createPromotionLease(createFleetState(host), readIdentity(name, host), state.now);
	const written = applyTransaction(rules, state, {
		record: {...record, promotion}, expected, duty, expectedDuty: host.duty?.version ?? 0,
	});
	if (!written) {
		return state;
	}

	return updateHost(written, name, {
		record: written.record, duty: written.duty, promotionSeenAt: record.promotion ? host.promotionSeenAt : state.now,
		run: {
			phase: 'waiting', promotion: promotion.id, startedAt: record.promotion ? host.promotionSeenAt : state.now, fence: duty.fence, version: written.version,
		},
	});
}

/** Records the candidate of the promotion; a host whose record has changed gives the promotion up. */
export function applyCandidateChoice(rules: StorePrimacyRules, state: StorePrimacyState, name: string, database: string): StorePrimacyState {
	const {run, record: {record}} = state.hosts[name]!;
	const written = applyTransaction(rules, state, {record: {...record, promotion: {...record.promotion!, candidate: database}}, expected: run!.version});
	return written
		? updateHost(written, name, {
			record: written.record, run: {
				...run!, phase: 'named', candidate: database, version: written.version,
			},
		})
		: updateHost(state, name, {run: undefined});
}

/** Reads from the store whether the promotion is still this host's; it may stand still before it sends its request. */
export function applyOwnershipCheck(state: StorePrimacyState, name: string): StorePrimacyState {
	const {run} = state.hosts[name]!;
	const isKept = state.record.record.promotion?.id === run!.promotion && state.duty?.record.fence === run!.fence;
	return updateHost(state, name, {run: isKept ? {...run!, phase: 'checked'} : undefined});
}

/** Sends the promotion request, and checks that its fencing token is not lower than an earlier one or used by another host. */
export function applySentRequest(state: StorePrimacyState, name: string): StorePrimacyState {
	const {run} = state.hosts[name]!;
	const {fence, promotion, candidate} = run!;
	const holder = state.fenceHolders[fence] ?? name;
	const isFenceValid = fence >= state.lastFence && holder === name;
	return updateHost({
		...state,
		promotionRequests: [...state.promotionRequests, {database: candidate!, promotion}],
		lastFence: Math.max(fence, state.lastFence),
		fenceHolders: {...state.fenceHolders, [fence]: holder},
		violation: isFenceValid ? state.violation : STORE_PRIMACY_INVARIANTS.fence,
	}, name, {run: {...run!, phase: 'ordered'}});
}

/** Records the promoted database as primary, and ends the promotion. */
export function applyPromotionEnd(rules: StorePrimacyRules, state: StorePrimacyState, name: string): StorePrimacyState {
	const {run} = state.hosts[name]!;
	const record: PrimacyRecord = {group: GROUP, term: state.term, primary: run!.candidate};
	const written = applyTransaction(rules, state, {record, expected: run!.version});
	return written ? updateHost(written, name, {record: written.record, run: undefined}) : updateHost(state, name, {run: undefined});
}
