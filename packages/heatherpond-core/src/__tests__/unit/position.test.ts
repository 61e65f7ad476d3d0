import {describe, expect, test} from '@jest/globals';
import {isIncluded, isSurviving} from '../../position.js';

const TERM_STARTS = [{term: 1, start: 0n}, {term: 2, start: 100n}, {term: 3, start: 250n}];

describe('log points', () => {
	test('a point of the same term is included once the history reaches its position', () => {
		expect(isIncluded({term: 2, position: 180n}, {term: 2, position: 180n}, TERM_STARTS)).toBe(true);
		expect(isIncluded({term: 2, position: 179n}, {term: 2, position: 180n}, TERM_STARTS)).toBe(false);
	});

	test('a point beyond the start of a later term does not survive', () => {
		expect(isSurviving({term: 1, position: 100n}, 3, TERM_STARTS)).toBe(true);
		expect(isSurviving({term: 1, position: 101n}, 3, TERM_STARTS)).toBe(false);
		expect(isIncluded({term: 3, position: 900n}, {term: 1, position: 101n}, TERM_STARTS)).toBe(false);
	});

	test('no point survives into a term whose start is unknown', () => {
		expect(isSurviving({term: 3, position: 10n}, 4, TERM_STARTS)).toBe(false);
	});

	test('a history that ends in an older term includes no point of a later term', () => {
		expect(isIncluded({term: 1, position: 900n}, {term: 2, position: 150n}, TERM_STARTS)).toBe(false);
	});
});
