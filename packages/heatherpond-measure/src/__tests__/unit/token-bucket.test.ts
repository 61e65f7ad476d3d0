import {describe, expect, test} from '@jest/globals';
import {countIdealAdmissions, findMaxExcess} from '../../fairness/token-bucket.js';

const LIMIT = {rate: 10, burst: 5};

describe('fleet-wide reference token bucket', () => {
	test('admits the burst first and then requests at the configured rate', () => {
		const instants = Array.from({length: 100}, (_value, index) => index * 10);
		expect(countIdealAdmissions(instants, LIMIT)).toBe(14);
	});

	test('reports the largest excess over rate and burst in any time window', () => {
		expect(findMaxExcess([0, 100, 200, 300], LIMIT)).toBe(0);
		expect(findMaxExcess([0, ...Array.from({length: 7}, () => 5000), 9000], LIMIT)).toBe(2);
		expect(findMaxExcess([...Array.from({length: 5}, () => 0), 50], LIMIT)).toBeCloseTo(0.5, 6);
	});
});
