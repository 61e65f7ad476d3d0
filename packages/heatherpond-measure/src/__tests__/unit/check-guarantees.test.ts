import {describe, expect, test} from '@jest/globals';
import {findGuaranteeViolations} from '../../load/check-guarantees.js';
import type {RequestRecord} from '../../load/request-record.js';

function createRecord(parts: Partial<RequestRecord>): RequestRecord {
	return {
		team: 'durban', session: 'durban-0', route: 'bookings', kind: 'write', key: 'k', expected: 'value of k', outcome: 'answered', startedAt: 0, endedAt: 1, ...parts,
	};
}

const STORED_ROWS = [{key: 'k', value: 'value of k'}];

describe('consistency check of a load run', () => {
	test('reports no violation for acknowledged, refused and unknown writes whose rows match their outcome', () => {
		const records = [createRecord({}), createRecord({kind: 'ownRead', found: 'value of k'}), createRecord({key: 'refused', outcome: 'notRun', code: 'HP001'}), createRecord({key: 'gone', outcome: 'unknown', code: 'HP002'})];
		expect(findGuaranteeViolations({records, rows: STORED_ROWS})).toEqual([]);
	});

	test.each([
		['lost', [createRecord({})], []],
		['falsely refused', [createRecord({outcome: 'notRun', code: 'HP001'})], STORED_ROWS],
		['mixed', [createRecord({})], [{key: 'k', value: 'value of another'}]],
		['doubled', [createRecord({})], [...STORED_ROWS, ...STORED_ROWS]],
		['stale', [createRecord({kind: 'ownRead'})], STORED_ROWS],
		['mixed', [createRecord({kind: 'staleRead', found: 'value of another'})], STORED_ROWS],
	])('reports one violation: %s', (word, records, rows) => {
		expect(findGuaranteeViolations({records, rows})).toEqual([expect.stringContaining(word)]);
	});

	test('a read that accepts stale data may miss a recent write', () => {
		expect(findGuaranteeViolations({records: [createRecord({kind: 'staleRead'})], rows: STORED_ROWS})).toEqual([]);
	});
});
