/** The specification of promotions in groups with synchronous replicas, with its invariants, scopes and mutants. */
import {findCommitHolders, findNextHolders, selectCandidate} from 'heatherpond-fleet';
import type {Mutant, Specification} from '../model.js';
import {createReplicaModel, REPLICA_INVARIANTS} from './replica-model.js';
import {REPLICA_RULES, type ReplicaRules} from './replica-rules.js';
import type {ReplicaScope} from './replica-state.js';

const DEFAULT_SCOPE: ReplicaScope = {
	databases: ['a', 'b', 'c'], syncReplicas: 1, commits: 2, crashes: 2, drains: 1, maxTerm: 3,
};
const LARGE_SCOPE: ReplicaScope = {...DEFAULT_SCOPE, crashes: 3};

type MutantDescription = Pick<Mutant, 'name' | 'rule' | 'code'>;

function createMutant(text: MutantDescription, change: Partial<ReplicaRules>): Mutant {
	return {...text, createModel: () => createReplicaModel(`synchronous replicas, ${text.name}`, DEFAULT_SCOPE, {...REPLICA_RULES, ...change})};
}

const MUTANTS: readonly Mutant[] = [
	createMutant({name: 'most-advanced-that-accepts', rule: 'a candidate holds every acknowledged commit', code: 'fleet/candidate-choice.ts selectCandidate'}, {
		selectCandidate: (survey, record, rules) => selectCandidate({...survey, syncReplicas: 0}, record, rules),
	}),
	createMutant({name: 'drained-not-asked', rule: 'replicas that drain hold commits as well', code: 'fleet/commit-holders.ts findReplicas'}, {
		selectCandidate: (survey, record, rules) => selectCandidate({
			...survey, polled: survey.polled.filter(({upstream}) => !upstream.isLeaving), holders: survey.holders.filter(id => survey.polled.every(({upstream}) => upstream.id !== id || !upstream.isLeaving)),
		}, record, rules),
	}),
	createMutant({name: 'one-more-unknown', rule: 'fewer holders than replicas are synchronous may fail to answer', code: 'fleet/candidate-choice.ts selectCompleteCandidate'}, {
		selectCandidate: (survey, record, rules) => selectCandidate({...survey, syncReplicas: survey.syncReplicas + 1}, record, rules),
	}),
	createMutant({name: 'departed-forgotten', rule: 'a holder whose registration has disappeared stays listed', code: 'fleet/commit-holders.ts findCommitHolders'}, {
		findCommitHolders: (state, record) => findCommitHolders(state, {...record, holders: undefined}),
	}),
	createMutant({name: 'not-listed-at-begin', rule: 'all holders are listed when a promotion begins', code: 'fleet/due-promotions.ts startPromotion'}, {
		findHoldersAtBegin: (_, record) => record.holders ?? [],
	}),
	createMutant({name: 'forgotten-too-early', rule: 'a holder is forgotten once another replica has caught up', code: 'fleet/commit-holders.ts isCaughtUp'}, {
		isCaughtUp: () => true,
	}),
	createMutant({name: 'former-primary-forgotten', rule: 'the former primary is a holder under the new one', code: 'fleet/commit-holders.ts findNextHolders'}, {
		findNextHolders: (state, record, primary) => findNextHolders(state, record, primary).filter(id => id !== record.primary),
	}),
	createMutant({name: 'no-catching-up', rule: 'a candidate waits until it holds what an old primary that responds holds', code: 'fleet/promotion-survey.ts waitForCatchUp'}, {
		waitsForCatchUp: false,
	}),
];

/** Synchronous replicas: no promotion loses a commit that was acknowledged. */
export const REPLICA_SPECIFICATION: Specification = {
	name: 'synchronous replicas',
	invariants: Object.values(REPLICA_INVARIANTS),
	createModels: size => [createReplicaModel('synchronous replicas', size === 'default' ? DEFAULT_SCOPE : LARGE_SCOPE, REPLICA_RULES)],
	mutants: MUTANTS,
};
