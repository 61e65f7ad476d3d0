import {Buffer} from 'node:buffer';
import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import {createPlatformTable} from '../../platform-table.js';

const SEED = 20_261_203;
const keys = fc.constantFrom('log/1', 'log/2', 'log/3', 'op/a', 'op/b', 'snapshot');
const commits = fc.array(fc.record({condition: keys, revision: fc.nat(2), writes: fc.uniqueArray(keys, {minLength: 1, maxLength: 3})}), {maxLength: 40});

test('the platform table commits and scans like a reference model', () => {
	fc.assert(fc.property(commits, keys, keys, fc.integer({min: 1, max: 6}), (steps, from, until, limit) => {
		const table = createPlatformTable();
		const revisions = new Map<string, number>();
		steps.forEach(({condition, revision, writes}) => {
			const holds = (revisions.get(condition) ?? 0) === revision;
			const committed = table.commit({conditions: [{key: condition, revision}], writes: writes.map(key => ({key, value: Buffer.from(key)}))});
			expect(committed).toBe(holds);
			writes.filter(() => holds).forEach(key => {
				revisions.set(key, (revisions.get(key) ?? 0) + 1);
			});
		});
		const expected = [...revisions].filter(([key]) => key >= from && key < until).toSorted(([left], [right]) => left < right ? -1 : 1);
		const reply = table.scan({from, until, limit});
		expect(reply.rows.map(row => [row.key, row.revision])).toEqual(expected.slice(0, limit));
		expect(reply.more).toBe(expected.length > limit);
	}), {seed: SEED, numRuns: 300});
});
