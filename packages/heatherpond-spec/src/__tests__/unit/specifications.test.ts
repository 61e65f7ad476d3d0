import {describe, expect, test} from '@jest/globals';
import {exploreModel} from '../../explorer.js';
import type {Model} from '../../model.js';
import {MAX_STATES, runMutant} from '../../run-specification.js';
import {SPECIFICATIONS} from '../../specifications.js';

const TIMEOUT_MS = 120_000;

describe.each(SPECIFICATIONS.map(specification => [specification.name, specification] as const))('specification of %s', (_, specification) => {
	test.each(specification.createModels('default').map(model => [model.name, model] as const))('%s: every reachable state satisfies the invariants', (_name, model) => {
		expect(exploreModel(model, MAX_STATES.default).counterexample).toBeUndefined();
	}, TIMEOUT_MS);

	test.each(specification.mutants.map(mutant => [mutant.name, mutant] as const))('mutant %s violates an invariant', (_name, mutant) => {
		expect(specification.invariants).toContain(runMutant(mutant).counterexample?.invariant);
	}, TIMEOUT_MS);
});

describe('exploreModel', () => {
	const counter: Model<number, number> = {
		name: 'counter',
		initial: 0,
		collectSteps: state => state < 5 ? [1, 2] : [],
		applyStep: (state, step) => state + step,
		findViolation: state => state === 5 ? 'five is never reached' : undefined,
		formatState: String,
		formatStep: step => `adds ${step}`,
	};

	test('reports a violation with a shortest trace', () => {
		const {counterexample} = exploreModel(counter, 100);

		expect(counterexample).toEqual({invariant: 'five is never reached', steps: ['adds 1', 'adds 2', 'adds 2']});
	});

	test('throws if the model has more states than the limit', () => {
		expect(() => exploreModel(counter, 3)).toThrow('more than 3 states');
	});
});
