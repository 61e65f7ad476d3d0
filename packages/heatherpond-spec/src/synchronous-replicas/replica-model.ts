/**
 * The model of promotions in a group with synchronous replicas: databases that crash, come back with their logs, lose their
 * registrations, drain, or receive nothing; commits that are acknowledged once enough replicas hold them; and promotions that
 * choose by what the databases that answer tell.
 */
import type {PolledDatabase} from 'heatherpond-fleet';
import {compareLogPositions} from 'heatherpond-session';
import type {Model} from '../model.js';
import type {ReplicaRules} from './replica-rules.js';
import {
	createFleetState, createStatus, createUpstream, findDatabase, GROUP, updateDatabase, type Database, type ReplicaScope, type ReplicaState, type ReplicaStep,
} from './replica-state.js';

/** Invariants of the model. */
export const REPLICA_INVARIANTS = {
	kept: 'a database that is promoted holds every commit that was acknowledged',
} as const;

/** Creates the model for a scope and a set of rules. */
export function createReplicaModel(name: string, scope: ReplicaScope, rules: ReplicaRules): Model<ReplicaState, ReplicaStep> {
	return {
		name,
		initial: createInitialState(scope),
		collectSteps: state => state.violation ? [] : collectSteps(scope, rules, state),
		applyStep: (state, step) => applyStep(scope, rules, state, step),
		findViolation: state => state.violation,
		formatState: state => JSON.stringify(state),
		formatStep: step => [step.kind, 'database' in step ? step.database : '', step.kind === 'promote' ? `without ${step.silent ?? 'nobody'}` : ''].join(' ').trim(),
	};
}

function createInitialState({databases}: ReplicaScope): ReplicaState {
	return {
		databases: databases.map((name, index) => ({
			name, log: [], isUp: true, isRegistered: true, isDraining: false, isPrimary: index === 0,
		})),
		record: {
			group: GROUP, term: 1, primary: databases[0], holders: databases.slice(1),
		},
		acknowledged: [], commits: 0, crashes: 0, drains: 0,
	};
}

function collectSteps(scope: ReplicaScope, rules: ReplicaRules, state: ReplicaState): readonly ReplicaStep[] {
	const {record, databases} = state;
	const primary = findDatabase(state, record.primary)!;
	const isServing = primary.isUp && primary.isPrimary && !record.promotion;
	const up = databases.filter(({isUp}) => isUp);
	const fleet = createFleetState(state);
	const isListed = rules.findCommitHolders(fleet, record).join(' ') === record.holders?.join(' ');
	const kinds: ReadonlyArray<readonly [boolean, ReplicaStep]> = [
		[isServing && state.commits < scope.commits, {kind: 'write'}],
		[isServing && findAcknowledgeable(scope, state) !== undefined, {kind: 'acknowledge'}],
		[!record.promotion && !isListed, {kind: 'list'}],
		[isServing && hasDeparted(rules, state), {kind: 'forget'}],
		[!record.promotion && record.term < scope.maxTerm && (!primary.isUp || primary.isDraining), {kind: 'begin'}],
		...up.map(({name, isPrimary, log}): readonly [boolean, ReplicaStep] => [primary.isUp && primary.isPrimary && !isPrimary && log !== primary.log, {kind: 'replicate', database: name}]),
		...up.map(({name}): readonly [boolean, ReplicaStep] => [state.crashes < scope.crashes, {kind: 'crash', database: name}]),
		...up.map(({name, isDraining}): readonly [boolean, ReplicaStep] => [state.drains < scope.drains && !isDraining, {kind: 'drain', database: name}]),
		...databases.map(({name, isUp}): readonly [boolean, ReplicaStep] => [!isUp, {kind: 'restart', database: name}]),
		...databases.map(({name, isUp, isRegistered}): readonly [boolean, ReplicaStep] => [!isUp && isRegistered && isListable(state, name), {kind: 'deregister', database: name}]),
	];
	const promotions = record.promotion ? [undefined, ...up.map(({name}) => name)].flatMap(silent => [true, false].map(mayCatchUp => ({kind: 'promote', silent, mayCatchUp} as const))) : [];
	return [...kinds.filter(([isPossible]) => isPossible).map(([, step]) => step), ...promotions];
}

/**
 * Whether the registration of a database may disappear. That takes several of its heartbeats, and a replica is listed before the first
 * is missed, unless a promotion is in progress.
 */
function isListable({record}: ReplicaState, name: string): boolean {
	return record.promotion !== undefined || record.primary === name || record.holders!.includes(name);
}

/** Finds the first commit of the primary that enough replicas hold and that has not been acknowledged. */
function findAcknowledgeable({syncReplicas}: ReplicaScope, state: ReplicaState): number | undefined {
	const primary = findDatabase(state, state.record.primary)!;
	return primary.log.map(({id}) => id).find(id => !state.acknowledged.includes(id)
		&& state.databases.filter(other => other !== primary && other.isUp && other.log.some(commit => commit.id === id)).length >= syncReplicas);
}

/** Whether a holder has departed that may be forgotten, because a replica has caught up with the primary. */
function hasDeparted(rules: ReplicaRules, state: ReplicaState): boolean {
	const {record, databases} = state;
	const primary = findDatabase(state, record.primary)!;
	const replicas = rules.findReplicas(createFleetState(state), record);
	const isForgettable = databases.some(database => database.isUp && replicas.includes(database.name) && rules.isCaughtUp(createStatus(primary, record.term), createStatus(database, record.term)));
	return isForgettable && record.holders!.some(name => !replicas.includes(name));
}

function applyStep(scope: ReplicaScope, rules: ReplicaRules, state: ReplicaState, step: ReplicaStep): ReplicaState {
	const {record} = state;
	const primary = findDatabase(state, record.primary)!;
	switch (step.kind) {
		case 'write': {
			const id = state.commits + 1;
			return updateDatabase({...state, commits: id}, primary.name, {log: [...primary.log, {term: record.term, id}]});
		}

		case 'acknowledge': {
			return {...state, acknowledged: [...state.acknowledged, findAcknowledgeable(scope, state)!]};
		}

		case 'list': {
			return {...state, record: {...record, holders: [...rules.findCommitHolders(createFleetState(state), record)]}};
		}

		case 'forget': {
			return {...state, record: {...record, holders: rules.findReplicas(createFleetState(state), record).toSorted()}};
		}

		case 'begin': {
			return {...state, record: {...record, holders: [...rules.findHoldersAtBegin(createFleetState(state), record)], promotion: {id: `p${record.term}`, isPlanned: primary.isUp, reason: 'silent'}}};
		}

		case 'replicate': {
			return updateDatabase(state, step.database, {log: primary.log});
		}

		case 'crash': {
			return updateDatabase({...state, crashes: state.crashes + 1}, step.database, {isUp: false});
		}

		case 'restart': {
			return updateDatabase(state, step.database, {isUp: true, isRegistered: true, isPrimary: step.database === record.primary});
		}

		case 'deregister': {
			return updateDatabase(state, step.database, {isRegistered: false});
		}

		case 'drain': {
			return updateDatabase({...state, drains: state.drains + 1}, step.database, {isDraining: true});
		}

		case 'promote': {
			return applyPromotion(scope, rules, state, step);
		}
	}
}

function applyPromotion(scope: ReplicaScope, rules: ReplicaRules, state: ReplicaState, {silent, mayCatchUp}: Extract<ReplicaStep, {readonly kind: 'promote'}>): ReplicaState {
	const {record} = state;
	const fleet = createFleetState(state);
	const polled = state.databases
		.filter(({name, isUp, isRegistered}) => isUp && isRegistered && name !== silent)
		.map((database): PolledDatabase => ({upstream: createUpstream(database), status: createStatus(database, record.term)}));
	const choice = rules.selectCandidate({
		polled, syncReplicas: scope.syncReplicas, holders: rules.findCommitHolders(fleet, record), mayCatchUp,
	}, record, {excluded: new Set(), isAtHome: () => true});
	const chosen = choice.kind === 'chosen' ? findDatabase(state, choice.upstream.id)! : undefined;
	const mustWait = choice.kind === 'chosen' && choice.mustCatchUp && rules.waitsForCatchUp && !isComplete(chosen!, findDatabase(state, record.primary)!);
	return !chosen || mustWait ? state : applyNewPrimary(rules, state, chosen);
}

/** Whether the log of a database reaches the end of another one's. */
function isComplete(database: Database, other: Database): boolean {
	return compareLogPositions(createStatus(database, 0).point, createStatus(other, 0).point) >= 0;
}

/** Makes a database the primary; one that drains is replaced at once, so the promotion goes on. */
function applyNewPrimary(rules: ReplicaRules, state: ReplicaState, chosen: Database): ReplicaState {
	const {record, acknowledged} = state;
	const isKept = acknowledged.every(id => chosen.log.some(commit => commit.id === id));
	return {
		...state,
		databases: state.databases.map(database => ({...database, isPrimary: database === chosen})),
		record: {
			group: GROUP, term: record.term + 1, primary: chosen.name, holders: [...rules.findNextHolders(createFleetState(state), record, chosen.name)],
			promotion: chosen.isDraining ? {id: `p${record.term}-next`, isPlanned: true, reason: 'leaving'} : undefined,
		},
		violation: isKept ? state.violation : REPLICA_INVARIANTS.kept,
	};
}
