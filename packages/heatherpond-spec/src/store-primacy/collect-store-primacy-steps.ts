/** Collects the steps that hosts, the platform and the clock can take in a state of the model. */
import {findPrimary} from 'heatherpond-fleet';
import type {StorePrimacyRules} from './store-primacy-rules.js';
import {
	createFleetState, createHostRecords, GROUP, readIdentity, type PromotionRun, type StorePrimacyState,
} from './store-primacy-state.js';
import {
	TICK_MS, type HostStep, type StorePrimacyScope, type StorePrimacyStep,
} from './store-primacy-steps.js';

/** Time in milliseconds before the end of the promotion lease from which no promotion request is sent, as in the production code. */
const REQUEST_MARGIN_MS = 800;

/** Collects the possible steps; each can come next. */
export function collectSteps(scope: StorePrimacyScope, rules: StorePrimacyRules, state: StorePrimacyState): readonly StorePrimacyStep[] {
	return [
		...(state.now < scope.ticks * TICK_MS ? [{kind: 'tick'} as const] : []),
		...scope.hosts.flatMap(host => collectHostSteps(scope, rules, state, host)),
		...state.promotionRequests.map((_, order) => ({kind: 'perform', order} as const)),
	];
}

function collectHostSteps(scope: StorePrimacyScope, rules: StorePrimacyRules, state: StorePrimacyState, name: string): readonly StorePrimacyStep[] {
	const host = state.hosts[name]!;
	const fleet = createFleetState(host);
	const {record: {promotion}} = host.record;
	const {run, pendingWrite} = host;
	const isWriter = scope.writers.includes(name);
	const kinds: ReadonlyArray<readonly [boolean, HostStep]> = [
		[host.record.version !== state.record.version || (isWriter && host.leaseVerifiedAt < state.now), 'verify'],
		[scope.refreshesRegistrations && host.registeredUntil < state.now + rules.registrationMs, 'register'],
		[isWriter && !pendingWrite && findPrimary(fleet, GROUP, state.now) !== undefined, 'write'],
		[pendingWrite?.commit === 'none' && (pendingWrite.database === state.actualPrimary || state.replacedPrimaries.includes(pendingWrite.database)), 'commit'],
		[pendingWrite !== undefined && pendingWrite.commit !== 'none' && rules.isProven(fleet, {group: GROUP, ...pendingWrite}, state.now), 'acknowledge'],
		[promotion !== undefined && host.confirmed !== promotion.id, 'confirm'],
		[state.crashes < scope.crashes, 'crash'],
		...collectPromoterKinds(rules, state, name),
	];
	const names = run?.phase === 'clear' ? findCandidates(scope, rules, state, run) : [];
	return [
		...kinds.filter(([isPossible]) => isPossible).map(([, kind]) => ({kind, host: name})),
		...names.map(database => ({kind: 'name', host: name, database} as const)),
	];
}

function collectPromoterKinds(rules: StorePrimacyRules, state: StorePrimacyState, name: string): ReadonlyArray<readonly [boolean, HostStep]> {
	const host = state.hosts[name]!;
	const fleet = createFleetState(host);
	const identity = readIdentity(name, host);
	const {run, record: {record: {promotion, term}}} = host;
	const mayStart = !run && host.registeredUntil > state.now && Number.isFinite(host.leaseVerifiedAt) && rules.isPromotionLeaseAvailable(fleet, identity, state.now);
	return [
		[mayStart && promotion === undefined && term === 1, 'begin'],
		[mayStart && promotion !== undefined, 'takeOver'],
		[run?.phase === 'waiting' && isWaitOver(rules, state, run), 'clear'],
		[run?.phase === 'named' && state.now < rules.readPromotionLeaseDeadline(fleet, identity) - REQUEST_MARGIN_MS, 'check'],
		[run?.phase === 'checked' && rules.decideRequestDeadline(rules.readPromotionLeaseDeadline(fleet, identity), state.now) !== undefined, 'order'],
		[run?.phase === 'ordered' && state.actualPrimary === run.candidate, 'record'],
	];
}

/** Decides whether every live host has confirmed the promotion, or the wait for its lease is over. */
function isWaitOver(rules: StorePrimacyRules, state: StorePrimacyState, run: PromotionRun): boolean {
	const live = rules.findLiveHosts(createHostRecords(state), state.now);
	return live.every(host => state.confirmations[host] === run.promotion) || state.now >= run.startedAt + rules.leaseWaitMs;
}

function findCandidates({databases}: StorePrimacyScope, rules: StorePrimacyRules, state: StorePrimacyState, {version}: PromotionRun): readonly string[] {
	const named = state.record.version === version ? rules.findNamedCandidate(state.record.record) : undefined;
	return named === undefined ? databases.filter(database => database !== state.record.record.primary) : [named];
}
