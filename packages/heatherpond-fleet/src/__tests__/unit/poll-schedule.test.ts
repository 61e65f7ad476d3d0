import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {findNextPoll} from '../../index.js';

describe('findNextPoll', () => {
	test('is at most an interval and a small gap away, and always in the future', () => {
		fc.assert(fc.property(fc.integer({min: 0, max: 1_000_000}), fc.integer({min: 100, max: 2000}), fc.integer({min: -5000, max: 5000}), (startedAt, intervalMs, phase) => {
			const next = findNextPoll(startedAt, intervalMs, phase);
			expect(next).toBeGreaterThan(startedAt);
			expect(next - startedAt).toBeLessThanOrEqual(intervalMs * 1.05);
		}));
	});

	test('brings polls that started at different times together', () => {
		const dueTimes = [1000, 1210, 1640].map(startedAt => findNextPoll(startedAt, 800, 100));
		expect(dueTimes).toEqual([1700, 1700, 1700]);
	});

	test('lets a faster poll coincide with the slower ones', () => {
		expect(findNextPoll(1500, 200, 100)).toBe(1700);
	});
});
