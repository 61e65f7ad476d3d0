import {describe, expect, test} from '@jest/globals';
import {
	selectCandidate, findCommitHolders, findDepartedHolders, findNextHolders, type PolledDatabase, type PrimacyRecord, type Survey, type Upstream,
} from '../../index.js';

const RECORD: PrimacyRecord = {
	group: 'g', term: 3, primary: 'old', promotion: {id: 'p', isPlanned: false, reason: 'silent'},
};

function createUpstream(id: string, change: Partial<Upstream> = {}): Upstream {
	return {
		id, group: 'g', host: id, port: 1, domain: 'd', capacity: 3, isLeaving: false, claimsPrimary: false, isWarmingUp: false, startedAt: 0, ...change,
	};
}

function createPolled(id: string, position: number, {isPrimary = false, ...change}: Partial<Upstream> & {readonly isPrimary?: boolean} = {}): PolledDatabase {
	return {upstream: createUpstream(id, change), status: {isPrimary, term: 3, point: {term: 3, position: BigInt(position)}}};
}

function decide(polled: readonly PolledDatabase[], change: Partial<Survey> = {}, excluded: readonly string[] = []): unknown {
	const choice = selectCandidate({
		polled, syncReplicas: 1, holders: ['a', 'b'], mayCatchUp: true, ...change,
	}, RECORD, {excluded: new Set(excluded), isAtHome: () => true});
	return choice.kind === 'chosen' ? {id: choice.upstream.id, mustCatchUp: choice.mustCatchUp} : choice;
}

describe('the candidate of a group with a synchronous replica', () => {
	// Guards against a database that lacks acknowledged commits being promoted while one that drains holds them.
	test('is a replica that drains when it alone holds every commit', () => {
		expect(decide([createPolled('a', 90, {isLeaving: true}), createPolled('b', 40)])).toEqual({id: 'a', mustCatchUp: false});
	});

	test('is the one that accepts work when it holds as much as the one that drains', () => {
		expect(decide([createPolled('a', 90, {isLeaving: true}), createPolled('b', 90)])).toEqual({id: 'b', mustCatchUp: false});
	});

	// Guards against a promotion while a replica that does not answer may hold acknowledged commits.
	test('is nobody while a replica that may hold more does not answer', () => {
		expect(decide([createPolled('b', 90)])).toEqual({kind: 'none', unknown: ['a']});
		expect(decide([createPolled('a', 90), createPolled('b', 90)], {}, ['a'])).toEqual({kind: 'none', unknown: ['a']});
	});

	test('may lack fewer answers than replicas are synchronous', () => {
		expect(decide([createPolled('b', 90)], {syncReplicas: 2})).toEqual({id: 'b', mustCatchUp: false});
	});

	test('catches up with an old primary that responds', () => {
		expect(decide([createPolled('old', 95, {isPrimary: true}), createPolled('b', 40)])).toEqual({id: 'b', mustCatchUp: true});
	});

	test('is the newest replica when none can catch up with an old primary that is cut off from them: nothing else was acknowledged', () => {
		expect(decide([createPolled('old', 95, {isPrimary: true}), createPolled('a', 80), createPolled('b', 40)], {mayCatchUp: false})).toEqual({id: 'a', mustCatchUp: false});
	});

	test('goes on trying to catch up while a replica does not answer', () => {
		expect(decide([createPolled('old', 95, {isPrimary: true}), createPolled('b', 40)], {mayCatchUp: false})).toEqual({id: 'b', mustCatchUp: true});
	});

	test('holds what an old primary that has come back as a replica holds', () => {
		expect(decide([createPolled('old', 90), createPolled('b', 90)])).toEqual({id: 'b', mustCatchUp: false});
		expect(decide([createPolled('old', 95), createPolled('b', 90)])).toEqual({kind: 'none', unknown: ['a']});
	});
});

describe('the candidate of a group without synchronous replicas', () => {
	test('is the most advanced one that accepts work, whoever else answers', () => {
		const polled = [createPolled('a', 90, {isLeaving: true}), createPolled('b', 40), createPolled('c', 30)];
		expect(decide(polled, {syncReplicas: 0, holders: []})).toEqual({id: 'b', mustCatchUp: false});
	});
});

describe('the databases that may hold an acknowledged commit', () => {
	const state = {
		upstreams: new Map([createUpstream('old'), createUpstream('a', {isLeaving: true}), createUpstream('b'), createUpstream('x', {group: 'other'})].map(upstream => [upstream.id, upstream])),
	};

	test('are the replicas that are registered, and those that were listed', () => {
		expect(findCommitHolders(state, RECORD)).toEqual(['a', 'b']);
		expect(findCommitHolders(state, {...RECORD, holders: ['a', 'gone']})).toEqual(['a', 'b', 'gone']);
		expect(findDepartedHolders(state, {...RECORD, holders: ['a', 'gone']})).toEqual(['gone']);
	});

	test('are under a new primary the old one as well', () => {
		expect(findNextHolders(state, {...RECORD, holders: ['a', 'gone']}, 'b')).toEqual(['a', 'gone', 'old']);
	});
});
