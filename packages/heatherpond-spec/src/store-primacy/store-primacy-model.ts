/**
 * The model of primacy on the platform's store: hosts that rely on a primary while they hold a lease; promotions that are
 * recorded before they start and can be taken over after any step; a promotion lease with a fencing token; promotion requests
 * that are lost or executed late; hosts that pause (none of their steps is taken) or restart.
 */
import type {PrimacyRecord, Versioned} from 'heatherpond-fleet';
import type {Model} from '../model.js';
import {applyStep} from './apply-store-primacy-step.js';
import {collectSteps} from './collect-store-primacy-steps.js';
import type {StorePrimacyRules} from './store-primacy-rules.js';
import {GROUP, type HostModel, type StorePrimacyState} from './store-primacy-state.js';
import {formatStep, type StorePrimacyScope, type StorePrimacyStep} from './store-primacy-steps.js';

/** Creates the model for a scope and a set of rules. */
export function createStorePrimacyModel(name: string, scope: StorePrimacyScope, rules: StorePrimacyRules): Model<StorePrimacyState, StorePrimacyStep> {
	return {
		name,
		initial: createInitialState(scope, rules),
		collectSteps: state => collectSteps(scope, rules, state),
		applyStep: (state, step) => applyStep(rules, state, step),
		findViolation: state => state.violation,
		formatState: state => JSON.stringify(state),
		formatStep,
	};
}

function createInitialState({hosts, databases}: StorePrimacyScope, {registrationMs}: StorePrimacyRules): StorePrimacyState {
	const record: Versioned<PrimacyRecord> = {record: {group: GROUP, term: 1, primary: databases[0]}, version: 1};
	const host: HostModel = {
		incarnation: 1, record, leaseVerifiedAt: 0, registeredUntil: registrationMs, registeredAt: -1, promotionSeenAt: 0,
	};
	return {
		now: 0, version: 1, record, promotionRequests: [], actualPrimary: databases[0]!, term: 1, promoted: {}, replacedPrimaries: [], lastFence: 0, fenceHolders: {}, crashes: 0, confirmations: {},
		hosts: Object.fromEntries(hosts.map(name => [name, host])),
		registrations: Object.fromEntries(hosts.map(name => [name, 0])),
	};
}
