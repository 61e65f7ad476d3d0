import {describe, expect, test} from '@jest/globals';
import type {LogPosition} from 'heatherpond-core';
import {
	compareLogPositions, createPositionTracker, selectUpstream, findNewerPosition, type UpstreamCandidate,
} from '../../index.js';
import {decideReadRequirement} from '../../read-requirement.js';
import {createRoute} from '../support/test-services.js';

function createPoint(position: bigint, term = 1): LogPosition {
	return {term, position};
}

const NOW = 10_000;

function createCandidate(id: string, change: Partial<UpstreamCandidate> = {}): UpstreamCandidate {
	return {
		id, isPrimary: false, capacity: 2, inFlight: 0, remoteInFlight: 0, hasIdleConnection: true, isAtConnectionLimit: false, roundTripMs: 1, statementMs: 15, failureShare: 0, failureMs: 0, isSameDomain: true,
		isWarmingUp: false, backoffUntil: 0, lastPosition: undefined, ...change,
	};
}

function selectId(candidates: readonly UpstreamCandidate[], required?: LogPosition): string | undefined {
	return selectUpstream(candidates, {required, failed: new Set(), now: NOW}, () => 0)?.id;
}

describe('the order of log positions', () => {
	test('is by term, then by offset within the term', () => {
		expect(compareLogPositions(createPoint(9n), createPoint(10n))).toBeLessThan(0);
		expect(compareLogPositions(createPoint(9n, 2), createPoint(10n))).toBeGreaterThan(0);
		expect(findNewerPosition(undefined, createPoint(3n))).toEqual(createPoint(3n));
	});
});

describe('the position tracker', () => {
	test('finds the oldest position that includes every commit as of an instant', () => {
		const book = createPositionTracker();
		[100, 200, 300].forEach(seenAt => {
			book.recordPrimaryPosition('g', 1, createPoint(BigInt(seenAt)), seenAt);
		});
		expect(book.findPositionAsOf('g', 1, 150)).toEqual(createPoint(200n));
		expect(book.findPositionAsOf('g', 1, 200)).toEqual(createPoint(200n));
		expect(book.findPositionAsOf('g', 1, 301)).toBeUndefined();
	});

	test('discards samples of earlier terms, and ignores positions of other terms', () => {
		const book = createPositionTracker();
		book.recordPrimaryPosition('g', 1, createPoint(10n), 100);
		book.recordPrimaryPosition('g', 2, createPoint(8n, 2), 200);
		book.recordPrimaryPosition('g', 1, createPoint(11n), 300);
		book.recordPrimaryPosition('g', 2, createPoint(12n), 300);
		expect(book.findPositionAsOf('g', 2, 0)).toEqual(createPoint(8n, 2));
		expect(book.findNewestPosition('g', 2)).toEqual(createPoint(8n, 2));
		expect(book.findPositionAsOf('g', 1, 0)).toBeUndefined();
	});

	test('drops samples of responses that arrived out of order, so that no old position looks recent', () => {
		const book = createPositionTracker();
		book.recordPrimaryPosition('g', 1, createPoint(20n), 200);
		book.recordPrimaryPosition('g', 1, createPoint(10n), 300);
		expect(book.findPositionAsOf('g', 1, 250)).toBeUndefined();
	});

	test('thins out samples, and still finds a position close to an instant far in the past', () => {
		const book = createPositionTracker();
		Array.from({length: 5000}).forEach((_, index) => {
			book.recordPrimaryPosition('g', 1, createPoint(BigInt(index)), index);
		});
		expect(book.findPositionAsOf('g', 1, 2500)!.position).toBeGreaterThanOrEqual(2500n);
		expect(book.findPositionAsOf('g', 1, 2500)!.position).toBeLessThan(2560n);
	});
});

describe('the log position required by a read', () => {
	const book = createPositionTracker();
	book.recordPrimaryPosition('g', 2, createPoint(50n, 2), 9000);
	const input = {positions: book, term: 2, arrivedAt: NOW};

	test('is unknown on a primary route, which sends the read to the primary', () => {
		expect(decideReadRequirement({...input, route: createRoute('primary')})).toEqual({kind: 'unknown'});
	});

	test('is the oldest one within the staleness bound, and unknown when there is none', () => {
		expect(decideReadRequirement({...input, route: createRoute('bounded_staleness')})).toEqual({kind: 'point', point: createPoint(50n, 2)});
		expect(decideReadRequirement({...input, arrivedAt: 10_501, route: createRoute('bounded_staleness')})).toEqual({kind: 'unknown'});
	});

	test('includes the session\'s own commit on read-your-writes routes only', () => {
		const lastCommitPosition = createPoint(70n, 2);
		expect(decideReadRequirement({...input, lastCommitPosition, route: createRoute('read_your_writes')})).toEqual({kind: 'point', point: lastCommitPosition});
		expect(decideReadRequirement({...input, lastCommitPosition, route: createRoute('bounded_staleness')})).toEqual({kind: 'point', point: createPoint(50n, 2)});
	});

	test('is not raised by the session\'s commit of an earlier term, which every position of the current term includes', () => {
		expect(decideReadRequirement({...input, lastCommitPosition: createPoint(99n, 1), route: createRoute('read_your_writes')})).toEqual({kind: 'point', point: createPoint(50n, 2)});
	});

	test('is unknown when the session\'s commit is of a later term', () => {
		expect(decideReadRequirement({...input, lastCommitPosition: createPoint(99n, 3), route: createRoute('read_your_writes')})).toEqual({kind: 'unknown'});
	});
});

describe('the selection of a database', () => {
	test('prefers a replica to the primary unless the replica is overloaded', () => {
		expect(selectId([createCandidate('p', {isPrimary: true}), createCandidate('r')])).toBe('r');
		expect(selectId([createCandidate('p', {isPrimary: true}), createCandidate('r', {inFlight: 8})])).toBe('p');
	});

	test('excludes a replica directly after it lagged behind, and selects it again later', () => {
		const required = createPoint(10n);
		const createBehind = (laggedAt: number): UpstreamCandidate => createCandidate('r', {lastPosition: {point: createPoint(9n), seenAt: NOW - 10, laggedAt}});
		const primary = createCandidate('p', {isPrimary: true});
		expect(selectId([createBehind(NOW - 10)], required)).toBeUndefined();
		expect(selectId([primary, createBehind(NOW - 10)], required)).toBe('p');
		expect(selectId([primary, createBehind(NOW - 100)], required)).toBe('p');
		expect(selectId([primary, createBehind(NOW - 900)], required)).toBe('r');
		expect(selectId([primary, createBehind(Number.NEGATIVE_INFINITY)], required)).toBe('r');
	});

	test('selects a replica that has lagged for a read whose required position it has reached', () => {
		const candidate = createCandidate('r', {lastPosition: {point: createPoint(9n), seenAt: NOW - 10, laggedAt: NOW - 10}});
		expect(selectId([createCandidate('p', {isPrimary: true}), candidate], createPoint(8n))).toBe('r');
	});

	test('takes the statements in flight from other hosts into account', () => {
		expect(selectId([createCandidate('a', {remoteInFlight: 6}), createCandidate('b', {inFlight: 1})])).toBe('b');
	});

	test('leaves the failure domain when the database there is overloaded, has failed the statement or is in backoff', () => {
		const far = createCandidate('far', {isSameDomain: false, roundTripMs: 25});
		expect(selectId([createCandidate('near'), far])).toBe('near');
		expect(selectId([createCandidate('near', {inFlight: 12}), far])).toBe('far');
		expect(selectUpstream([createCandidate('near'), far], {failed: new Set(['near']), now: NOW}, () => 0)?.id).toBe('far');
		expect(selectId([createCandidate('near', {backoffUntil: NOW + 1}), far])).toBe('far');
	});
});
