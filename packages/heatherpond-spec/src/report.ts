/** Formats the output of the command. */
import type {Counterexample, Exploration} from './explorer.js';
import type {Specification} from './model.js';
import type {MutantOutcome} from './run-specification.js';

/** Formats the result of an exploration, with the trace of a violation if there is one. */
export function formatExploration(exploration: Exploration): string {
	const {model, states, transitions, depth, counterexample} = exploration;
	const figures = `${model}: ${states} states, ${transitions} transitions, depth ${depth}`;
	return counterexample ? `${figures}\n${formatCounterexample(counterexample)}` : `${figures}, invariants held`;
}

/** Formats a counterexample, one line for each step. */
export function formatCounterexample({invariant, steps}: Counterexample): string {
	const lines = steps.map((step, index) => `  ${String(index + 1).padStart(3)}  ${step}`);
	return [...lines, `  broken: ${invariant}`].join('\n');
}

/** Formats the result of a mutant as one line. */
export function formatMutantOutcome({mutant, counterexample}: MutantOutcome): string {
	return counterexample
		? `  killed    ${mutant.name}: ${counterexample.steps.length} steps to break "${counterexample.invariant}"`
		: `  SURVIVED  ${mutant.name}: without "${mutant.rule}" every invariant holds`;
}

/** Formats the list of invariants of a specification. */
export function formatInvariants({name, invariants}: Specification): string {
	return [`${name}: ${invariants.length} invariants`, ...invariants.map(invariant => `  - ${invariant}`)].join('\n');
}
