import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {nameSchema} from '../../contract.js';
import {formatDatabaseKey} from '../../host-state.js';
import {formatSessionToken, parseSessionToken} from '../../session-token.js';

const SEED = 20_261_206;
/** Every text of the characters that names may have, or that separate the parts of keys, and that the schema permits. */
const name = fc.string({unit: fc.constantFrom(...'aZ0._-/: ,\n\0é'), minLength: 1, maxLength: 5}).filter(text => nameSchema.safeParse(text).success);

describe('keys of several names', () => {
	test('a name holds no character that separates the parts of a key', () => {
		['a/b', 'a:b', 'a b', 'a,b', 'a\n', '\na', 'a\0', 'é', '', '.a', '_a', '-a', 'a'.repeat(64)].forEach(text => {
			expect(nameSchema.safeParse(text).success).toBe(false);
		});
	});

	test('two databases share no key', () => {
		fc.assert(fc.property(name, name, name, name, (group, database, otherGroup, otherDatabase) => {
			const isSame = group === otherGroup && database === otherDatabase;
			expect(formatDatabaseKey(group, database) === formatDatabaseKey(otherGroup, otherDatabase)).toBe(isSame);
		}), {seed: SEED, numRuns: 1000});
	});

	test('a session token holds every group that the configuration permits', () => {
		const point = fc.record({term: fc.nat(), position: fc.bigInt({min: 0n, max: (2n ** 63n) - 1n})});
		fc.assert(fc.property(fc.dictionary(name, point, {maxKeys: 5}), token => {
			expect(parseSessionToken(formatSessionToken(token))).toEqual(token);
		}), {seed: SEED, numRuns: 500});
	});
});
