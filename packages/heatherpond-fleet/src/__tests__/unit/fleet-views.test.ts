import {describe, expect, test} from '@jest/globals';
import {createBlackboard, createFakeClock} from 'heatherpond-core';
import {
	applyFleetUpdate, applySuspension, applyUpstreamUpdate, createMemoryStore, createSuspensionDetector, decideAccess, EMPTY_FLEET_STATE, EMPTY_UPSTREAM_VIEW,
	findPrimary, isProven, LEASE_MS, PRIMACY_PREFIX, removeExpiredUpstreams, startTableFollower, type Contracts, type FleetState, type PrimacyRecord,
	type RowChange, type TableUpdate, type Upstream,
} from '../../index.js';
import {advance} from '../support/steps.js';

const PRIMARY = {group: 'g', database: 'db-1', term: 1};

function createTableUpdate(rows: readonly RowChange[], requestedAt: number, isSnapshot = false): TableUpdate {
	return {
		page: {rows, version: Math.max(1, ...rows.map(({version}) => version)), storeNow: requestedAt}, ...(isSnapshot ? {kind: 'snapshot'} as const : {kind: 'changes', after: 0} as const), requestedAt, receivedAt: requestedAt + 10,
	};
}

function createPrimacyRow(record: PrimacyRecord, version: number): RowChange {
	return {key: `${PRIMACY_PREFIX}${record.group}`, version, value: JSON.stringify(record)};
}

function createRegisteredState(): FleetState {
	return {...EMPTY_FLEET_STATE, registeredAt: 0, registeredUntil: 1_000_000};
}

const CURRENT_RECORD: PrimacyRecord = {group: 'g', term: 1, primary: 'db-1'};
const PROMOTING_RECORD: PrimacyRecord = {...CURRENT_RECORD, promotion: {id: 'p', isPlanned: false, reason: 'silent'}};

describe('lease of a primary', () => {
	test('starts when the verifying request was sent', () => {
		const state = applyFleetUpdate(createRegisteredState(), createTableUpdate([createPrimacyRow(CURRENT_RECORD, 2)], 100));
		expect(findPrimary(state, 'g', 100 + LEASE_MS - 1)).toEqual(PRIMARY);
		expect(findPrimary(state, 'g', 100 + LEASE_MS)).toBeUndefined();
	});

	test('is renewed by a response without changes', () => {
		const state = applyFleetUpdate(applyFleetUpdate(createRegisteredState(), createTableUpdate([createPrimacyRow(CURRENT_RECORD, 2)], 100)), createTableUpdate([], 1500));
		expect(findPrimary(state, 'g', 1500 + LEASE_MS - 1)).toEqual(PRIMARY);
	});

	test('is neither renewed nor used for new statements while a promotion is in progress', () => {
		const before = applyFleetUpdate(createRegisteredState(), createTableUpdate([createPrimacyRow(CURRENT_RECORD, 2)], 100));
		const state = applyFleetUpdate(applyFleetUpdate(before, createTableUpdate([createPrimacyRow(PROMOTING_RECORD, 3)], 1000)), createTableUpdate([], 2000));
		expect(findPrimary(state, 'g', 2000)).toBeUndefined();
		expect(isProven(state, PRIMARY, 100 + LEASE_MS - 1)).toBe(true);
		expect(isProven(state, PRIMARY, 100 + LEASE_MS)).toBe(false);
	});

	test('ends when this host confirms a promotion', () => {
		const state = applyFleetUpdate(createRegisteredState(), createTableUpdate([createPrimacyRow(CURRENT_RECORD, 2)], 100));
		const confirmed: FleetState = {
			...applyFleetUpdate(state, createTableUpdate([createPrimacyRow(PROMOTING_RECORD, 3)], 200)),
			ownConfirmations: new Map([['g', {promotionId: 'p', isSent: true}]]),
		};
		expect(isProven(confirmed, PRIMARY, 300)).toBe(false);
	});

	test('is not valid for a host that is unregistered or was registered after the request', () => {
		const state = applyFleetUpdate(createRegisteredState(), createTableUpdate([createPrimacyRow(CURRENT_RECORD, 2)], 100));
		expect(findPrimary({...state, registeredUntil: 150}, 'g', 200)).toBeUndefined();
		expect(findPrimary({...state, registeredAt: 101}, 'g', 200)).toBeUndefined();
	});

	test('ends with a suspension of the machine', () => {
		const state = applyFleetUpdate(createRegisteredState(), createTableUpdate([createPrimacyRow(CURRENT_RECORD, 2)], 100));
		expect(findPrimary(applySuspension(state, 100), 'g', 101)).toBeUndefined();
	});

	test('is not reverted to an older primary by a delayed snapshot', () => {
		const next: PrimacyRecord = {group: 'g', term: 2, primary: 'db-2'};
		const state = applyFleetUpdate(createRegisteredState(), createTableUpdate([createPrimacyRow(next, 9)], 500));
		const late = applyFleetUpdate(state, createTableUpdate([createPrimacyRow(CURRENT_RECORD, 2)], 400, true));
		expect(findPrimary(late, 'g', 600)?.database).toBe('db-2');
	});

	test('is not affected by rows that cannot be parsed', () => {
		const state = applyFleetUpdate(createRegisteredState(), createTableUpdate([createPrimacyRow(CURRENT_RECORD, 2)], 100));
		const updated = applyFleetUpdate(state, createTableUpdate([{key: `${PRIMACY_PREFIX}g`, version: 3, value: '{"group":7}'}, {key: 'other', version: 4, value: 'x'}], 200));
		expect(findPrimary(updated, 'g', 300)).toEqual(PRIMARY);
	});
});

describe('startTableFollower', () => {
	test('reads the whole table again when the change history is no longer available', async () => {
		const clock = createFakeClock(0);
		const store = createMemoryStore({clock, latencyMs: 10});
		const lifetime = new AbortController();
		const seen: TableUpdate[] = [];
		store.writeRow('t', 'a', '1');
		startTableFollower({
			store: store.createPort('host'), clock, table: 't', readIntervalMs: () => 100, random: () => 0, phase: 0, signal: lifetime.signal,
			applyUpdate(update) {
				seen.push(update);
			},
			handleFailure: () => undefined,
		});
		await advance(clock, 150);
		store.writeRow('t', 'a', undefined);
		store.writeRow('t', 'b', '2');
		store.dropHistory();
		await advance(clock, 300);
		lifetime.abort();
		expect(seen[0]).toMatchObject({kind: 'snapshot', page: {rows: [{key: 'a'}]}});
		expect(seen.some(({kind, page}) => kind === 'snapshot' && page.rows.length === 1 && page.rows[0]!.key === 'b')).toBe(true);
	});

	test('reports the time of the request as the time of verification', async () => {
		const clock = createFakeClock(0);
		const store = createMemoryStore({clock, latencyMs: 50});
		const lifetime = new AbortController();
		const seen: TableUpdate[] = [];
		startTableFollower({
			store: store.createPort('host'), clock, table: 't', readIntervalMs: () => 100, random: () => 0, phase: 0, signal: lifetime.signal,
			applyUpdate(update) {
				seen.push(update);
			},
			handleFailure: () => undefined,
		});
		await advance(clock, 60);
		lifetime.abort();
		expect(seen[0]).toMatchObject({requestedAt: 0, receivedAt: 50});
	});

	test('gives up a request without response when the store has responded to another one, instead of waiting for its timeout', async () => {
		const clock = createFakeClock(0);
		const store = createMemoryStore({clock, latencyMs: 10});
		const lifetime = new AbortController();
		const seen: TableUpdate[] = [];
		const failures: string[] = [];
		store.setFaults(() => clock.readNow() < 300 ? 'silent' : undefined);
		const follower = startTableFollower({
			store: store.createPort('host'), clock, table: 't', readIntervalMs: () => 100, random: () => 0, phase: 0, signal: lifetime.signal,
			applyUpdate(update) {
				seen.push(update);
			},
			handleFailure(reason) {
				failures.push(reason);
			},
		});
		await advance(clock, 320);
		follower.restart();
		await advance(clock, 40);
		lifetime.abort();
		expect(seen[0]!.requestedAt).toBeLessThan(340);
		expect(failures).toEqual([]);
	});

	test('continues to poll after requests that timed out', async () => {
		const clock = createFakeClock(0);
		const store = createMemoryStore({clock, latencyMs: 10});
		const lifetime = new AbortController();
		let responses = 0;
		let failures = 0;
		store.setFaults(() => clock.readNow() < 2000 ? 'silent' : undefined);
		startTableFollower({
			store: store.createPort('host'), clock, table: 't', readIntervalMs: () => 100, random: () => 0, phase: 0, signal: lifetime.signal,
			applyUpdate() {
				responses++;
			},
			handleFailure() {
				failures++;
			},
		});
		await advance(clock, 3500);
		lifetime.abort();
		expect(failures).toBeGreaterThan(1);
		expect(responses).toBeGreaterThan(3);
	});
});

describe('access', () => {
	const contracts: Contracts = {
		version: 1,
		routes: new Map(['shop', 'open'].map(database => [database, {
			database, group: 'g', consistency: 'primary', maxStalenessMs: 0, timeoutMs: 500, targetLatencyMs: 400, priority: 1, isOpen: database === 'open',
		}])),
		groups: new Map(), teams: new Map(), teamsByKey: new Map([['key', 'team']]), idleTransactionMs: 1000,
	};
	const state: FleetState = {...EMPTY_FLEET_STATE, contracts, contractsVerifiedAt: 1000};

	test('accepts a key while the contracts were verified within the revocation period', () => {
		expect(decideAccess(state, {database: 'shop', key: 'key'}, 5000, 5800)).toMatchObject({kind: 'allow', team: 'team'});
		expect(decideAccess(state, {database: 'shop', key: 'key'}, 5000, 5900)).toEqual({kind: 'refuse', reason: 'unverified'});
	});

	test('distinguishes unknown keys from unknown databases', () => {
		expect(decideAccess(state, {database: 'shop', key: 'other'}, 5000, 1100)).toEqual({kind: 'refuse', reason: 'unknown_key'});
		expect(decideAccess(state, {database: 'none', key: 'key'}, 5000, 1100)).toEqual({kind: 'refuse', reason: 'unknown_database'});
	});

	test('allows an open route without a key and without a recent verification', () => {
		expect(decideAccess(state, {database: 'open', key: ''}, 5000, 90_000)).toMatchObject({kind: 'allow', team: '-'});
	});

	// Guards against clients that wait for a database which can never be told who they are.
	test('refuses at once what databases cannot be told, with that as the reason', () => {
		const named = (name: string): FleetState => ({...state, contracts: {...contracts, unsendableNames: new Set([name])}});
		expect(decideAccess(named('team'), {database: 'shop', key: 'key'}, 5000, 1100)).toEqual({kind: 'refuse', reason: 'unsendable_name'});
		expect(decideAccess(named('g'), {database: 'open', key: ''}, 5000, 1100)).toEqual({kind: 'refuse', reason: 'unsendable_name'});
		expect(decideAccess(named('team'), {database: 'open', key: ''}, 5000, 1100)).toMatchObject({kind: 'allow'});
		expect(decideAccess(named('team'), {database: 'shop', key: 'other'}, 5000, 1100)).toEqual({kind: 'refuse', reason: 'unknown_key'});
	});

	test('refuses all clients before the contracts have been read', () => {
		expect(decideAccess(EMPTY_FLEET_STATE, {database: 'open', key: ''}, 5000, 0)).toEqual({kind: 'refuse', reason: 'unverified'});
	});
});

describe('applyUpstreamUpdate', () => {
	const upstream: Upstream = {
		id: 'db-1', group: 'g', host: 'h', port: 1, domain: 'd', capacity: 2, isLeaving: false, claimsPrimary: false, isWarmingUp: false, startedAt: 0,
	};
	function parse({key, value}: RowChange): Upstream | undefined {
		return value === undefined || value === 'invalid' ? undefined : {...upstream, id: key, isLeaving: value === 'leaving'};
	}

	test('retains a database without registration for the grace period, and after it has registered again', () => {
		const present = applyUpstreamUpdate(EMPTY_UPSTREAM_VIEW, createTableUpdate([{key: 'db-1', version: 1, value: 'ready'}], 0), parse);
		const missing = applyUpstreamUpdate(present, createTableUpdate([{key: 'db-1', version: 2}], 1000), parse);
		expect([...missing.upstreams.keys()]).toEqual(['db-1']);
		expect([...removeExpiredUpstreams(missing, 5000).upstreams.keys()]).toEqual([]);
		const back = applyUpstreamUpdate(missing, createTableUpdate([{key: 'db-1', version: 3, value: 'ready'}], 2000), parse);
		expect([...removeExpiredUpstreams(back, 9000).upstreams.keys()]).toEqual(['db-1']);
	});

	test('removes a draining database immediately when its registration disappears', () => {
		const leaving = applyUpstreamUpdate(EMPTY_UPSTREAM_VIEW, createTableUpdate([{key: 'db-1', version: 1, value: 'leaving'}], 0), parse);
		expect(applyUpstreamUpdate(leaving, createTableUpdate([{key: 'db-1', version: 2}], 100), parse).upstreams.size).toBe(0);
	});

	test('treats rows absent from a snapshot as missing and ignores rows that cannot be parsed', () => {
		const present = applyUpstreamUpdate(EMPTY_UPSTREAM_VIEW, createTableUpdate([{key: 'db-1', version: 1, value: 'ready'}, {key: 'x', version: 2, value: 'invalid'}], 0), parse);
		expect([...present.upstreams.keys()]).toEqual(['db-1']);
		const whole = applyUpstreamUpdate(present, createTableUpdate([], 100, true), parse);
		expect(removeExpiredUpstreams(whole, 3000).upstreams.size).toBe(0);
	});
});

describe('suspension detector', () => {
	test('reports once that the monotonic clock has stopped while the wall clock advanced', () => {
		let monotonic = 0;
		let timeOfDay = 10_000;
		const watch = createSuspensionDetector(() => monotonic, () => timeOfDay);
		monotonic += 100;
		timeOfDay += 105;
		expect(watch.hasDrifted()).toBe(false);
		timeOfDay += 3000;
		expect(watch.hasDrifted()).toBe(true);
		expect(watch.hasDrifted()).toBe(false);
	});
});

test('initial fleet state contains no contracts', () => {
	expect(createBlackboard(EMPTY_FLEET_STATE).read().contracts).toBeUndefined();
});
