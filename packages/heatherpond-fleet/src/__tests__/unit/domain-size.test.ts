import {describe, expect, test} from '@jest/globals';
import {HOSTS_TABLE, type HostRecord} from '../../index.js';
import {advance} from '../support/steps.js';
import {createTestFleet, type TestFleet} from '../support/test-fleet.js';

/** Time between two reports of a host, in milliseconds. */
const REPORT_INTERVAL_MS = 1200;
/** Time after which a host that no longer reports counts as dead, and one interval of reports. */
const FAILOVER_MS = 2800 + REPORT_INTERVAL_MS;

function createDomain(size: number): TestFleet {
	return createTestFleet(Array.from({length: size}, (_, index) => `host-${String(index + 1).padStart(2, '0')}`));
}

/** Counts the datagrams that each host sends in a time, by host. */
async function countDatagrams(fleet: TestFleet, lengthMs: number): Promise<Map<string, number>> {
	const since = fleet.clock.readNow();
	await advance(fleet.clock, lengthMs);
	const counts = new Map<string, number>(fleet.hosts.filter(({isKilled}) => !isKilled).map(({name}) => [name, 0]));
	fleet.datagrams.filter(({at}) => at > since).forEach(({from}) => {
		counts.set(from, counts.get(from)! + 1);
	});
	return counts;
}

describe('a failure domain', () => {
	test.each([8, 18])('of %d hosts costs a host that is not the leader the same number of datagrams', async size => {
		const fleet = createDomain(size);
		await advance(fleet.clock, 8000);
		const periods = 5;
		const counts = await countDatagrams(fleet, periods * REPORT_INTERVAL_MS);
		const others = [...counts].filter(([name]) => name !== 'host-01').map(([, count]) => count);
		// In each period one report and the requests for the changes of three tables.
		expect(Math.max(...others)).toBeLessThanOrEqual(periods * 7);
		fleet.stop();
	});

	test('follows one new leader after the leader and its first successors have failed at the same time', async () => {
		const fleet = createDomain(8);
		await advance(fleet.clock, 8000);
		['host-01', 'host-02', 'host-03'].forEach(fleet.killHost);
		await advance(fleet.clock, FAILOVER_MS);
		const callers = new Set<string>();
		fleet.store.setFaults(({caller}) => {
			callers.add(caller);
			return undefined;
		});
		await advance(fleet.clock, 3000);
		expect([...callers]).toEqual(['host-04']);
		fleet.stop();
	});

	test('knows no dead host for long, though two hosts consider themselves the leader', async () => {
		const fleet = createDomain(5);
		await advance(fleet.clock, 8000);
		fleet.hosts[0]!.dropsDatagram = text => text.includes('"digest"');
		fleet.hosts[1]!.dropsDatagram = text => text.includes('"own":{"host":"host-01"');
		fleet.killHost('host-05');
		await advance(fleet.clock, 20_000);
		const live = fleet.datagrams.filter(({text, at}) => at > fleet.clock.readNow() - REPORT_INTERVAL_MS && text.includes('"digest"'));
		expect(live.length).toBeGreaterThan(0);
		expect(live.filter(({text}) => text.includes('"host":"host-05"'))).toEqual([]);
		fleet.stop();
	});

	test('has the registrations of hosts that start later written by its leader, many in one transaction', async () => {
		const fleet = createTestFleet(['host-01', 'host-02'], {seeds: ['host-02', 'gone']});
		await advance(fleet.clock, 6000);
		const writers: string[] = [];
		fleet.store.setFaults(({caller, kind}) => {
			if (kind === 'write') {
				writers.push(caller);
			}

			return undefined;
		});
		const names = ['host-11', 'host-12', 'host-13', 'host-14'];
		names.forEach(name => {
			fleet.startHost(name);
		});
		await advance(fleet.clock, 1000);
		expect(new Set(writers)).toEqual(new Set(['host-01']));
		expect(writers.length).toBeLessThanOrEqual(2);
		names.forEach(name => {
			const {incarnation} = JSON.parse(fleet.store.readRow(HOSTS_TABLE, name)!) as HostRecord;
			expect(fleet.hosts.find(host => host.name === name)!.host.isReady()).toBe(true);
			expect(incarnation).toMatch(/^run-[3-6]$/v);
		});
		fleet.stop();
	});
});

describe('a fleet that starts as a whole', () => {
	const names = ['d1', 'd2', 'd3'].flatMap(domain => Array.from({length: 6}, (_, index) => `${domain}/host-${index + 1}`));

	test('reads the store once for each failure domain', async () => {
		const fleet = createTestFleet(names, {seeds: ['d1/host-3', 'd2/host-6', 'gone']});
		let calls = 0;
		fleet.store.setFaults(() => {
			calls++;
			return undefined;
		});
		await advance(fleet.clock, 6000);
		expect(fleet.hosts.map(({host}) => host.isReady())).toEqual(names.map(() => true));
		// Six seconds of a leader's polls and refreshes, and its first reads; the other hosts add nothing to them.
		expect(calls).toBeLessThanOrEqual(3 * 35);
		fleet.stop();
	});

	test('is ready without any seed, by way of the list of hosts in the store', async () => {
		const fleet = createTestFleet(names, {seeds: ['gone']});
		await advance(fleet.clock, 6000);
		expect(fleet.hosts.map(({host}) => host.isReady())).toEqual(names.map(() => true));
		fleet.stop();
	});
});

describe('failure domains that reach each other', () => {
	const names = ['d1', 'd2', 'd3', 'd4'].flatMap(domain => [`${domain}/host-1`, `${domain}/host-2`]);

	test('have the store read by the leader of the first one', async () => {
		const fleet = createTestFleet(names);
		await advance(fleet.clock, 8000);
		const reads = new Map<string, number>();
		fleet.store.setFaults(({caller, kind}) => {
			if (kind === 'read') {
				reads.set(caller, (reads.get(caller) ?? 0) + 1);
			}

			return undefined;
		});
		await advance(fleet.clock, 10_000);
		// Three tables at the poll interval; the other leaders only read the list of hosts.
		expect(reads.get('d1/host-1')).toBeLessThanOrEqual(45);
		expect([...reads].filter(([name, count]) => name !== 'd1/host-1' && count > 1)).toEqual([]);
		fleet.stop();
	});

	test.each(['silent', 'unavailable'] as const)('keep each other verified while a store that is %s turns three of them away', async fault => {
		const fleet = createTestFleet(names);
		await advance(fleet.clock, 8000);
		fleet.store.setFaults(({caller}) => caller.startsWith('d3') ? undefined : fault);
		await advance(fleet.clock, 6000);
		const now = fleet.clock.readNow();
		const ages = fleet.hosts.map(({host}) => now - host.blackboard.read().contractsVerifiedAt);
		expect(Math.max(...ages)).toBeLessThan(4900);
		fleet.stop();
	});
});
