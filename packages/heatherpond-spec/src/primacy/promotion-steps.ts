/** Steps of a promotion. Any host may take them, and may stop after any of them. */
import {decideNextTerm} from 'heatherpond-core';
import {appendNode, GROUP, readGroup} from './log-node.js';
import {collectRemovals} from './host-steps.js';
import {
	readMemberStatus, type HostModel, type PrimacyState, type PromotionState,
} from './primacy-state.js';
import {findCandidate} from './primacy-rules.js';
import type {StepContext, StepHandlers} from './step-handlers.js';
import {
	findByName, updateHost, updateMember, updatePromotion,
} from './update-state.js';

/** Handlers of the promotion steps. */
export const PROMOTION_STEPS: StepHandlers<'decide' | 'append' | 'learn' | 'raise' | 'confirm' | 'promote' | 'record'> = {
	decide: (context, state, {host}) => applyDecision(context, state, findByName(state.hosts, host)),
	append: (context, state, {host}) => applyAppend(context, state, findByName(state.hosts, host)),
	learn: (context, state, {host}) => applyAppendResponse(context, state, findByName(state.hosts, host)),
	raise: (_, state, {host, member}) => applyTermGrant(state, host, member),
	confirm: (context, state, {host, peer}) => applyConfirmation(context, state, {host: findByName(state.hosts, host), peer: findByName(state.hosts, peer)}),
	promote: (context, state, {host}) => applyPromotion(context, state, findByName(state.hosts, host)),
	record: (context, state, {host}) => applyPromotionEnd(context, state, findByName(state.hosts, host)),
};

function applyDecision({scope}: StepContext, state: PrimacyState, host: HostModel): PrimacyState {
	const promotion: PromotionState = {
		term: decidePromotionTerm(host, scope.isStoreless), stage: scope.isStoreless ? 'known' : 'asked', askedAt: state.now, knownAt: state.now, granted: [], confirmed: [],
	};
	return updateHost(state, host.name, {promotion});
}

/** Decides the term of the next promotion. Without the store, a promoter never retries a term that it has already tried. */
export function decidePromotionTerm(host: HostModel, isStoreless: boolean): number {
	const tried = isStoreless ? host.promotion?.term ?? 0 : 0;
	return Math.max(decideNextTerm(readGroup(host.log), []), tried + 1);
}

function applyAppend(context: StepContext, state: PrimacyState, host: HostModel): PrimacyState {
	const {scope, rules} = context;
	const promotion = host.promotion!;
	if (!rules.isAppendAccepted(host.log, state.head)) {
		return updateHost(state, host.name, {promotion: undefined});
	}

	const entry = appendNode(host.log, {
		kind: 'promotionStarted', group: GROUP, term: promotion.term, promoter: host.name,
	});
	const appended = updatePromotion({...state, head: entry}, host.name, {entry});
	return scope.maxTicks === 0 ? applyAppendResponse(context, appended, findByName(appended.hosts, host.name)) : appended;
}

function applyAppendResponse({rules}: StepContext, state: PrimacyState, host: HostModel): PrimacyState {
	const entry = host.promotion!.entry!;
	const known = updatePromotion(state, host.name, {stage: 'known', knownAt: rules.readWaitStart(host.promotion!, state.now), confirmed: [host.name]});
	return host.log.view.version < entry.view.version ? updateHost(known, host.name, {log: entry, removals: collectRemovals(host, entry, state.now)}) : known;
}

function applyConfirmation({rules}: StepContext, state: PrimacyState, {host, peer}: {readonly host: HostModel; readonly peer: HostModel}): PrimacyState {
	const {term, confirmed} = host.promotion!;
	const promised = rules.isConfirmationBinding ? updateHost(state, peer.name, {fencedTerm: Math.max(term, peer.fencedTerm)}) : state;
	return updatePromotion(promised, host.name, {confirmed: [...confirmed, peer.name].toSorted()});
}

function applyTermGrant(state: PrimacyState, promoter: string, name: string): PrimacyState {
	const {term, granted} = findByName(state.hosts, promoter).promotion!;
	const raised = updateMember(state, name, {term, grantedTo: promoter});
	const status = readMemberStatus(findByName(raised.members, name));
	return updatePromotion(raised, promoter, {granted: [...granted, status].toSorted((left, right) => left.name < right.name ? -1 : 1)});
}

function applyPromotion({rules}: StepContext, state: PrimacyState, host: HostModel): PrimacyState {
	const promotion = host.promotion!;
	const primary = findCandidate(rules, promotion, host)!;
	const {history} = findByName(state.members, primary);
	const promoted = updateMember(state, primary, {primaryTerm: promotion.term, follows: ''});
	const promotedPrimaries = [...state.promotedPrimaries, {term: promotion.term, member: primary, history}];
	return checkNewPrimary(updatePromotion({...promoted, promotedPrimaries}, host.name, {stage: 'promoted', primary, start: history.length}));
}

/**
 * Checks the history of the new primary against what clients were told. A primary of an older term receives no
 * requests, so a write reported lost may be in its history.
 */
function checkNewPrimary(state: PrimacyState): PrimacyState {
	const {history, term} = state.promotedPrimaries.at(-1)!;
	const held = new Set(history.map(record => record.write));
	const isNewest = state.promotedPrimaries.every(promoted => promoted.term <= term);
	if (state.writes.some(write => write.stage === 'acknowledged' && write.proof === 'replica' && write.point.term < term && !held.has(write.id))) {
		return {...state, violation: 'a write acknowledged with a replica proof is in every later primary'};
	}

	return isNewest && state.writes.some(write => write.stage === 'reportedLost' && held.has(write.id))
		? {...state, violation: 'a write that was reported lost stays lost'}
		: state;
}

function applyPromotionEnd({rules}: StepContext, state: PrimacyState, host: HostModel): PrimacyState {
	const {term, primary, start} = host.promotion!;
	const isRecorded = rules.isAppendAccepted(host.log, state.head) && rules.isEndRecorded(host.log, term);
	if (!isRecorded) {
		return state;
	}

	const log = appendNode(host.log, {
		kind: 'promotionEnded', group: GROUP, term, primary: primary!, start: BigInt(start!),
	});
	return updateHost({...state, head: log}, host.name, {log, promotion: undefined});
}
