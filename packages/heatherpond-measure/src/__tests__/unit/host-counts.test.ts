import {expect, test} from '@jest/globals';
import {
	startQuietFleet, type HostCounts, type QuietFleetOptions,
} from '../../host-bench/quiet-fleet.js';

const SETTLED_MS = 10_000;
const COUNTED_MS = 4000;
const SMALL = {hosts: 24, domains: 6};
const LARGE = {hosts: 96, domains: 6};

type Rates = {readonly middle: number; readonly busiest: number};

/** Counts what the hosts of a fleet do in a second. */
async function countPerSecond(size: Pick<QuietFleetOptions, 'hosts' | 'domains'>): Promise<(count: keyof HostCounts) => Rates> {
	const fleet = startQuietFleet({
		...size, groups: 6, teams: 75, maxConnections: 1000,
	});
	await fleet.advance(SETTLED_MS);
	const before = fleet.readCounts();
	await fleet.advance(COUNTED_MS);
	const after = fleet.readCounts();
	fleet.stop();
	return count => {
		const rates = after.map((counts, index) => (counts[count] - before[index]![count]) * 1000 / COUNTED_MS).toSorted((left, right) => left - right);
		return {middle: rates[Math.floor(rates.length / 2)]!, busiest: rates.at(-1)!};
	};
}

test('a host costs the same in a fleet four times as large, and its leader no more for each host', async () => {
	const small = await countPerSecond(SMALL);
	const large = await countPerSecond(LARGE);
	// One poll and one digest in each interval of 800 ms, and requests for operations of teams.
	expect(large('datagrams').middle).toBeLessThanOrEqual(small('datagrams').middle * 1.1);
	expect(large('timers').middle).toBeLessThanOrEqual(small('timers').middle * 1.1);
	expect(large('bytes').middle).toBeLessThanOrEqual(small('bytes').middle * 1.1);
	expect(large('storeCalls').busiest).toBeLessThanOrEqual(small('storeCalls').busiest * 1.1);
	expect(large('bytes').busiest / LARGE.hosts).toBeLessThanOrEqual(small('bytes').busiest / SMALL.hosts);
});

test('a host spends at most 4 KB a second for control in a fleet of 96', async () => {
	const large = await countPerSecond(LARGE);
	expect(large('bytes').middle).toBeLessThanOrEqual(4000);
});
