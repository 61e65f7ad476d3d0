import {describe, expect, test} from '@jest/globals';
import {advance} from '../support/steps.js';
import {createTestFleet} from '../support/test-fleet.js';

const HOSTS = ['domain-1/host-1', 'domain-1/host-2', 'domain-1/host-3', 'domain-2/host-1', 'domain-2/host-2', 'domain-2/host-3'];
/** Time between two reports of a host, in milliseconds. */
const REPORT_INTERVAL_MS = 1200;

function readDomain(host: string): string {
	return host.split('/')[0]!;
}

describe('an unavailable store', () => {
	test('is called less often during the outage, and hosts are ready soon after it ends', async () => {
		const fleet = createTestFleet(HOSTS);
		await advance(fleet.clock, 6000);
		let calls = 0;
		fleet.store.setFaults(() => {
			calls++;
			return 'unavailable';
		});
		const outageMs = 9000;
		await advance(fleet.clock, outageMs);
		const callsPerSecond = calls / HOSTS.length / (outageMs / 1000);
		expect(callsPerSecond).toBeLessThan(11);
		fleet.store.setFaults(() => undefined);
		await advance(fleet.clock, 1500);
		expect(fleet.hosts.map(({host}) => host.isReady())).toEqual(HOSTS.map(() => true));
		fleet.stop();
	});
});

describe('hosts of other failure domains', () => {
	test('stay known to hosts that leave reading the host list to their domain leader', async () => {
		const fleet = createTestFleet(HOSTS);
		await advance(fleet.clock, 4000);
		const readers = new Set<string>();
		fleet.store.setFaults(({caller, kind}) => {
			if (kind === 'read') {
				readers.add(caller);
			}

			return undefined;
		});
		await advance(fleet.clock, 40_000);
		expect(readers).toEqual(new Set(['domain-1/host-1', 'domain-2/host-1']));
		const now = fleet.clock.readNow();
		const {hosts, storeClockOffset} = fleet.hosts[2]!.host.blackboard.read();
		expect(hosts.size).toBe(HOSTS.length);
		expect([...hosts.values()].filter(({refreshedAt}) => now + storeClockOffset - refreshedAt > 20_000)).toEqual([]);
		fleet.stop();
	});
});

describe('usage reports between failure domains', () => {
	test('are sent from leader to leader, which relays them to its domain peers', async () => {
		const fleet = createTestFleet(HOSTS);
		await advance(fleet.clock, 6000);
		const since = fleet.clock.readNow();
		const periods = 5;
		await advance(fleet.clock, periods * REPORT_INTERVAL_MS);
		const reports = fleet.datagrams.filter(({at, text}) => at > since && text.includes('"isOfDomain":true'));
		const remote = reports.filter(({from, to}) => readDomain(from) !== readDomain(to));
		expect(new Set(remote.map(({from, to}) => `${from} ${to}`))).toEqual(new Set(['domain-1/host-1 domain-2/host-1', 'domain-2/host-1 domain-1/host-1']));
		expect(remote.length).toBeLessThanOrEqual(2 * (periods + 1));
		const relayed = reports.filter(({from, to}) => readDomain(from) === readDomain(to));
		expect(new Set(relayed.map(({to}) => to))).toEqual(new Set(HOSTS.filter(host => !host.endsWith('host-1'))));
		expect(relayed).toHaveLength(remote.length * 2);
		fleet.stop();
	});

	test('are sent to another host of a domain when its leader fails', async () => {
		const fleet = createTestFleet(HOSTS);
		await advance(fleet.clock, 6000);
		fleet.killHost('domain-2/host-1');
		await advance(fleet.clock, 5000);
		const since = fleet.clock.readNow();
		await advance(fleet.clock, 2 * REPORT_INTERVAL_MS);
		const remote = fleet.datagrams.filter(({from, to, at, text}) => at > since && text.includes('"isOfDomain":true') && readDomain(from) !== readDomain(to));
		expect(remote.map(({to}) => to)).toContain('domain-2/host-2');
		fleet.stop();
	});
});
