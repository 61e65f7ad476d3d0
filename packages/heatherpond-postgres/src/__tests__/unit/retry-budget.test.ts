import {describe, expect, test} from '@jest/globals';
import {createRetryBudget, readRetryDelay} from '../../retry-budget.js';

describe('retry budget', () => {
	test('allows the initial credit and then one retry per ten successes', () => {
		const budget = createRetryBudget();
		const initial = Array.from({length: 50}, () => budget.take()).filter(Boolean).length;
		Array.from({length: 100}, () => {
			budget.recordSuccess();
			return undefined;
		});
		const earned = Array.from({length: 50}, () => budget.take()).filter(Boolean).length;
		expect([initial, earned]).toEqual([20, 10]);
	});

	test('doubles the maximum retry delay with each attempt up to a limit, with full jitter', () => {
		expect([1, 2, 3, 10].map(attempt => readRetryDelay(attempt, 0.5))).toEqual([5, 10, 20, 100]);
		expect(readRetryDelay(3, 0)).toBe(0);
	});
});
