import {describe, expect, test} from '@jest/globals';
import {
	decideLeaseHolders, hasEndedLeases, isLeaseProof, isReplaced, isReplicaProof, readClaimTerm, type LeaseInput,
} from '../../primacy-proof.js';
import type {GroupRecord} from '../../fleet-view.js';
import type {DatabaseStatus} from '../../upstream-port.js';

const GROUP: GroupRecord = {
	settings: {name: 'g', members: [], durability: 'contract'}, term: 2, primary: 'a', termStarts: [{term: 1, start: 0n}, {term: 2, start: 100n}], leaving: [],
};
const CLAIM = {database: 'a', point: {term: 2, position: 150n}};
const LEASE: LeaseInput = {
	group: GROUP, claim: CLAIM, stamp: {version: 9, verifiedAt: 1000}, now: 1999, termLeaseMs: 1000, isRegistered: true, fencedTerm: 0,
};

function createStatus(name: string, change: Partial<DatabaseStatus> = {}): DatabaseStatus {
	return {
		name, role: 'replica', term: 2, grantedTo: '', last: {term: 2, position: 150n}, follows: 'a', dataAgeMs: 0, ...change,
	};
}

describe('isLeaseProof', () => {
	test('holds while the stamp is younger than the lease', () => {
		expect(isLeaseProof(LEASE)).toBe(true);
	});

	test.each<[string, Partial<LeaseInput>]>([
		['the process was paused for longer than the lease', {now: 2000}],
		['the host is not registered', {isRegistered: false}],
		['a promotion is in progress', {group: {...GROUP, promotion: {term: 3, promoter: 'h', version: 8}}}],
		['the log names another primary', {group: {...GROUP, primary: 'b'}}],
		['the host has promised to use no lease', {fencedTerm: 3}],
		['the commit was lost when the current term started', {claim: {database: 'a', point: {term: 1, position: 101n}}}],
		['the commit is of a term that the view does not know', {claim: {database: 'a', point: {term: 3, position: 200n}}}],
		['the view lacks the group', {group: undefined}],
	])('does not hold when %s', (_name, change) => {
		expect(isLeaseProof({...LEASE, ...change})).toBe(false);
	});

	test('holds for a commit without changes that reports a point of the previous term', () => {
		expect(isLeaseProof({...LEASE, claim: {database: 'a', point: {term: 1, position: 100n}}})).toBe(true);
	});
});

describe('isReplicaProof', () => {
	test.each<[string, DatabaseStatus[], number, boolean]>([
		['accepts one confirming replica in a group of three', [createStatus('b')], 3, true],
		['rejects one confirming replica in a group of five', [createStatus('b')], 5, false],
		['counts a replica that reports twice only once', [createStatus('b'), createStatus('b')], 5, false],
		['ignores a replica that has granted a later term', [createStatus('b', {term: 3})], 3, false],
		['ignores a replica that does not hold the commit yet', [createStatus('b', {last: {term: 2, position: 149n}})], 3, false],
		['ignores a replica that follows another database', [createStatus('b', {follows: 'c'})], 3, false],
		['ignores a database that is a primary itself', [createStatus('b', {role: 'primary'})], 3, false],
		['accepts a group with a single member without replicas', [], 1, true],
	])('%s', (_name, statuses, members, isProof) => {
		expect(isReplicaProof(statuses, CLAIM, 2, members)).toBe(isProof);
	});

	test('readClaimTerm returns the term of the log for a commit without changes of the logged primary', () => {
		expect(readClaimTerm(GROUP, {database: 'a', point: {term: 1, position: 100n}})).toBe(2);
		expect(readClaimTerm(GROUP, {database: 'b', point: {term: 1, position: 100n}})).toBe(1);
	});

	test('isReplaced returns true only for a database that the log shows as replaced since its commit', () => {
		expect(isReplaced(GROUP, {database: 'b', point: {term: 1, position: 90n}})).toBe(true);
		expect(isReplaced(GROUP, CLAIM)).toBe(false);
		expect(isReplaced(GROUP, {database: 'b', point: {term: 3, position: 190n}})).toBe(false);
	});
});

describe('hasEndedLeases and decideLeaseHolders', () => {
	const holders = [{host: 'h1', incarnation: '1'}, {host: 'h2', incarnation: '1'}];

	test('the lease wait ends when every holder has confirmed', () => {
		const wait = {
			knownAt: 0, now: 5, termLeaseMs: 1000, holders,
		};
		expect(hasEndedLeases({...wait, confirmed: holders.slice(0, 1)})).toBe(false);
		expect(hasEndedLeases({...wait, confirmed: holders})).toBe(true);
	});

	test('a confirmation of another incarnation does not count', () => {
		expect(hasEndedLeases({
			knownAt: 0, now: 5, termLeaseMs: 1000, holders, confirmed: [holders[0]!, {host: 'h2', incarnation: '2'}],
		})).toBe(false);
	});

	test('the lease wait ends after the lease plus the margin for clock rates', () => {
		const wait = {
			knownAt: 0, termLeaseMs: 1000, holders, confirmed: [],
		};
		expect(hasEndedLeases({...wait, now: 1000})).toBe(false);
		expect(hasEndedLeases({...wait, now: 1010})).toBe(true);
	});

	test('a removed host stays a lease holder for one lease, and the holders are unknown until the log was followed for one lease', () => {
		const former = [{...holders[0]!, noticedAt: 500}];
		const input = {
			registered: holders.slice(1), former, followedSince: -5000, termLeaseMs: 1000,
		};
		expect(decideLeaseHolders({...input, now: 1400})).toHaveLength(2);
		expect(decideLeaseHolders({...input, now: 1600})).toHaveLength(1);
		expect(decideLeaseHolders({...input, followedSince: 1000, now: 1400})).toBeUndefined();
	});
});
