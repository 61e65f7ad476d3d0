import {describe, expect, test} from '@jest/globals';
import {createFakeClock} from 'heatherpond-core';
import {
	applySuspension, createDomainStore, createMemoryStore, createTableCache, findDomainLeader, HOSTS_TABLE, REGISTRATION_MS,
	type ChangesResponse, type DomainPeer, type HostIdentity, type HostRecord, type TableUpdate, type TablePage,
} from '../../index.js';
import {advance} from '../support/steps.js';
import {
	createTestFleet, CONTRACTS_TABLE, GROUP, STORE_LATENCY_MS,
} from '../support/test-fleet.js';

/** Clock of the in-memory store minus that of the hosts. */
const STORE_CLOCK_OFFSET_MS = 500_000;

const IDENTITY: HostIdentity = {
	host: 'host-2', incarnation: 'run', domain: 'd', address: 'a', port: 1,
};

function createPeer(host: string, startedAt = 0): DomainPeer {
	return {...IDENTITY, host, startedAt};
}

function createTableUpdate(change: Partial<TablePage>, requestedAt: number, isSnapshot = false): TableUpdate {
	return {
		page: {
			rows: [], version: 5, storeNow: 1000, ...change,
		}, ...(isSnapshot ? {kind: 'snapshot'} as const : {kind: 'changes', after: 5} as const), requestedAt, receivedAt: requestedAt + 10,
	};
}

describe('createTableCache', () => {
	test('returns the changes after a version with their age since the request to the store', () => {
		const cache = createTableCache();
		cache.applyUpdate('t', createTableUpdate({rows: [{key: 'a', version: 5, value: '1'}]}, 100, true));
		cache.applyUpdate('t', createTableUpdate({rows: [{key: 'b', version: 7}], version: 7}, 1000));
		expect(cache.readChanges('t', 5, 1400)).toMatchObject({kind: 'page', page: {rows: [{key: 'b', version: 7}], version: 7, ageMs: 400}});
	});

	test('returns the whole table without removed rows after version 0', () => {
		const cache = createTableCache();
		cache.applyUpdate('t', createTableUpdate({rows: [{key: 'a', version: 4, value: '1'}, {key: 'b', version: 5, value: '2'}]}, 100, true));
		cache.applyUpdate('t', createTableUpdate({rows: [{key: 'a', version: 7}], version: 7}, 150));
		expect(cache.readChanges('t', 0, 200)).toMatchObject({kind: 'page', page: {rows: [{key: 'b', version: 5, value: '2'}], version: 7, ageMs: 50}});
	});

	test('has not read an earlier version, an unknown table, an outdated page or anything after clear()', () => {
		const cache = createTableCache();
		cache.applyUpdate('t', createTableUpdate({}, 100, true));
		expect(cache.readChanges('t', 4, 200)).toEqual({kind: 'unread'});
		expect(cache.readChanges('other', 5, 200)).toEqual({kind: 'unread'});
		expect(cache.readChanges('t', 5, 2100)).toEqual({kind: 'unread'});
		cache.clear();
		expect(cache.readChanges('t', 5, 200)).toEqual({kind: 'unread'});
	});

	// Guards against a few changed rows that are passed on as the whole table.
	test('takes no page of changes for a table: not after clear(), and not with a gap before them', () => {
		const cache = createTableCache();
		cache.applyUpdate('t', createTableUpdate({rows: [{key: 'a', version: 5, value: '1'}]}, 100, true));
		cache.clear();
		cache.applyUpdate('t', createTableUpdate({rows: [{key: 'b', version: 7, value: '2'}], version: 7}, 150));
		expect(cache.readChanges('t', 0, 200)).toEqual({kind: 'unread'});
		cache.applyUpdate('t', createTableUpdate({version: 4}, 200, true));
		cache.applyUpdate('t', createTableUpdate({rows: [{key: 'b', version: 7, value: '2'}], version: 7}, 250));
		expect(cache.readChanges('t', 0, 300)).toEqual({kind: 'unread'});
	});

	test('keeps its rows after expire(), and has not read them until they are verified again', () => {
		const cache = createTableCache();
		cache.applyUpdate('t', createTableUpdate({rows: [{key: 'a', version: 5, value: '1'}]}, 100, true));
		cache.expire();
		expect(cache.readChanges('t', 0, 150)).toEqual({kind: 'unread'});
		cache.applyUpdate('t', createTableUpdate({rows: [{key: 'b', version: 7, value: '2'}], version: 7}, 200));
		expect(cache.readChanges('t', 0, 250)).toMatchObject({kind: 'page', page: {rows: [{key: 'a'}, {key: 'b'}], version: 7, ageMs: 50}});
	});

	test('tells that changes exceed the size limit of a response', () => {
		const cache = createTableCache();
		cache.applyUpdate('t', createTableUpdate({}, 100, true));
		cache.applyUpdate('t', createTableUpdate({rows: [{key: 'a', version: 6, value: 'x'.repeat(70_000)}], version: 6}, 150));
		expect(cache.readChanges('t', 5, 200)).toEqual({kind: 'too_large'});
		expect(cache.readChanges('t', 0, 200)).toEqual({kind: 'too_large'});
	});
});

describe('domain leader', () => {
	test('is the first host by name among those from which reports arrive', () => {
		const own = {...IDENTITY, startedAt: 0};
		expect(findDomainLeader(own, [createPeer('host-3'), createPeer('host-1')], 9000)?.host).toBe('host-1');
		expect(findDomainLeader(own, [createPeer('host-3')], 9000)).toBeUndefined();
	});

	test('is not a host that has just started while another has sufficient uptime', () => {
		const own = {...IDENTITY, startedAt: 0};
		expect(findDomainLeader(own, [createPeer('host-1', 8000), createPeer('host-3')], 9000)).toBeUndefined();
		expect(findDomainLeader({...own, startedAt: 8000}, [createPeer('host-3')], 9000)?.host).toBe('host-3');
		expect(findDomainLeader(own, [createPeer('host-1', 8000), createPeer('host-3')], 10_600)?.host).toBe('host-1');
	});

	test('is the first host by name when all hosts have started at the same time', () => {
		const own = {...IDENTITY, startedAt: 8970};
		expect(findDomainLeader(own, [createPeer('host-1', 9000), createPeer('host-3', 8960)], 9100)?.host).toBe('host-1');
		expect(findDomainLeader(own, [createPeer('host-3', 9000)], 9100)).toBeUndefined();
	});

	test('is the host that started first when all hosts are new, until the first one by name has sufficient uptime', () => {
		const own = {...IDENTITY, startedAt: 8900};
		expect(findDomainLeader(own, [createPeer('host-1', 9000)], 9100)).toBeUndefined();
		expect(findDomainLeader({...own, host: 'host-1', startedAt: 9000}, [createPeer('host-2', 8900)], 9100)?.host).toBe('host-2');
		expect(findDomainLeader(own, [createPeer('host-1', 9000)], 11_700)?.host).toBe('host-1');
	});

	test('receives change requests first, and the store is read when it does not respond', async () => {
		const clock = createFakeClock(0);
		const store = createMemoryStore({clock, latencyMs: 10});
		const responses: ChangesResponse[] = [{
			kind: 'page', page: {
				rows: [], version: 9, storeNow: 0, ageMs: 300,
			},
		}, {kind: 'silent'}];
		const port = createDomainStore({
			store: store.createPort('host-2'), clock, domain: 'd', readOtherLeaders: () => [], findDomainLeader: () => createPeer('host-1'), requestChanges: async () => responses.shift()!, isOutdated: () => false, isStoreRequired: () => false, signal: new AbortController().signal,
		});
		expect(await port.readChanges('t', 1, 1000)).toMatchObject({version: 9, ageMs: 300});
		const direct = port.readChanges('t', 1, 1000);
		await advance(clock, 20);
		expect(await direct).toMatchObject({version: 1});
	});

	test('is awaited briefly by a host that has just started, and bypassed when it still has not read a table', async () => {
		const clock = createFakeClock(0);
		const store = createMemoryStore({clock, latencyMs: 10});
		let requests = 0;
		let reads = 0;
		store.setFaults(() => {
			reads++;
			return undefined;
		});
		const port = createDomainStore({
			store: store.createPort('host-2'), clock, domain: 'd', readOtherLeaders: () => [], findDomainLeader: () => createPeer('host-1'),
			async requestChanges() {
				requests++;
				return {kind: 'unread'};
			},
			isOutdated: () => false, isStoreRequired: () => false, signal: new AbortController().signal,
		});
		const first = port.readTable('t', 1000);
		await advance(clock, 250);
		expect(reads).toBe(0);
		expect(requests).toBeGreaterThan(3);
		await advance(clock, 150);
		expect(await first).toMatchObject({rows: []});
		const asked = requests;
		const second = port.readTable('t', 2000);
		await advance(clock, 20);
		expect(await second).toMatchObject({rows: []});
		expect(requests).toBe(asked + 1);
	});

	test('does not delay the first lease of a restarted host until its next poll', async () => {
		const fleet = createTestFleet(['host-1', 'host-2', 'host-3'], {seeds: ['host-1', 'host-2']});
		await advance(fleet.clock, 6000);
		fleet.killHost('host-3');
		await advance(fleet.clock, 1000);
		const restarted = fleet.startHost('host-3');
		const startedAt = fleet.clock.readNow();
		await advance(fleet.clock, 300);
		expect(restarted.host.sessions.primacy.findPrimary(GROUP)?.database).toBe('db-1');
		const {registeredAt, primacyVerifiedAt} = restarted.host.blackboard.read();
		expect(registeredAt).toBeGreaterThan(startedAt);
		expect(primacyVerifiedAt).toBeGreaterThanOrEqual(registeredAt);
		fleet.stop();
	});

	test('passes the hosts of a domain on to the store for a table that exceeds a response, also right after their start', async () => {
		const fleet = createTestFleet(['host-1', 'host-2', 'host-3']);
		fleet.store.writeRow(CONTRACTS_TABLE, 'padding', 'x'.repeat(70_000));
		await advance(fleet.clock, 1000);
		expect(fleet.hosts.map(({host}) => host.blackboard.read().contracts?.version)).toEqual([1, 1, 1]);
		fleet.stop();
	});

	test('reads the store for its domain, so that hosts without access to the store stay verified', async () => {
		const fleet = createTestFleet(['host-1', 'host-2', 'host-3']);
		await advance(fleet.clock, 4000);
		let reads = 0;
		fleet.store.setFaults(({caller, kind}) => {
			// Every host still reads the list of hosts at long intervals.
			reads += kind === 'read' && caller === 'host-2' ? 1 : 0;
			return caller === 'host-3' ? 'silent' : undefined;
		});
		await advance(fleet.clock, 6000);
		expect(reads).toBeLessThanOrEqual(2);
		const cut = fleet.hosts[2];
		expect(fleet.clock.readNow() - cut!.host.blackboard.read().contractsVerifiedAt).toBeLessThan(2800);
		fleet.store.writeRow(CONTRACTS_TABLE, 'config', '2');
		await advance(fleet.clock, 2500);
		expect(fleet.hosts.map(({host}) => host.blackboard.read().contracts!.version)).toEqual([2, 2, 2]);
		expect(fleet.hosts[1]!.host.sessions.primacy.findPrimary(GROUP)?.database).toBe('db-1');
		fleet.stop();
	});

	test('refreshes the registrations of its domain, including hosts without access to the store', async () => {
		const fleet = createTestFleet(['host-1', 'host-2', 'host-3']);
		await advance(fleet.clock, 4000);
		const writers = new Set<string>();
		fleet.store.setFaults(({caller, kind}) => {
			if (kind === 'write') {
				writers.add(caller);
			}

			return caller === 'host-3' ? 'silent' : undefined;
		});
		await advance(fleet.clock, 12_000);
		expect([...writers]).toEqual(['host-1']);
		expect(fleet.hosts.map(({host}) => host.isReady())).toEqual([true, true, true]);
		expect(fleet.hosts[2]!.host.sessions.primacy.findPrimary(GROUP)?.database).toBe('db-1');
		const {refreshedAt} = JSON.parse(fleet.store.readRow(HOSTS_TABLE, 'host-3')!) as HostRecord;
		const until = fleet.hosts[2]!.host.blackboard.read().registeredUntil;
		expect(until).toBeLessThanOrEqual(refreshedAt - STORE_CLOCK_OFFSET_MS + REGISTRATION_MS + STORE_LATENCY_MS);
		fleet.stop();
	});

	test('does not extend the registration of a host by reports from before its suspension', async () => {
		const fleet = createTestFleet(['host-1', 'host-2']);
		await advance(fleet.clock, 7600);
		const suspended = fleet.hosts[1]!;
		fleet.store.setFaults(({caller}) => caller === 'host-2' ? 'silent' : undefined);
		fleet.hosts[0]!.dropsDatagram = text => text.includes('"host":"host-2"');
		suspended.host.blackboard.update(state => applySuspension(state, fleet.clock.readNow()));
		await advance(fleet.clock, 2700);
		expect(fleet.datagrams.some(({to, text, at}) => to === 'host-2' && text.includes('"registered"') && at > fleet.clock.readNow() - 2700)).toBe(true);
		expect(suspended.host.blackboard.read().registeredUntil).toBe(Number.NEGATIVE_INFINITY);
		fleet.store.setFaults(() => undefined);
		await advance(fleet.clock, 2000);
		expect(suspended.host.blackboard.read().registeredUntil).toBeGreaterThan(fleet.clock.readNow());
		fleet.stop();
	});

	test('does not overwrite the registration of a restarted host with its previous incarnation', async () => {
		const fleet = createTestFleet(['host-1', 'host-2']);
		await advance(fleet.clock, 4000);
		fleet.killHost('host-2');
		await advance(fleet.clock, 300);
		fleet.startHost('host-2');
		await advance(fleet.clock, 400);
		const {incarnation} = JSON.parse(fleet.store.readRow(HOSTS_TABLE, 'host-2')!) as HostRecord;
		await advance(fleet.clock, 5000);
		expect(JSON.parse(fleet.store.readRow(HOSTS_TABLE, 'host-2')!)).toMatchObject({incarnation});
		expect(incarnation).toBe('run-3');
		fleet.stop();
	});

	test('stops refreshing the registration of a host that has shut down', async () => {
		const fleet = createTestFleet(['host-1', 'host-2', 'host-3']);
		await advance(fleet.clock, 4000);
		const left = fleet.hosts[2]!;
		left.host.startShutdown(Number.POSITIVE_INFINITY);
		const leaving = left.host.leave();
		await advance(fleet.clock, 100);
		await leaving;
		left.lifetime.abort();
		await advance(fleet.clock, 6000);
		expect(fleet.store.readRow(HOSTS_TABLE, 'host-3')).toBeUndefined();
		expect([...fleet.hosts[0]!.host.blackboard.read().hosts.keys()]).toEqual(['host-1', 'host-2']);
		fleet.stop();
	});

	test('does not make a host without a valid registration ready for clients', async () => {
		const fleet = createTestFleet(['host-1', 'host-2', 'host-3']);
		await advance(fleet.clock, 4000);
		expect(fleet.hosts.map(({host}) => host.isReady())).toEqual([true, true, true]);
		fleet.hosts[2]!.dropsDatagram = text => text.includes('"registered"');
		fleet.store.setFaults(({caller}) => caller === 'host-3' ? 'silent' : undefined);
		await advance(fleet.clock, 8000);
		expect(fleet.hosts.map(({host}) => host.isReady())).toEqual([true, true, false]);
		expect(fleet.hosts[2]!.host.sessions.access.decideAccess('shop', 'key')).toEqual({kind: 'refuse', reason: 'unverified_here'});
		fleet.store.setFaults(() => undefined);
		await advance(fleet.clock, 2500);
		expect(fleet.hosts[2]!.host.isReady()).toBe(true);
		fleet.stop();
	});

	test('is bypassed when it loses access to the store', async () => {
		const fleet = createTestFleet(['host-1', 'host-2', 'host-3']);
		await advance(fleet.clock, 4000);
		fleet.store.setFaults(({caller}) => caller === 'host-1' ? 'silent' : undefined);
		await advance(fleet.clock, 8000);
		const now = fleet.clock.readNow();
		expect(fleet.hosts.slice(1).every(({host}) => now - host.blackboard.read().contractsVerifiedAt < 2800)).toBe(true);
		expect(fleet.hosts[1]!.host.sessions.primacy.findPrimary(GROUP)?.database).toBe('db-1');
		fleet.stop();
	});
});
