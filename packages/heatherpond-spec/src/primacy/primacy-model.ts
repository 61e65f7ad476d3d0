/** The model of primacy: log, stamps, leases, fencing, promotion and acknowledgements. */
import type {Model} from '../model.js';
import {collectPrimacySteps} from './collect-steps.js';
import {createPrimacyFormatter} from './format-primacy.js';
import {formatPrimacyStep} from './format-step.js';
import {HOST_STEPS} from './host-steps.js';
import {
	appendNode, createEmptyLog, GROUP, isPrefixOf, type LogNode,
} from './log-node.js';
import {MEMBER_STEPS} from './member-steps.js';
import {PRIMACY_RULES, type PrimacyRules} from './primacy-rules.js';
import {
	BEFORE_ANY_LEASE, type HostModel, type MemberModel, type PrimacyScope, type PrimacyState, type PrimacyStep, type WriteModel,
} from './primacy-state.js';
import {PROMOTION_STEPS} from './promotion-steps.js';
import type {
	StepContext, StepHandlers, StepKind,
} from './step-handlers.js';
import {WRITE_STEPS} from './write-steps.js';

const HANDLERS: StepHandlers<StepKind> = {
	...HOST_STEPS, ...PROMOTION_STEPS, ...MEMBER_STEPS, ...WRITE_STEPS,
};

function applyPrimacyStep(context: StepContext, state: PrimacyState, step: PrimacyStep): PrimacyState {
	const apply = HANDLERS[step.kind] as (context: StepContext, state: PrimacyState, step: PrimacyStep) => PrimacyState;
	return apply(context, state, step);
}

/** Creates the model for a scope and a set of rules. */
export function createPrimacyModel(scope: PrimacyScope, rules: PrimacyRules): Model<PrimacyState, PrimacyStep> {
	const context: StepContext = {scope, rules};
	return {
		name: scope.name,
		initial: createInitialState(scope),
		collectSteps: state => collectPrimacySteps(context, state),
		applyStep: (state, step) => applyPrimacyStep(context, state, step),
		findViolation: state => findPrimacyViolation(state),
		formatState: createPrimacyFormatter(scope),
		formatStep: formatPrimacyStep,
	};
}

function createInitialLog(scope: PrimacyScope): LogNode {
	const members = scope.members.map(name => ({
		name, host: name, port: 1, domain: 'd', slots: 1, connections: 1,
	}));
	const group = appendNode(createEmptyLog(), {kind: 'groupApplied', group: {name: GROUP, members, durability: scope.durability === 'replica' ? 'replica' : 'contract'}});
	const first = appendNode(group, {
		kind: 'promotionEnded', group: GROUP, term: 1, primary: scope.members[0]!, start: 0n,
	});
	return scope.registered.reduce((log, host) => appendNode(log, {
		kind: 'hostRegistered', host, incarnation: host, domain: 'd', peerAddress: host,
	}), first);
}

function createInitialState(scope: PrimacyScope): PrimacyState {
	const log = createInitialLog(scope);
	const hosts: readonly HostModel[] = scope.hosts.map(name => ({
		name, log, verifiedAt: scope.maxTicks === 0 ? 0 : BEFORE_ANY_LEASE, fencedTerm: 0, removals: [],
	}));
	const members: readonly MemberModel[] = scope.members.map((name, index) => ({
		name, term: 1, grantedTo: '', primaryTerm: index === 0 ? 1 : 0, follows: index === 0 ? '' : scope.members[0]!, history: [],
	}));
	const writes: readonly WriteModel[] = Array.from({length: scope.writes}, (_, index) => ({
		id: index + 1, stage: 'queued', host: '', database: '', point: {term: 0, position: 0n}, runs: 0,
	}));
	const state: PrimacyState = {
		now: 0, head: log, hosts, members, writes, promotedPrimaries: [{term: 1, member: scope.members[0]!, history: []}],
	};
	return scope.hasInitialWrite ? applyInitialWrite(scope, state) : state;
}

function applyInitialWrite(scope: PrimacyScope, state: PrimacyState): PrimacyState {
	const dispatched = WRITE_STEPS.dispatch({scope, rules: PRIMACY_RULES}, state, {
		kind: 'dispatch', write: 1, host: scope.writers[0]!, member: scope.members[0]!,
	});
	return WRITE_STEPS.answer({scope, rules: PRIMACY_RULES}, dispatched, {kind: 'answer', write: 1, host: scope.writers[0]!});
}

function findPrimacyViolation(state: PrimacyState): string | undefined {
	if (state.violation !== undefined) {
		return state.violation;
	}

	if (!state.hosts.every(host => isPrefixOf(host.log, state.head))) {
		return 'an entry that a host has applied stays in the log';
	}

	if (new Set(state.promotedPrimaries.map(promoted => promoted.term)).size < state.promotedPrimaries.length) {
		return 'a term has one primary';
	}

	return state.writes.some(write => write.runs > 1) ? 'a request runs at most once' : undefined;
}
