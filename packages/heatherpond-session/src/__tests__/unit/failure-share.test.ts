import {describe, expect, test} from '@jest/globals';
import {
	applyOutcome, createFailureRecord, readFailureShare, selectUpstream, type FailureRecord, type UpstreamCandidate,
} from '../../index.js';

const INTERVAL_MS = 50;

/** Plays statements on a database, `hasFailed` of which fail, at even intervals. */
function runStatements(record: FailureRecord, count: number, hasFailed: (index: number) => boolean): FailureRecord {
	return Array.from({length: count}).reduce<FailureRecord>((current, _, index) => applyOutcome(current, {hasFailed: hasFailed(index), elapsedMs: 30}, current.at + INTERVAL_MS), record);
}

function createCandidate(id: string, record: FailureRecord): UpstreamCandidate {
	return {
		id, isPrimary: false, capacity: 3, inFlight: 0, remoteInFlight: 0, hasIdleConnection: true, isAtConnectionLimit: false, roundTripMs: 1, statementMs: 15,
		failureShare: readFailureShare(record, record.at), failureMs: record.lostMs, isSameDomain: true, isWarmingUp: false, backoffUntil: 0,
	};
}

describe('the share of failures', () => {
	test.each([0.1, 0.45, 0.9])('of a database that fails %d of its statements is found, whatever succeeds in between', share => {
		const record = runStatements(createFailureRecord(0), 100, index => (index * 0.618) % 1 < share);
		expect(Math.abs(readFailureShare(record, record.at) - share)).toBeLessThan(0.15);
	});

	test('is forgotten with time, and later after a relapse', () => {
		const failing = runStatements(createFailureRecord(0), 40, () => true);
		const recovered = runStatements(failing, 300, () => false);
		const relapsed = runStatements(recovered, 20, () => true);
		expect(readFailureShare(failing, failing.at + 9000)).toBeLessThan(0.3);
		expect(relapsed.relapses).toBe(1);
		expect(readFailureShare(relapsed, relapsed.at + 9000)).toBeGreaterThan(readFailureShare(failing, failing.at + 9000));
	});

	test('is 0 without failures, whatever the number of statements', () => {
		expect(readFailureShare(runStatements(createFailureRecord(0), 1000, () => false), 0)).toBe(0);
		expect(readFailureShare(createFailureRecord(0), 0)).toBe(0);
	});
});

describe('a database that fails in part', () => {
	const well = createCandidate('well', createFailureRecord(0));

	test('is left for another one', () => {
		const failing = createCandidate('failing', runStatements(createFailureRecord(0), 40, index => index % 2 === 0));
		expect(selectUpstream([failing, {...well, inFlight: 2}], {failed: new Set(), now: 0}, () => 0)?.id).toBe('well');
	});

	test('is still used when it is the last one that can serve', () => {
		const failing = createCandidate('failing', runStatements(createFailureRecord(0), 40, () => true));
		expect(selectUpstream([failing], {failed: new Set(), now: 0}, () => 0)?.id).toBe('failing');
	});
});
