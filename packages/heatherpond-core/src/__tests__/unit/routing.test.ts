import {describe, expect, test} from '@jest/globals';
import type {GroupRecord} from '../../fleet-view.js';
import type {DatabaseState} from '../../host-state.js';
import {decideRoute, type RequestNeed, type RoutingInput} from '../../routing.js';

type Status = NonNullable<DatabaseState['status']>;

const GROUP: GroupRecord = {
	settings: {
		name: 'g',
		durability: 'contract',
		members: ['a', 'b', 'c'].map(name => ({
			name, host: '127.0.0.1', port: 1, domain: 'd', slots: 1, connections: 1,
		})),
	},
	term: 2,
	primary: 'a',
	termStarts: [{term: 1, start: 0n}, {term: 2, start: 100n}],
	leaving: [],
};

function createKnowledge(name: string, status: Partial<Status>, readAt = 1000): DatabaseState {
	return {
		group: 'g',
		name,
		readAt,
		failures: 0,
		status: {
			name, role: name === 'a' ? 'primary' : 'replica', term: 2, grantedTo: '', last: {term: 2, position: 200n}, follows: name === 'a' ? '' : 'a', dataAgeMs: 10, ...status,
		},
	};
}

function decide(need: Partial<RequestNeed>, replicas: readonly DatabaseState[], changes: Partial<RoutingInput> = {}) {
	const known = [createKnowledge('a', {}), ...replicas];
	return decideRoute({
		group: GROUP,
		findKnowledge: name => known.find(knowledge => knowledge.name === name),
		need: {
			kind: 'read', maxStalenessMs: 0, maxWaitMs: 50, ...need,
		},
		verifiedAt: 1000,
		now: 1000,
		order: (left, right) => left < right ? -1 : 1,
		...changes,
	});
}

const REQUIRED = {term: 2, position: 200n};

describe('decideRoute', () => {
	test('sends a read to the preferred replica among those that have caught up', () => {
		const replicas = [createKnowledge('b', {}), createKnowledge('c', {})];
		const order = (left: string, right: string): number => left < right ? 1 : -1;
		expect(decide({required: REQUIRED}, replicas, {order})).toMatchObject({kind: 'send', database: 'c', reason: 'replica_caught_up'});
	});

	test('waits for a replica that lags by less than the allowed wait', () => {
		expect(decide({required: REQUIRED}, [createKnowledge('b', {last: {term: 2, position: 150n}})])).toEqual({kind: 'wait', database: 'b'});
	});

	test('sends the read to the primary instead of waiting for a replica that lags by more', () => {
		const late = createKnowledge('b', {last: {term: 2, position: 150n}, dataAgeMs: 500});
		expect(decide({required: REQUIRED}, [late])).toMatchObject({kind: 'send', database: 'a', isPrimary: true});
	});

	test('waits for a replica that lags by more when there is no primary', () => {
		const late = createKnowledge('b', {last: {term: 2, position: 150n}, dataAgeMs: 500});
		const group: GroupRecord = {...GROUP, promotion: {term: 3, promoter: 'h', version: 9}};
		expect(decide({required: REQUIRED}, [late], {group})).toEqual({kind: 'wait', database: 'b'});
	});

	test('does not accept a higher position in a lost history as the required point', () => {
		const cut = createKnowledge('b', {term: 1, last: {term: 1, position: 500n}});
		expect(decide({required: REQUIRED}, [cut])).not.toMatchObject({database: 'b', kind: 'send'});
	});

	test('sends no new requests to a replica that is leaving', () => {
		const group: GroupRecord = {...GROUP, leaving: ['b']};
		expect(decide({}, [createKnowledge('b', {})], {group})).toMatchObject({database: 'a', reason: 'no_replica'});
	});

	test('accepts a replica whose data are proven to be within the allowed staleness', () => {
		expect(decide({maxStalenessMs: 100}, [createKnowledge('b', {})])).toMatchObject({database: 'b', reason: 'replica_fresh_enough'});
	});

	test.each<[string, Partial<Status>, number, number]>([
		['its data are older than allowed', {dataAgeMs: 150}, 1000, 1000],
		['its status was read too long ago', {dataAgeMs: 50}, 900, 1000],
		['it follows a replaced primary', {follows: 'c'}, 1000, 1000],
		['it does not know the current term', {term: 1}, 1000, 1000],
	])('does not count a replica as fresh when %s', (_name, status, readAt, verifiedAt) => {
		expect(decide({maxStalenessMs: 100}, [createKnowledge('b', status, readAt)], {verifiedAt})).toMatchObject({database: 'a'});
	});

	test('does not count a replica as fresh when a later term may have started since', () => {
		const known = [createKnowledge('b', {})];
		const input = {verifiedAt: 0, now: 2000, findKnowledge: (name: string) => name === 'b' ? createKnowledge('b', {}, 2000) : undefined};
		expect(decide({maxStalenessMs: 100}, known, input)).toMatchObject({database: 'a'});
	});

	test('counts a replica as fresh without the log when a majority of the group knows no later term', () => {
		const input = {verifiedAt: 0, now: 2000, findKnowledge: (name: string) => name === 'a' ? undefined : createKnowledge(name, {}, 2000)};
		expect(decide({maxStalenessMs: 100}, [], input)).toMatchObject({database: 'b'});
	});

	test.each([
		['of a later term', {term: 3, position: 1n}, 'future_token'],
		['that was lost in a failover', {term: 1, position: 150n}, 'write_lost'],
	])('refuses a session token with a point %s', (_name, required, reason) => {
		expect(decide({required}, [])).toEqual({kind: 'refuse', reason});
	});
});
