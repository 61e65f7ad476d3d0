/** Explores a model exhaustively with a breadth-first search, so that the trace to the first violation found is a shortest one. */
import {getAdjacencyMap} from '@xstate/graph';
import {fromTransition, type EventObject} from 'xstate';
import type {Model} from './model.js';
import {SpecError} from './spec-error.js';

/** A trace that leads from the initial state to a state that violates an invariant. */
export type Counterexample = {
	readonly invariant: string;
	/** Formatted steps of the trace, in order. */
	readonly steps: readonly string[];
};

/** Result of an exploration. */
export type Exploration = {
	readonly model: string;
	readonly states: number;
	readonly transitions: number;
	/** Length of the longest shortest path from the initial state to any state. */
	readonly depth: number;
	readonly counterexample?: Counterexample;
};

/** A state reached by the search, with the path that led to it. */
type Visit<State, Step> = {
	readonly state: State;
	/** Sequence number of the state, in the order of discovery. */
	readonly id: number;
	readonly depth: number;
	readonly previous?: Visit<State, Step>;
	readonly step?: Step;
};

/** Event of the state machine for a step that leads to a state not visited before. */
type StepEvent<State, Step> = EventObject & {readonly visit: Visit<State, Step>};

/** Aborts the search at the first violation; caught in this module. */
const StopSearchError = SpecError.subclass('StopSearchError');

/**
 * Explores all reachable states, and stops at the first violation.
 *
 * @param model - the model to explore
 * @param maxStates - the largest number of states that the search may visit
 * @throws SpecError if the model has more than `maxStates` states
 */
export function exploreModel<State, Step>(model: Model<State, Step>, maxStates: number): Exploration {
	const keys = new Set<string>();
	let transitions = 0;
	let depth = 0;
	let violation: {readonly invariant: string; readonly visit: Visit<State, Step>} | undefined;

	function createVisit(state: State, previous?: Visit<State, Step>, step?: Step): Visit<State, Step> | undefined {
		const key = model.formatState(state);
		if (keys.has(key)) {
			return undefined;
		}

		keys.add(key);
		const visit: Visit<State, Step> = {
			state, id: keys.size, depth: previous ? previous.depth + 1 : 0, previous, step,
		};
		depth = Math.max(depth, visit.depth);
		const invariant = model.findViolation(state);
		if (invariant !== undefined) {
			violation = {invariant, visit};
			throw new StopSearchError(invariant);
		}

		if (keys.size > maxStates) {
			throw new SpecError(`${model.name} exceeds the limit of the exploration: more than ${maxStates} states`);
		}

		return visit;
	}

	function collectNewEvents(visit: Visit<State, Step>): Array<StepEvent<State, Step>> {
		const steps = model.collectSteps(visit.state);
		transitions += steps.length;
		return steps
			.map(step => createVisit(model.applyStep(visit.state, step), visit, step))
			.filter(next => next !== undefined)
			.map(next => ({type: 'step', visit: next}));
	}

	try {
		const logic = fromTransition((_: Visit<State, Step>, event: StepEvent<State, Step>) => event.visit, createVisit(model.initial)!);
		getAdjacencyMap(logic, {
			events: snapshot => collectNewEvents(snapshot.context),
			serializeState: snapshot => String(snapshot.context.id),
			serializeEvent: event => String(event.visit.id),
		});
	} catch (error) {
		if (!(error instanceof StopSearchError)) {
			throw error;
		}
	}

	return {
		model: model.name,
		states: keys.size,
		transitions,
		depth,
		counterexample: violation && {invariant: violation.invariant, steps: collectTrace(model, violation.visit)},
	};
}

function collectTrace<State, Step>(model: Model<State, Step>, last: Visit<State, Step>): readonly string[] {
	const lines: string[] = [];
	for (let visit: Visit<State, Step> | undefined = last; visit?.step !== undefined; visit = visit.previous) {
		lines.push(model.formatStep(visit.step));
	}

	return lines.toReversed();
}
