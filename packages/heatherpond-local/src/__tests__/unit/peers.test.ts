import {
	afterEach, beforeEach, describe, expect, jest, test,
} from '@jest/globals';
import {createSystemClock, readStampAge, waitUntil} from 'heatherpond-core';
import pg from 'pg';
import {KRINGLOOP, type DeploymentPlan} from '../../deployment-plan.js';
import {HOST_ADDRESS} from '../support/host-address.js';
import {startLocalDeployment, type LocalDeployment} from '../../local-deployment.js';
import type {LocalHost} from '../../local-host.js';

/** Keys stay valid without verification for longer than a test takes, even on a slow machine; key freshness is tested elsewhere. */
const PLAN: DeploymentPlan = {...KRINGLOOP, contracts: KRINGLOOP.contracts.map(contract => ({...contract, unverifiedKeySeconds: 120}))};
const WAIT_MS = 20_000;
jest.setTimeout(60_000);

const clock = createSystemClock();
let stop: AbortController;
let deployment: LocalDeployment;

beforeEach(async () => {
	stop = new AbortController();
	deployment = await startLocalDeployment({
		plan: PLAN, hostsPerDomain: 1, hostAddress: HOST_ADDRESS, clock, logLevel: 'silent', hostListLagMs: 0, hostListTtlMs: 2500, signal: stop.signal,
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

function readVersion(host: LocalHost): number {
	return host.blackboard.read().view.version;
}

/** Whether the host verified its view within the last 2 s. */
function isStampFresh(host: LocalHost): boolean {
	return readStampAge(host.blackboard.read().stamp, clock.readNow()) < 2000;
}

/** Whether a client of the team can connect through the host. */
async function isLoginAccepted(host: LocalHost, user: string): Promise<boolean> {
	const client = new pg.Client({
		host: HOST_ADDRESS, port: host.callerPort, user, password: deployment.keys.get(user), database: 'bookings-jhb',
	});
	client.on('error', () => undefined);
	try {
		await client.connect();
		await client.end();
		return true;
	} catch {
		return false;
	}
}

describe('changelog updates and registrations of hosts', () => {
	test('a domain partitioned from the platform only keeps a fresh stamp and receives new entries from peers', async () => {
		const [host] = deployment.hosts;
		deployment.platform.faults.partitionedDomains.add('jhb-a');
		const version = await deployment.appendChange({kind: 'keyWithdrawn', keyId: 'polokwane-1'});
		await waitFor(() => readVersion(host!) >= version && isStampFresh(host!));
		expect(Object.values(host!.blackboard.read().view.keys).filter(key => key.isWithdrawn).map(key => key.team)).toEqual(['polokwane']);
	});

	test('a domain partitioned from platform and peers catches up after the partition heals', async () => {
		const [host, other] = deployment.hosts;
		deployment.platform.faults.partitionedDomains.add('jhb-a');
		deployment.peerFaults.partitionedDomains.add('jhb-a');
		const version = await deployment.appendChange({kind: 'keyWithdrawn', keyId: 'polokwane-1'});
		await waitFor(() => readVersion(other!) >= version);
		await waitFor(() => !isStampFresh(host!));
		expect(readVersion(host!)).toBeLessThan(version);
		deployment.platform.faults.partitionedDomains.clear();
		deployment.peerFaults.partitionedDomains.clear();
		await waitFor(() => readVersion(host!) >= version && isStampFresh(host!));
		expect(readVersion(host!)).toBeGreaterThanOrEqual(version);
	});

	test('an accepted change stays in force while the platform is down and all hosts are restarted one after the other', async () => {
		const version = await deployment.appendChange({kind: 'keyWithdrawn', keyId: 'polokwane-1'});
		await deployment.waitForVersion(version);
		deployment.platform.faults.isDown = true;
		const addresses = deployment.hosts.map(host => host.identity.peerAddress);
		const restarted: LocalHost[] = [];
		for (const host of deployment.hosts) {
			host.kill();
			restarted.push(await host.restart(addresses));
		}

		expect(restarted.map(host => readVersion(host) >= version)).toEqual([true, true, true]);
		expect(restarted.flatMap(host => Object.values(host.blackboard.read().view.keys).filter(key => key.isWithdrawn).map(key => key.team))).toEqual(['polokwane', 'polokwane', 'polokwane']);
		await expect(Promise.all(['polokwane', 'durban'].map(async team => isLoginAccepted(restarted[0]!, team)))).resolves.toEqual([false, true]);
	});

	test('the registration of a killed host is removed, and the host registers a new incarnation after its restart', async () => {
		const [host, other] = deployment.hosts;
		host!.kill();
		await waitFor(() => other!.blackboard.read().view.hosts['jhb-a-1'] === undefined);
		const restartedHost = await host!.restart([]);
		await waitFor(() => other!.blackboard.read().view.hosts['jhb-a-1']?.incarnation === restartedHost.identity.incarnation);
		expect(restartedHost.identity.incarnation).not.toBe(host!.identity.incarnation);
	});

	test('a running host whose registration was removed registers again with the same incarnation', async () => {
		const [host] = deployment.hosts;
		const {host: name, incarnation} = host!.identity;
		const version = await deployment.appendChange({kind: 'hostRemoved', host: name, incarnation});
		await waitFor(() => (host!.blackboard.read().view.hosts[name]?.version ?? 0) > version);
		expect(host!.blackboard.read().view.hosts[name]!.incarnation).toBe(incarnation);
	});
});
