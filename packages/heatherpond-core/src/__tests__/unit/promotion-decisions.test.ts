import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {
	applyProbe, applyProbeFailure, countDivergentBytes, decideAgreement, decideCandidate, decideNextTerm, decidePromoterRank, decideSuspicion, isMajorityReachable, isRedirectRequired, type MemberProbeState,
} from '../../promotion-decisions.js';
import type {GroupRecord} from '../../fleet-view.js';
import type {PromotionBasis} from '../../promotion-machine.js';
import type {DatabaseStatus} from '../../upstream-port.js';

const SEED = 20_261_203;
const SUSPICION_MS = 300;
const GROUP: GroupRecord = {
	settings: {
		name: 'g',
		durability: 'contract',
		members: ['a', 'b', 'c'].map(name => ({
			name, host: 'x', port: 1, domain: name, slots: 1, connections: 1,
		})),
	},
	term: 2,
	primary: 'a',
	termStarts: [{term: 1, start: 0n}, {term: 2, start: 100n}],
	leaving: [],
};

function createStatus(name: string, change: Partial<DatabaseStatus> = {}): DatabaseStatus {
	return {
		name, role: name === 'a' ? 'primary' : 'replica', term: 2, grantedTo: '', last: {term: 2, position: 150n}, follows: name === 'a' ? '' : 'a', dataAgeMs: 0, ...change,
	};
}

function createEvidence(name: string, change: Partial<MemberProbeState> = {}): MemberProbeState {
	return {
		name, status: createStatus(name), readAt: 1000, primaryContactAt: 1000, probesWithoutContact: 0, ...change,
	};
}

const NO_PRIMARY_CONTACT = {primaryContactAt: 600, probesWithoutContact: 8};

describe('decideSuspicion', () => {
	test.each<[string, MemberProbeState[], string | undefined]>([
		['suspects nothing in a healthy group', ['a', 'b', 'c'].map(name => createEvidence(name)), undefined],
		[
			'reports dead when the primary is unreachable and its replicas have no contact to it',
			[createEvidence('a', {unreachableSince: 600}), createEvidence('b', NO_PRIMARY_CONTACT), createEvidence('c', NO_PRIMARY_CONTACT)],
			'dead',
		],
		[
			'reports cut_off when the primary is reachable and its replicas have no contact to it',
			[createEvidence('a'), createEvidence('b', NO_PRIMARY_CONTACT), createEvidence('c', NO_PRIMARY_CONTACT)],
			'cut_off',
		],
		['suspects nothing when a single replica has no contact to the primary', [createEvidence('a'), createEvidence('b', NO_PRIMARY_CONTACT), createEvidence('c')], undefined],
		[
			'suspects nothing when the primary is briefly unreachable and its replicas have contact to it',
			[createEvidence('a', {unreachableSince: 900}), createEvidence('b'), createEvidence('c')],
			undefined,
		],
		[
			'reports unreachable when the primary stays unreachable and its replicas have contact to it',
			[createEvidence('a', {unreachableSince: 600}), createEvidence('b'), createEvidence('c')],
			'unreachable',
		],
		[
			'suspects nothing without a reachable majority beside the primary',
			[createEvidence('a', {unreachableSince: 600}), createEvidence('b', NO_PRIMARY_CONTACT), createEvidence('c', {unreachableSince: 600})],
			undefined,
		],
		[
			'suspects nothing after too few probes, as when the host itself was paused',
			[createEvidence('a'), createEvidence('b', {...NO_PRIMARY_CONTACT, probesWithoutContact: 1}), createEvidence('c', {...NO_PRIMARY_CONTACT, probesWithoutContact: 1})],
			undefined,
		],
		['reports fenced when the primary has granted a later term', [createEvidence('a', {status: createStatus('a', {term: 3})}), createEvidence('b'), createEvidence('c')], 'fenced'],
	])('%s', (_name, members, suspicion) => {
		expect(decideSuspicion(GROUP, members, 1000, SUSPICION_MS)).toBe(suspicion);
	});

	test('a constant replication lag counts as contact to the primary, unchanged data do not', () => {
		const lagging = [0, 50, 100].reduce<MemberProbeState | undefined>((known, at) => applyProbe(known, createStatus('b', {dataAgeMs: 2000}), at), undefined);
		expect(lagging).toMatchObject({probesWithoutContact: 0, primaryContactAt: 100});
		const unchanged = [0, 50, 100].reduce<MemberProbeState | undefined>((known, at) => applyProbe(known, createStatus('b', {dataAgeMs: at}), at), undefined);
		expect(unchanged).toMatchObject({probesWithoutContact: 2, primaryContactAt: 0});
	});

	test('a replica that falls behind has contact to its primary as long as it reports receiving data', () => {
		const behind = [0, 50, 100].reduce<MemberProbeState | undefined>((known, at) => applyProbe(known, createStatus('b', {dataAgeMs: at, heardMs: 10}), at), undefined);
		expect(behind).toMatchObject({probesWithoutContact: 0, primaryContactAt: 90});
		const disconnected = [150, 200, 250].reduce<MemberProbeState | undefined>((known, at) => applyProbe(known, createStatus('b', {dataAgeMs: at, heardMs: at - 90}), at), behind);
		expect(disconnected).toMatchObject({probesWithoutContact: 3, primaryContactAt: 90});
	});

	test('a single failed probe, possibly on a dead connection, does not make a member unreachable', () => {
		const known = createEvidence('a');
		expect(applyProbeFailure(known, 'a', {requestedAt: 1050, failures: 1}).unreachableSince).toBeUndefined();
		expect(applyProbeFailure(known, 'a', {requestedAt: 1100, failures: 2}).unreachableSince).toBe(1100);
	});
});

test('a promotion can be completed with the old primary and one replica, but not with a single member', () => {
	const unreachable = {unreachableSince: 600};
	expect(isMajorityReachable(GROUP, [createEvidence('a'), createEvidence('b'), createEvidence('c', unreachable)])).toBe(true);
	expect(isMajorityReachable(GROUP, [createEvidence('a'), createEvidence('b', unreachable), createEvidence('c', unreachable)])).toBe(false);
});

describe('decideAgreement', () => {
	const own = {domain: 'x', canSee: true, suspicion: 'dead'} as const;
	test.each([
		['replaces the primary when another failure domain suspects it too', [{domain: 'y', canSee: true, suspicion: 'dead' as const}], true],
		['keeps the primary when another failure domain reaches the group and does not suspect it', [{domain: 'y', canSee: true}], false],
		['keeps the primary when only hosts of the own failure domain suspect it', [{domain: 'x', canSee: true, suspicion: 'dead' as const}, {domain: 'y', canSee: true}], false],
		['replaces the primary when no other failure domain reaches the group', [{domain: 'y', canSee: false}], true],
		['replaces the primary when no other host responds', [], true],
	])('%s', (_name, others, agreed) => {
		expect(decideAgreement(own, others)).toBe(agreed);
	});

	test('replaces a primary with contact to its replicas only if no host reaches it', () => {
		const unreachable = {...own, suspicion: 'unreachable'} as const;
		expect(decideAgreement(unreachable, [])).toBe(false);
		expect(decideAgreement(unreachable, [{domain: 'y', canSee: true, suspicion: 'unreachable'}])).toBe(true);
		expect(decideAgreement(unreachable, [{domain: 'y', canSee: true, suspicion: 'unreachable'}, {domain: 'z', canSee: true}])).toBe(false);
	});
});

const statusArbitrary = fc.record({term: fc.integer({min: 1, max: 3}), position: fc.bigInt(0n, 5n)}).map(last => createStatus('x', {last}));

/** Terms of a group in which no write up to position 5 was lost. */
const BASIS: PromotionBasis = {term: 3, openTerm: 0, termStarts: [{term: 1, start: 0n}, {term: 2, start: 5n}, {term: 3, start: 5n}]};
const OWN_TERM_BASIS: PromotionBasis = {term: 2, openTerm: 0, termStarts: [{term: 1, start: 0n}, {term: 2, start: 100n}]};

describe('decideCandidate', () => {
	test('chooses a member that holds all writes of any majority, for any majority that granted the term', () => {
		fc.assert(fc.property(fc.constantFrom(1, 3, 5), fc.array(statusArbitrary, {minLength: 5, maxLength: 5}), fc.array(fc.boolean(), {minLength: 5, maxLength: 5}), fc.array(fc.boolean(), {minLength: 5, maxLength: 5}), (members, statuses, grants, holders) => {
			const point = {term: 3, position: 4n};
			const all = statuses.slice(0, members).map((status, index) => ({...status, name: `m${index}`, last: holders[index] ? {term: 3, position: 5n} : status.last}));
			const granted = all.filter((_status, index) => grants[index]);
			const isDurable = holders.slice(0, members).filter(Boolean).length > members / 2;
			const chosen = all.find(status => status.name === decideCandidate({
				members, granted, replaced: 'm0', basis: BASIS,
			}));
			const hasPoint = chosen?.last.term === point.term && chosen.last.position >= point.position;
			expect(chosen === undefined || !isDurable || hasPoint).toBe(true);
			expect(chosen === undefined).toBe(granted.length <= members / 2);
		}), {seed: SEED, numRuns: 2000});
	});

	test('chooses the requested member only if no other is more advanced', () => {
		const statuses = [createStatus('a'), createStatus('b'), createStatus('c', {last: {term: 2, position: 149n}})];
		expect(decideCandidate({
			members: 3, granted: statuses, wanted: 'b', basis: OWN_TERM_BASIS,
		})).toBe('b');
		expect(decideCandidate({
			members: 3, granted: statuses, wanted: 'c', basis: OWN_TERM_BASIS,
		})).toBe('a');
	});

	test('never chooses a member that holds writes lost in an earlier promotion', () => {
		const divergent = createStatus('a', {last: {term: 1, position: 140n}});
		const statuses = [divergent, createStatus('b', {last: {term: 1, position: 90n}}), createStatus('c', {last: {term: 1, position: 80n}})];
		expect(decideCandidate({members: 3, granted: statuses, basis: OWN_TERM_BASIS})).toBe('b');
		expect(decideCandidate({
			members: 3, granted: statuses, wanted: 'a', basis: OWN_TERM_BASIS,
		})).toBe('b');
	});

	test('does not choose the replaced primary while there is a majority without it', () => {
		const statuses = [createStatus('a', {last: {term: 2, position: 999n}}), createStatus('b'), createStatus('c')];
		expect(decideCandidate({
			members: 3, granted: statuses, replaced: 'a', basis: OWN_TERM_BASIS,
		})).toBe('b');
		expect(decideCandidate({
			members: 3, granted: statuses.slice(0, 2), replaced: 'a', basis: OWN_TERM_BASIS,
		})).toBe('a');
	});
});

test('the next term exceeds the terms of the log, of a promotion in progress and of every member', () => {
	expect(decideNextTerm({...GROUP, promotion: {term: 4, promoter: 'h', version: 1}}, [createStatus('b', {term: 6})])).toBe(7);
	expect(decideNextTerm(GROUP, [])).toBe(3);
});

test('the promoter ranks of a group are distinct and start at 0', () => {
	const hosts = ['h1', 'h2', 'h3', 'h4'];
	expect(hosts.map(host => decidePromoterRank('g', host, hosts)).toSorted((left, right) => left - right)).toEqual([0, 1, 2, 3]);
});

test('a former primary needs a redirect, and its divergent bytes are counted', () => {
	const former = createStatus('b', {
		role: 'primary', term: 1, follows: '', last: {term: 1, position: 130n},
	});
	expect(isRedirectRequired(GROUP, former)).toBe(true);
	expect(isRedirectRequired(GROUP, createStatus('b'))).toBe(false);
	expect(isRedirectRequired({...GROUP, promotion: {term: 3, promoter: 'h', version: 1}}, former)).toBe(false);
	expect(countDivergentBytes(GROUP, former.last)).toBe(30n);
	expect(countDivergentBytes(GROUP, {term: 1, position: 100n})).toBe(0n);
});
