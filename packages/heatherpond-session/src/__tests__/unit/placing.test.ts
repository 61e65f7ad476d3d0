import {describe, expect, test} from '@jest/globals';
import {
	applyTimeSample, createLearnedTimes, selectUpstream, type LearnedTime, type UpstreamCandidate,
} from '../../index.js';

const NOW = 10_000;

function createCandidate(id: string, change: Partial<UpstreamCandidate> = {}): UpstreamCandidate {
	return {
		id, isPrimary: false, capacity: 3, inFlight: 0, remoteInFlight: 0, hasIdleConnection: true, isAtConnectionLimit: false, roundTripMs: 1, statementMs: 15, failureShare: 0, failureMs: 0,
		isSameDomain: true, isWarmingUp: false, backoffUntil: 0, ...change,
	};
}

function selectIds(candidates: readonly UpstreamCandidate[]): readonly string[] {
	return [0, 0.4, 0.9].map(draw => selectUpstream(candidates, {failed: new Set(), now: NOW}, () => draw)!.id);
}

describe('learned times', () => {
	test('follow a database that has become five times slower', () => {
		const times = createLearnedTimes();
		Array.from({length: 50}).forEach(() => {
			times.recordStatement('g', 'db', 10);
		});
		expect(times.readStatementMs('g', 'db')).toBeCloseTo(10);
		Array.from({length: 60}).forEach(() => {
			times.recordStatement('g', 'db', 50);
		});
		expect(times.readStatementMs('g', 'db')).toBeGreaterThan(45);
	});

	test('are moved little by one statement of a long tail', () => {
		const known: LearnedTime = {meanMs: 10, samples: 100};
		expect(applyTimeSample(known, 300).meanMs).toBeLessThan(13);
	});

	test('take those of the group for a database without samples, and assumed ones for a new group', () => {
		const times = createLearnedTimes();
		Array.from({length: 10}).forEach(() => {
			times.recordStatement('g', 'db-1', 40);
		});
		expect(times.readStatementMs('g', 'db-2')).toBeCloseTo(40);
		expect(times.readStatementMs('other', 'db-3')).toBe(15);
		expect(times.readRoundTripMs('near', 1)).toBe(1);
	});

	test('follow a link that has narrowed', () => {
		const times = createLearnedTimes();
		Array.from({length: 80}, (_, index) => index < 40 ? 10 : 90).forEach(elapsedMs => {
			times.recordRoundTrip('far', elapsedMs);
		});
		expect(times.readRoundTripMs('far', 1)).toBeGreaterThan(70);
	});
});

describe('leaving the failure domain', () => {
	const remote = {isSameDomain: false, roundTripMs: 25};

	test('pays when the queue of the own domain takes longer than the way, by what statements really take', () => {
		const fast = [createCandidate('near', {statementMs: 2, inFlight: 9}), createCandidate('far', {...remote, statementMs: 2})];
		const slow = [createCandidate('near', {statementMs: 40, inFlight: 9}), createCandidate('far', {...remote, statementMs: 40})];
		expect(selectIds(fast)).toEqual(['near', 'near', 'near']);
		expect(selectIds(slow)).toEqual(['far', 'far', 'far']);
	});

	test('does not pay for a database that is five times slower there', () => {
		expect(selectIds([createCandidate('near', {inFlight: 9}), createCandidate('far', {...remote, statementMs: 75})])).toEqual(['near', 'near', 'near']);
	});

	test('spreads hosts with the same reports over databases that are about equal', () => {
		expect(new Set(selectIds([createCandidate('a'), createCandidate('b'), createCandidate('c')]))).toEqual(new Set(['a', 'b', 'c']));
	});
});
