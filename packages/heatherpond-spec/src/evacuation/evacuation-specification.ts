/** The specification of cold databases after evacuations, with its invariants, scopes and mutants. */
import {applyFleetUpdate, findDueRecords} from 'heatherpond-fleet';
import type {Mutant, Specification} from '../model.js';
import {createEvacuationModel, EVACUATION_INVARIANTS, type EvacuationScope} from './evacuation-model.js';
import {EVACUATION_RULES, type EvacuationRules} from './evacuation-rules.js';

const DEFAULT_SCOPE: EvacuationScope = {
	hosts: ['host-1', 'host-2'], ticks: 3, crashes: 2, evacuations: 1,
};
const LARGE_SCOPE: EvacuationScope = {...DEFAULT_SCOPE, ticks: 4};

type MutantDescription = Pick<Mutant, 'name' | 'rule' | 'code'>;

function createMutant(text: MutantDescription, change: Partial<EvacuationRules>): Mutant {
	return {...text, createModel: () => createEvacuationModel(`evacuations, ${text.name}`, DEFAULT_SCOPE, {...EVACUATION_RULES, ...change})};
}

const MUTANTS: readonly Mutant[] = [
	createMutant({name: 'evacuation-not-recorded', rule: 'evacuations are recorded in the store', code: 'fleet/evacuation-records.ts findDueRecords'}, {
		findDueRecords: () => [],
	}),
	createMutant({name: 'evacuation-recorded-at-its-end', rule: 'an evacuation is recorded before it ends', code: 'fleet/evacuation-records.ts findDueRecords'}, {
		findDueRecords: (state, now) => findDueRecords(state, now).filter(({endedAt}) => endedAt !== undefined),
	}),
	createMutant({name: 'open-record-ignored', rule: 'an evacuation whose end is not recorded counts as ended now', code: 'fleet/apply-fleet-update.ts applyRecordedEnds'}, {
		applyFleetUpdate(state, update) {
			const next = applyFleetUpdate(state, update);
			const isEndKnown = [...next.evacuationRecords.values()].every(({endedAt}) => endedAt !== undefined);
			return isEndKnown ? next : {...next, evacuationEnds: state.evacuationEnds};
		},
	}),
	createMutant({name: 'cold-for-those-who-saw-it', rule: 'hosts that have only read of an evacuation keep to the budget', code: 'fleet/apply-fleet-update.ts applyRecordedEnds'}, {
		applyFleetUpdate: (state, update) => ({...applyFleetUpdate(state, update), evacuationEnds: state.evacuationEnds}),
	}),
	createMutant({name: 'end-recorded-unverified', rule: 'an end is recorded once the operator\'s rows have been read again', code: 'fleet/evacuation-records.ts findDueRecords'}, {
		findDueRecords: (state, now) => findDueRecords({...state, contractsVerifiedAt: Number.POSITIVE_INFINITY}, now),
	}),
	createMutant({name: 'no-warm-up', rule: 'a database is cold for its warm-up time after an evacuation', code: 'fleet/cold-databases.ts isCold'}, {
		isCold: () => false,
	}),
];

/** Evacuations: cold databases get their budget only, whatever restarts. */
export const EVACUATION_SPECIFICATION: Specification = {
	name: 'evacuations',
	invariants: Object.values(EVACUATION_INVARIANTS),
	createModels: size => [createEvacuationModel('evacuations', size === 'default' ? DEFAULT_SCOPE : LARGE_SCOPE, EVACUATION_RULES)],
	mutants: MUTANTS,
};
