import {describe, expect, test} from '@jest/globals';
import {KRINGLOOP} from 'heatherpond-local';
import {findRegressionLine} from '../../control/linear-regression.js';
import type {RequestRecord} from '../../load/request-record.js';
import {findFailoverGap, countServedShares} from '../../suite/scenario-figures.js';

function createWrite(endedAt: number, parts: Partial<RequestRecord> = {}): RequestRecord {
	return {
		team: 'durban', session: 'durban-0', route: 'bookings', kind: 'write', key: String(endedAt), expected: '', outcome: 'answered', startedAt: endedAt, endedAt, ...parts,
	};
}

describe('scenario figures', () => {
	test('the failover gap is measured across the fault from acknowledged writes on the given route only', () => {
		const records = [createWrite(90), createWrite(100), createWrite(150, {outcome: 'unknown'}), createWrite(200, {route: 'other'}), createWrite(700), createWrite(710)];
		expect(findFailoverGap(records, 'bookings', 120)).toBe(600);
	});

	test('teams are ordered by share of answered requests, lowest first', () => {
		const records = [createWrite(1, {team: 'durban'}), createWrite(2, {team: 'durban', outcome: 'notRun'}), createWrite(3, {team: 'gqeberha'})];
		expect(countServedShares(records, KRINGLOOP.contracts)[0]).toEqual({team: 'durban', share: 0.5});
	});

	test('linear regression recovers slope, intercept and fit of points on one line', () => {
		const line = findRegressionLine([{x: 1, y: 5}, {x: 2, y: 7}, {x: 4, y: 11}]);
		expect(line.slope).toBeCloseTo(2);
		expect(line.intercept).toBeCloseTo(3);
		expect(line.rSquared).toBeCloseTo(1);
	});
});
