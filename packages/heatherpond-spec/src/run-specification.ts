/** Runs specifications: explores their scopes, and checks that every mutant is killed. */
import {exploreModel, type Counterexample, type Exploration} from './explorer.js';
import type {Mutant, ScopeSize, Specification} from './model.js';

/** Largest number of states that an exploration may visit before it fails, by scope size. */
export const MAX_STATES: Readonly<Record<ScopeSize, number>> = {default: 400_000, large: 4_000_000};

/** Result of exploring one mutant. */
export type MutantOutcome = {
	readonly mutant: Mutant;
	/** The trace that kills the mutant; absent if the mutant survived. */
	readonly counterexample?: Counterexample;
};

/** Explores every scope of the given size. */
export function runScopes(specification: Specification, size: ScopeSize): readonly Exploration[] {
	return specification.createModels(size).map(model => exploreModel(model, MAX_STATES[size]));
}

/** Explores a mutant up to the first violation. */
export function runMutant(mutant: Mutant): MutantOutcome {
	return {mutant, counterexample: exploreModel(mutant.createModel(), MAX_STATES.default).counterexample};
}
