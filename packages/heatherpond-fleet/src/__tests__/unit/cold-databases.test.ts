import {
	afterEach, describe, expect, test,
} from '@jest/globals';
import {advance} from '../support/steps.js';
import {
	CONTRACTS_TABLE, createTestFleet, WARM_UP_MS, type TestFleet, type TestHost,
} from '../support/test-fleet.js';

const STARTUP_MS = 2000;
const DOMAINS = ['domain-1', 'domain-2', 'domain-3'];
const HOSTS = DOMAINS.flatMap(domain => [1, 2, 3].map(index => `${domain}/host-${index}`));
const COLD_PER_SECOND = 20;
/** What the operator allows in any second, over all hosts. */
const MAX_PER_SECOND = (COLD_PER_SECOND * 1.5) + 5;
/** Milliseconds between two statements that a host would send to the cold database. */
const PRESSURE_INTERVAL_MS = 25;
let fleet: TestFleet;

afterEach(() => {
	fleet.stop();
});

async function startFleet(): Promise<void> {
	fleet = createTestFleet(HOSTS, {databaseDomains: DOMAINS, coldPerSecond: COLD_PER_SECOND});
	await advance(fleet.clock, STARTUP_MS);
}

function findBudget({host}: TestHost): (() => Promise<number>) | undefined {
	return host.sessions.upstreams.findBudget('db-2');
}

/** Lets all hosts press for a database, and returns when they were admitted to it: with its budget, or without any. */
async function runPressure(milliseconds: number): Promise<readonly number[]> {
	const admitted: number[] = [];
	let nextAt = fleet.clock.readNow();
	async function runStatement(host: TestHost): Promise<void> {
		const retryAfterMs = await findBudget(host)?.();
		if ((retryAfterMs ?? 0) === 0) {
			admitted.push(fleet.clock.readNow());
		}
	}

	await advance(fleet.clock, milliseconds, () => {
		if (fleet.clock.readNow() >= nextAt) {
			nextAt += PRESSURE_INTERVAL_MS;
			fleet.hosts.filter(({isKilled}) => !isKilled).forEach(host => {
				void runStatement(host);
			});
		}
	});
	return admitted;
}

function countMostInOneSecond(times: readonly number[]): number {
	return Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + 1000).length));
}

function writeWarmingUp(isWarmingUp: boolean): void {
	const {upstream} = fleet.databases.get('db-2')!;
	fleet.store.writeRow('registrations', 'db-2', JSON.stringify({...upstream, isWarmingUp}));
}

describe('a cold database', () => {
	test('gets no more than its budget from all hosts together, and most of it', async () => {
		await startFleet();
		writeWarmingUp(true);
		await advance(fleet.clock, 4000);
		const admitted = await runPressure(6000);
		expect(countMostInOneSecond(admitted)).toBeLessThanOrEqual(MAX_PER_SECOND);
		expect(admitted.length).toBeGreaterThan(COLD_PER_SECOND * 6 * 0.5);
	});

	test('gets no more while leaders die, hosts restart and a domain is cut off', async () => {
		await startFleet();
		writeWarmingUp(true);
		await advance(fleet.clock, 4000);
		const first = await runPressure(1500);
		fleet.killHost('domain-1/host-1');
		const second = await runPressure(1500);
		fleet.startHost('domain-1/host-1', 'domain-1');
		fleet.killHost('domain-2/host-1');
		const third = await runPressure(2500);
		fleet.hosts.filter(({name}) => name.startsWith('domain-3')).forEach(host => {
			host.isIsolated = true;
		});
		const fourth = await runPressure(4000);
		expect(countMostInOneSecond([...first, ...second, ...third, ...fourth])).toBeLessThanOrEqual(MAX_PER_SECOND);
	});

	test('has a budget for a while after the evacuation of its failure domain, and none afterwards', async () => {
		await startFleet();
		fleet.store.writeRow(CONTRACTS_TABLE, 'evacuate/domain-2', '{}');
		await advance(fleet.clock, 4000);
		fleet.store.writeRow(CONTRACTS_TABLE, 'evacuate/domain-2', undefined);
		await advance(fleet.clock, 3000);
		expect(fleet.hosts.every(host => findBudget(host) !== undefined)).toBe(true);
		await advance(fleet.clock, WARM_UP_MS);
		expect(fleet.hosts.every(host => findBudget(host) === undefined)).toBe(true);
	});

	test.each([
		['one host', ['domain-1/host-2']],
		['all hosts', HOSTS],
	])('keeps its budget when %s restart right after the evacuation', async (_name, restarted) => {
		await startFleet();
		fleet.store.writeRow(CONTRACTS_TABLE, 'evacuate/domain-2', '{}');
		await advance(fleet.clock, 4000);
		fleet.store.writeRow(CONTRACTS_TABLE, 'evacuate/domain-2', undefined);
		await advance(fleet.clock, 1200);
		restarted.forEach(fleet.killHost);
		restarted.forEach(name => {
			fleet.startHost(name, name.split('/')[0]);
		});
		await advance(fleet.clock, 1500);
		const running = fleet.hosts.filter(({isKilled}) => !isKilled);
		expect(running.map(host => findBudget(host) !== undefined)).toEqual(HOSTS.map(() => true));
		await advance(fleet.clock, WARM_UP_MS);
		expect(running.map(host => findBudget(host) !== undefined)).toEqual(HOSTS.map(() => false));
	});

	test('has a budget on a host that starts before the end of the evacuation is recorded', async () => {
		await startFleet();
		fleet.store.writeRow(CONTRACTS_TABLE, 'evacuate/domain-2', '{}');
		await advance(fleet.clock, 4000);
		fleet.store.setFaults(({kind}) => kind === 'write' ? 'unavailable' : undefined);
		fleet.store.writeRow(CONTRACTS_TABLE, 'evacuate/domain-2', undefined);
		await advance(fleet.clock, 500);
		fleet.killHost('domain-1/host-2');
		const started = fleet.startHost('domain-1/host-2', 'domain-1');
		await advance(fleet.clock, 1500);
		expect(findBudget(started)).toBeDefined();
	});

	test('has no budget where the operator states none', async () => {
		fleet = createTestFleet(HOSTS, {databaseDomains: DOMAINS});
		await advance(fleet.clock, STARTUP_MS);
		writeWarmingUp(true);
		await advance(fleet.clock, 3000);
		expect(fleet.hosts.every(host => findBudget(host) === undefined)).toBe(true);
	});
});
