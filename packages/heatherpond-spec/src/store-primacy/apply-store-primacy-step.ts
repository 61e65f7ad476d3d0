/** Applies a step to a state of the model. */
import {
	applyCandidateChoice, applyOwnershipCheck, applyPromotionEnd, applyPromotionStart, applySentRequest,
} from './apply-promotion-step.js';
import {STORE_PRIMACY_INVARIANTS} from './store-primacy-invariants.js';
import type {StorePrimacyRules} from './store-primacy-rules.js';
import {updateHost, type StorePrimacyState} from './store-primacy-state.js';
import {TICK_MS, type HostStep, type StorePrimacyStep} from './store-primacy-steps.js';

/** Returns the state after a step that is possible in the given one; a broken invariant is noted in `violation`. */
export function applyStep(rules: StorePrimacyRules, state: StorePrimacyState, step: StorePrimacyStep): StorePrimacyState {
	switch (step.kind) {
		case 'tick': {
			return {...state, now: state.now + TICK_MS};
		}

		case 'perform': {
			return applyPromotionRequest(state, step.order);
		}

		case 'name': {
			return applyCandidateChoice(rules, state, step.host, step.database);
		}

		default: {
			return applyHostStep(rules, state, step);
		}
	}
}

function applyPromotionRequest(state: StorePrimacyState, index: number): StorePrimacyState {
	const {database, promotion} = state.promotionRequests[index]!;
	const promotionRequests = state.promotionRequests.filter((_, other) => other !== index);
	if (database === state.actualPrimary) {
		return {...state, promotionRequests};
	}

	const promoted = [...new Set([...state.promoted[promotion] ?? [], database])];
	return {
		...state, promotionRequests, actualPrimary: database, term: state.term + 1, replacedPrimaries: [...state.replacedPrimaries.filter(other => other !== database), state.actualPrimary],
		promoted: {...state.promoted, [promotion]: promoted},
		violation: promoted.length > 1 ? STORE_PRIMACY_INVARIANTS.promoted : state.violation,
	};
}

function applyHostStep(rules: StorePrimacyRules, state: StorePrimacyState, {kind, host: name}: Extract<StorePrimacyStep, {readonly kind: HostStep}>): StorePrimacyState {
	const host = state.hosts[name]!;
	const {now} = state;
	switch (kind) {
		case 'verify': {
			return applyVerification(rules, state, name);
		}

		case 'register': {
			const isFirst = host.registeredUntil <= now;
			const registered = {...state, registrations: {...state.registrations, [name]: now}};
			return updateHost(registered, name, {registeredUntil: now + rules.registrationMs, registeredAt: isFirst ? now : host.registeredAt});
		}

		case 'write': {
			const {primary, term} = host.record.record;
			return updateHost(state, name, {pendingWrite: {database: primary!, term, commit: 'none'}});
		}

		case 'commit': {
			return updateHost(state, name, {pendingWrite: {...host.pendingWrite!, commit: host.pendingWrite!.database === state.actualPrimary ? 'good' : 'stale'}});
		}

		case 'acknowledge': {
			const acknowledged = updateHost(state, name, {pendingWrite: undefined});
			return host.pendingWrite!.commit === 'stale' ? {...acknowledged, violation: STORE_PRIMACY_INVARIANTS.acknowledged} : acknowledged;
		}

		case 'confirm': {
			const {id} = host.record.record.promotion!;
			return updateHost({...state, confirmations: {...state.confirmations, [name]: id}}, name, {confirmed: id, pendingWrite: undefined});
		}

		case 'begin':
		case 'takeOver': {
			return applyPromotionStart(rules, state, name);
		}

		case 'clear': {
			return updateHost(state, name, {run: {...host.run!, phase: 'clear'}});
		}

		case 'check': {
			return applyOwnershipCheck(state, name);
		}

		case 'order': {
			return applySentRequest(state, name);
		}

		case 'record': {
			return applyPromotionEnd(rules, state, name);
		}

		case 'crash': {
			return updateHost({...state, crashes: state.crashes + 1}, name, {
				incarnation: host.incarnation + 1, leaseVerifiedAt: Number.NEGATIVE_INFINITY, registeredUntil: Number.NEGATIVE_INFINITY, registeredAt: Number.POSITIVE_INFINITY,
				confirmed: undefined, pendingWrite: undefined, run: undefined, promotionSeenAt: now,
			});
		}
	}
}

function applyVerification(rules: StorePrimacyRules, state: StorePrimacyState, name: string): StorePrimacyState {
	const host = state.hosts[name]!;
	const {record} = state.record;
	const isNew = record.promotion !== undefined && host.record.record.promotion?.id !== record.promotion.id;
	return updateHost(state, name, {
		record: state.record,
		duty: state.duty,
		leaseVerifiedAt: rules.isLeaseRenewedBy(record) ? state.now : host.leaseVerifiedAt,
		promotionSeenAt: isNew ? state.now : host.promotionSeenAt,
		confirmed: record.promotion?.id === host.confirmed ? host.confirmed : undefined,
	});
}
