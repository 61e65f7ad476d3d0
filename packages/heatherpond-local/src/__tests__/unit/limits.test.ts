import {
	afterEach, beforeEach, describe, expect, jest, test,
} from '@jest/globals';
import {
	contractSchema, createSystemClock, waitUntil, type Contract,
} from 'heatherpond-core';
import pg from 'pg';
import {KRINGLOOP} from '../../deployment-plan.js';
import {HOST_ADDRESS} from '../support/host-address.js';
import {startLocalDeployment, type LocalDeployment} from '../../local-deployment.js';

jest.setTimeout(60_000);

const WAIT_MS = 20_000;
const CONTRACT: Contract = contractSchema.parse({
	team: 'durban', rate: 40, burst: 20, routes: ['bookings-jhb'],
});
const clock = createSystemClock();
let stop: AbortController;
let deployment: LocalDeployment;
/** Instants at which any host admitted a request. */
let admittedAt: number[];

beforeEach(async () => {
	stop = new AbortController();
	admittedAt = [];
	deployment = await startLocalDeployment({
		plan: {...KRINGLOOP, contracts: [CONTRACT]},
		hostsPerDomain: 1,
		clock,
		hostAddress: HOST_ADDRESS,
		logLevel: 'silent',
		hostListLagMs: 0,
		wrapLogger: (_host, logger) => ({
			...logger,
			isEnabled: () => true,
			debug(event) {
				if (event === 'requestAdmitted') {
					admittedAt.push(clock.readNow());
				}
			},
		}),
		signal: stop.signal,
	});
});

afterEach(() => {
	stop.abort();
});

async function waitFor(isMet: () => boolean): Promise<void> {
	const deadline = clock.readNow() + WAIT_MS;
	while (!isMet()) {
		if (clock.readNow() > deadline) {
			throw new Error('timed out waiting for the state that the test expects');
		}

		await waitUntil(clock, clock.readNow() + 10, stop.signal);
	}
}

async function openClient(index: number): Promise<pg.Client> {
	const client = new pg.Client({
		host: HOST_ADDRESS, port: deployment.hosts[index]!.callerPort, user: 'durban', password: deployment.keys.get('durban'), database: 'bookings-jhb',
	});
	client.on('error', () => undefined);
	await client.connect();
	return client;
}

/** Sends requests through one host at once, each on a connection of its own; returns `answered` or the SQLSTATE of each. */
async function sendRequests(index: number, count: number): Promise<string[]> {
	const clients = await Promise.all(Array.from({length: count}, async () => openClient(index)));
	const outcomes = await Promise.all(clients.map(async client => client.query('SELECT 1').then(() => 'answered', (error: unknown) => (error as {code: string}).code)));
	await Promise.all(clients.map(async client => client.end()));
	return outcomes;
}

/** Computes by how many requests the busiest interval exceeded the rate and burst of a contract. */
function readExcess(contract: Contract): number {
	return Math.max(0, ...admittedAt.map((first, index) => Math.max(...admittedAt.slice(index).map((last, offset) => offset + 1 - contract.burst - ((last - first) / 1000 * contract.rate)))));
}

describe('rate limits shared by several hosts', () => {
	test('three hosts together admit no more than the contract\'s rate and burst, and refuse all other requests as over the rate', async () => {
		const outcomes = await Promise.all([0, 1, 2].map(async index => sendRequests(index, 50)));
		expect(readExcess(CONTRACT)).toBeLessThanOrEqual(0.01);
		expect(new Set(outcomes.flat())).toEqual(new Set(['answered', 'HP006']));
		expect(outcomes.flat().filter(outcome => outcome === 'answered')).toHaveLength(admittedAt.length);
	});

	test('a busy host uses more than its own share while the others are idle', async () => {
		await waitUntil(clock, clock.readNow() + 600, stop.signal);
		await sendRequests(0, 20);
		const share = CONTRACT.burst / deployment.hosts.length;
		expect(admittedAt.length).toBeGreaterThan(share + 1);
		expect(readExcess(CONTRACT)).toBeLessThanOrEqual(0.01);
	});

	test('a contract with a lowered rate is enforced across all hosts once they have applied it', async () => {
		const lowered = {...CONTRACT, rate: 5, burst: 3};
		await sendRequests(0, 5);
		const version = await deployment.appendChange({kind: 'contractApplied', contract: lowered});
		await deployment.waitForVersion(version);
		admittedAt = [];
		await Promise.all([0, 1, 2].map(async index => sendRequests(index, 10)));
		expect(readExcess(lowered)).toBeLessThanOrEqual(0.01);
	});

	test('a draining host removes its own registration, so that other hosts take over its share without waiting', async () => {
		const [host, other] = deployment.hosts;
		await host!.drain(clock.readNow() + 1000);
		await waitFor(() => other!.blackboard.read().view.hosts[host!.identity.host] === undefined);
		expect(other!.blackboard.read().view.removedHosts).toEqual({});
		expect(host!.blackboard.read().phase).toBe('stopped');
	});

	test('a previously idle domain that is partitioned from platform and peers still serves its share', async () => {
		deployment.platform.faults.partitionedDomains.add('dbn-a');
		deployment.peerFaults.partitionedDomains.add('dbn-a');
		await waitUntil(clock, clock.readNow() + 500, stop.signal);
		const outcomes = await sendRequests(2, 3);
		expect(outcomes).toContain('answered');
	});

	test('a host restarted at its address while the platform is down serves requests again, within the contract', async () => {
		deployment.platform.faults.isDown = true;
		const addresses = deployment.hosts.map(host => host.identity.peerAddress);
		deployment.hosts[0]!.kill();
		await deployment.hosts[0]!.restart(addresses);
		await waitUntil(clock, clock.readNow() + 200, stop.signal);
		let outcomes: string[] = [];
		const deadline = clock.readNow() + WAIT_MS;
		while (!outcomes.includes('answered') && clock.readNow() < deadline) {
			outcomes = await sendRequests(0, 1);
		}

		expect(outcomes).toEqual(['answered']);
		expect(readExcess(CONTRACT)).toBeLessThanOrEqual(0.01);
	});
});
