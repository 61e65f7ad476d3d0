import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {EMPTY_FLEET_VIEW, nameSchema, type FleetView} from 'heatherpond-core';
import {decodeView, encodeView} from '../../platform-snapshot.js';

const SEED = 20_261_206;

/** Creates a view in which every kind of record has the given names. */
function createView([group, database, route]: readonly [string, string, string], start: bigint): FleetView {
	return {
		...EMPTY_FLEET_VIEW,
		routes: {
			[route]: {
				name: route, group, open: false, maxStalenessMs: 0,
			},
		},
		groups: {
			[group]: {
				settings: {
					name: group,
					durability: 'contract',
					members: [{
						name: database, host: '127.0.0.1', port: 1, domain: database, slots: 1, connections: 1,
					}],
				},
				term: 1,
				primary: database,
				termStarts: [{term: 1, start}],
				leaving: [database],
			},
		},
	};
}

describe('snapshot of a view', () => {
	test('names of digits and an n, which look like encoded numbers, are decoded as names', () => {
		const view = createView(['7n', '1n', '12n'], 5n);
		expect(decodeView(encodeView(view))).toEqual(view);
	});

	test('round-trips with every name that the configuration permits', () => {
		const name = fc.string({unit: fc.constantFrom(...'05nNaz._-'), minLength: 1, maxLength: 5}).filter(text => nameSchema.safeParse(text).success);
		fc.assert(fc.property(fc.tuple(name, name, name), fc.bigInt({min: 0n, max: 2n ** 63n}), (names, start) => {
			const view = createView(names, start);
			expect(decodeView(encodeView(view))).toEqual(view);
		}), {seed: SEED, numRuns: 300});
	});
});
