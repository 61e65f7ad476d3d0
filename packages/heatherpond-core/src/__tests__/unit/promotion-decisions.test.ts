import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {
	applyProbe, applyProbeFailure, countDivergentBytes, decideAgreement, decideCandidate, decideNextTerm, decidePromoterRank, decideSuspicion, isMajorityReachable, isStray, type MemberEvidence,
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

function createEvidence(name: string, change: Partial<MemberEvidence> = {}): MemberEvidence {
	return {
		name, status: createStatus(name), readAt: 1000, primaryContactAt: 1000, probesWithoutContact: 0, ...change,
	};
}

const NO_PRIMARY_CONTACT = {primaryContactAt: 600, probesWithoutContact: 8};

describe('suspicion', () => {
	test.each<[string, MemberEvidence[], string | undefined]>([
		['all well', ['a', 'b', 'c'].map(name => createEvidence(name)), undefined],
		['the primary gone and its replicas silent', [createEvidence('a', {unreachableSince: 600}), createEvidence('b', NO_PRIMARY_CONTACT), createEvidence('c', NO_PRIMARY_CONTACT)], 'dead'],
		['the primary reachable and its replicas silent', [createEvidence('a'), createEvidence('b', NO_PRIMARY_CONTACT), createEvidence('c', NO_PRIMARY_CONTACT)], 'cut_off'],
		['one replica silent', [createEvidence('a'), createEvidence('b', NO_PRIMARY_CONTACT), createEvidence('c')], undefined],
		['the primary unreachable for a moment, its replicas hear it', [createEvidence('a', {unreachableSince: 900}), createEvidence('b'), createEvidence('c')], undefined],
		['the primary unreachable for long, its replicas hear it', [createEvidence('a', {unreachableSince: 600}), createEvidence('b'), createEvidence('c')], 'unreachable'],
		['no majority without the primary', [createEvidence('a', {unreachableSince: 600}), createEvidence('b', NO_PRIMARY_CONTACT), createEvidence('c', {unreachableSince: 600})], undefined],
		['few silent probes after a standstill of the host', [createEvidence('a'), createEvidence('b', {...NO_PRIMARY_CONTACT, probesWithoutContact: 1}), createEvidence('c', {...NO_PRIMARY_CONTACT, probesWithoutContact: 1})], undefined],
		['the primary has granted a later term', [createEvidence('a', {status: createStatus('a', {term: 3})}), createEvidence('b'), createEvidence('c')], 'fenced'],
	])('%s', (_name, members, suspicion) => {
		expect(decideSuspicion(GROUP, members, 1000, SUSPICION_MS)).toBe(suspicion);
	});

	test('a lag that stays the same is no silence, a standing state is', () => {
		const lagging = [0, 50, 100].reduce<MemberEvidence | undefined>((known, at) => applyProbe(known, createStatus('b', {dataAgeMs: 2000}), at), undefined);
		expect(lagging).toMatchObject({probesWithoutContact: 0, primaryContactAt: 100});
		const standing = [0, 50, 100].reduce<MemberEvidence | undefined>((known, at) => applyProbe(known, createStatus('b', {dataAgeMs: at}), at), undefined);
		expect(standing).toMatchObject({probesWithoutContact: 2, primaryContactAt: 0});
	});

	test('replicas that fall far behind all at once still hear their primary, until it falls silent', () => {
		const behind = [0, 50, 100].reduce<MemberEvidence | undefined>((known, at) => applyProbe(known, createStatus('b', {dataAgeMs: at, heardMs: 10}), at), undefined);
		expect(behind).toMatchObject({probesWithoutContact: 0, primaryContactAt: 90});
		const silent = [150, 200, 250].reduce<MemberEvidence | undefined>((known, at) => applyProbe(known, createStatus('b', {dataAgeMs: at, heardMs: at - 90}), at), behind);
		expect(silent).toMatchObject({probesWithoutContact: 3, primaryContactAt: 90});
	});

	test('one failed probe, perhaps on a silent connection, makes nobody unreachable', () => {
		const known = createEvidence('a');
		expect(applyProbeFailure(known, 'a', {askedAt: 1050, failures: 1}).unreachableSince).toBeUndefined();
		expect(applyProbeFailure(known, 'a', {askedAt: 1100, failures: 2}).unreachableSince).toBe(1100);
	});
});

test('a promotion that was begun can be ended with the old primary and one replica, not by one member alone', () => {
	const gone = {unreachableSince: 600};
	expect(isMajorityReachable(GROUP, [createEvidence('a'), createEvidence('b'), createEvidence('c', gone)])).toBe(true);
	expect(isMajorityReachable(GROUP, [createEvidence('a'), createEvidence('b', gone), createEvidence('c', gone)])).toBe(false);
});

describe('agreement', () => {
	const own = {domain: 'x', canSee: true, suspicion: 'dead'} as const;
	test.each([
		['another domain agrees', [{domain: 'y', canSee: true, suspicion: 'dead' as const}], true],
		['another domain sees the group and does not agree', [{domain: 'y', canSee: true}], false],
		['only hosts of the own domain agree', [{domain: 'x', canSee: true, suspicion: 'dead' as const}, {domain: 'y', canSee: true}], false],
		['no other domain sees the group', [{domain: 'y', canSee: false}], true],
		['nobody answers', [], true],
	])('%s', (_name, others, agreed) => {
		expect(decideAgreement(own, others)).toBe(agreed);
	});

	test('a primary that its replicas hear is replaced only if nobody reaches it', () => {
		const unreachable = {...own, suspicion: 'unreachable'} as const;
		expect(decideAgreement(unreachable, [])).toBe(false);
		expect(decideAgreement(unreachable, [{domain: 'y', canSee: true, suspicion: 'unreachable'}])).toBe(true);
		expect(decideAgreement(unreachable, [{domain: 'y', canSee: true, suspicion: 'unreachable'}, {domain: 'z', canSee: true}])).toBe(false);
	});
});

const statusArbitrary = fc.record({term: fc.integer({min: 1, max: 3}), position: fc.bigInt(0n, 5n)}).map(last => createStatus('x', {last}));

/** Terms of a group in which nothing up to position 5 was lost. */
const BASIS: PromotionBasis = {term: 3, openTerm: 0, termStarts: [{term: 1, start: 0n}, {term: 2, start: 5n}, {term: 3, start: 5n}]};
const OWN_TERM_BASIS: PromotionBasis = {term: 2, openTerm: 0, termStarts: [{term: 1, start: 0n}, {term: 2, start: 100n}]};

describe('the candidate', () => {
	test('holds whatever a majority with the primary held, in any group and for any majority that grants', () => {
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

	test('is the wanted one only if none is ahead of it', () => {
		const statuses = [createStatus('a'), createStatus('b'), createStatus('c', {last: {term: 2, position: 149n}})];
		expect(decideCandidate({
			members: 3, granted: statuses, wanted: 'b', basis: OWN_TERM_BASIS,
		})).toBe('b');
		expect(decideCandidate({
			members: 3, granted: statuses, wanted: 'c', basis: OWN_TERM_BASIS,
		})).toBe('a');
	});

	test('is never a member that still holds writes which an earlier promotion lost', () => {
		const stray = createStatus('a', {last: {term: 1, position: 140n}});
		const statuses = [stray, createStatus('b', {last: {term: 1, position: 90n}}), createStatus('c', {last: {term: 1, position: 80n}})];
		expect(decideCandidate({members: 3, granted: statuses, basis: OWN_TERM_BASIS})).toBe('b');
		expect(decideCandidate({
			members: 3, granted: statuses, wanted: 'a', basis: OWN_TERM_BASIS,
		})).toBe('b');
	});

	test('is not the replaced primary while there is a majority without it', () => {
		const statuses = [createStatus('a', {last: {term: 2, position: 999n}}), createStatus('b'), createStatus('c')];
		expect(decideCandidate({
			members: 3, granted: statuses, replaced: 'a', basis: OWN_TERM_BASIS,
		})).toBe('b');
		expect(decideCandidate({
			members: 3, granted: statuses.slice(0, 2), replaced: 'a', basis: OWN_TERM_BASIS,
		})).toBe('a');
	});
});

test('the next term is above the log, an open promotion and every member', () => {
	expect(decideNextTerm({...GROUP, promotion: {term: 4, promoter: 'h', version: 1}}, [createStatus('b', {term: 6})])).toBe(7);
	expect(decideNextTerm(GROUP, [])).toBe(3);
});

test('every host has a rank of its own among the promoters of a group', () => {
	const hosts = ['h1', 'h2', 'h3', 'h4'];
	expect(hosts.map(host => decidePromoterRank('g', host, hosts)).toSorted((left, right) => left - right)).toEqual([0, 1, 2, 3]);
});

test('a former primary is a stray, and what it holds beyond the new term is counted', () => {
	const former = createStatus('b', {
		role: 'primary', term: 1, follows: '', last: {term: 1, position: 130n},
	});
	expect(isStray(GROUP, former)).toBe(true);
	expect(isStray(GROUP, createStatus('b'))).toBe(false);
	expect(isStray({...GROUP, promotion: {term: 3, promoter: 'h', version: 1}}, former)).toBe(false);
	expect(countDivergentBytes(GROUP, former.last)).toBe(30n);
	expect(countDivergentBytes(GROUP, {term: 1, position: 100n})).toBe(0n);
});
