import {createHash} from 'node:crypto';
import {
	afterAll, afterEach, beforeEach, describe, expect, test,
} from '@jest/globals';
import {openAdminConnection, type AdminConnection} from 'heatherpond-admin';
import {proxySettingsSchema} from 'heatherpond-config';
import {createSystemClock, waitUntil, type Change} from 'heatherpond-core';
import {createLogger} from 'heatherpond-observe';
import {openPlatform} from 'heatherpond-changelog';
import {startProxyHost, type ProxyHost} from 'heatherpond-proxy';
import {startPlatformStandin, type PlatformStandin} from 'heatherpond-standin';

type RunningHost = {readonly host: ProxyHost; readonly stop: AbortController};

const DOMAINS = ['jhb-a', 'cpt-a', 'dbn-a'];
const clock = createSystemClock();
let stopAll: AbortController;
let platform: PlatformStandin;
const logLines: string[] = [];

beforeEach(async () => {
	stopAll = new AbortController();
	platform = await startPlatformStandin({
		listen: '127.0.0.1:0', clock, hostListLagMs: 0, signal: stopAll.signal,
	});
});

afterEach(() => {
	stopAll.abort();
});

afterAll(() => {
	logLines.length = 0;
});

/** Starts a host that stops with the test, or earlier by its own controller. */
async function startHost(domain: string, settings: object = {}): Promise<RunningHost> {
	const stop = new AbortController();
	stopAll.signal.addEventListener('abort', () => {
		stop.abort();
	}, {once: true});
	const host = await startProxyHost({
		settings: proxySettingsSchema.parse({
			deployment: 'test',
			host: `${domain}-1`,
			domain,
			listen: '127.0.0.1:0',
			peerListen: '127.0.0.1:0',
			platform: platform.address,
			logLevel: 'error',
			database: {user: 'a', password: 'a'},
			control: {user: 'b', password: 'b'},
			...settings,
		}),
		clock,
		logger: createLogger({
			host: domain, domain, level: 'error', writeLine(line) {
				logLines.push(line);
			},
		}),
		signal: stop.signal,
	});
	return {host, stop};
}

function openAdmin({host}: RunningHost, token?: string): AdminConnection {
	const connection = openAdminConnection({address: host.identity.peerAddress, token, clock});
	stopAll.signal.addEventListener('abort', () => {
		connection.close();
	}, {once: true});
	return connection;
}

function createOptions(milliseconds = 5000) {
	return {deadline: clock.readNow() + milliseconds, signal: stopAll.signal};
}

/** Submits a change to a host as an operator. */
async function submit(running: RunningHost, operationId: string, change: Change, basedOn = 0) {
	return openAdmin(running).submitChange({
		operationId, author: 'nomsa', change: JSON.stringify(change), basedOn,
	}, createOptions(15_000));
}

async function waitFor(condition: () => boolean): Promise<void> {
	const deadline = clock.readNow() + 8000;
	while (!condition() && clock.readNow() < deadline) {
		await waitUntil(clock, clock.readNow() + 5, stopAll.signal);
	}

	expect(condition()).toBe(true);
}

const GROUP: Change = {
	kind: 'groupApplied',
	group: {
		name: 'bookings',
		durability: 'contract',
		members: [{
			name: 'one', host: '127.0.0.1', port: 1, domain: 'jhb-a', slots: 3, connections: 20,
		}],
	},
};

function hasGroup({host}: RunningHost): boolean {
	return host.blackboard.read().view.groups.bookings !== undefined;
}

describe('an accepted configuration change', () => {
	test('stays in force while the platform is down and while every host is replaced', async () => {
		const hosts = await Promise.all(DOMAINS.map(async name => startHost(name)));
		const reply = await submit(hosts[0]!, 'one', GROUP);
		expect(reply.accepted).toBe(true);
		await waitFor(() => hosts.every(running => hasGroup(running)));
		platform.faults.isDown = true;
		const downAt = clock.readNow();
		await waitFor(() => clock.readNow() > downAt + 300 && hosts.every(({host}) => host.blackboard.read().stamp.verifiedAt < downAt));
		expect(hosts.map(running => hasGroup(running))).toEqual([true, true, true]);
		platform.faults.isDown = false;
		for (const [index, running] of hosts.entries()) {
			running.stop.abort();
			hosts[index] = await startHost(DOMAINS[index]!);
			expect(hosts.map(current => hasGroup(current))).toEqual([true, true, true]);
		}

		expect(hosts.every(({host}) => host.blackboard.read().view.version >= reply.version)).toBe(true);
	});

	test('is reported with its version on a retry after a lost response, and is appended to the log once', async () => {
		const running = await startHost('jhb-a');
		platform.faults.lostResponses.set('commit', 1);
		const first = await submit(running, 'one', GROUP);
		const second = await submit(running, 'one', GROUP);
		expect(second).toEqual(first);
		const {entries} = await openAdmin(running).readHistory({subject: 'group bookings', after: 0}, createOptions());
		expect(entries).toHaveLength(1);
	});

	test('is reported with the same version when the operation is retried through another host after the first one stopped', async () => {
		const hosts = await Promise.all(DOMAINS.map(async name => startHost(name)));
		const first = await submit(hosts[0]!, 'one', GROUP);
		hosts[0]!.stop.abort();
		expect(await submit(hosts[1]!, 'one', GROUP)).toEqual(first);
	});

	test('reaches a new host from a snapshot and the log tail, and a missing snapshot object is logged', async () => {
		const first = await startHost('jhb-a');
		await submit(first, 'one', GROUP);
		const {view} = first.host.blackboard.read();
		const port = openPlatform({
			address: platform.address, domain: 'jhb-a', clock, signal: stopAll.signal,
		});
		await port.writeSnapshot(view, createOptions());
		const second = await startHost('cpt-a');
		expect(hasGroup(second)).toBe(true);
		platform.objects.clear();
		expect(hasGroup(await startHost('dbn-a'))).toBe(true);
		expect(logLines.some(line => line.includes('platformUnreadable') && line.includes('missing'))).toBe(true);
	});
});

describe('rejected configuration requests', () => {
	test('a change submitted while the platform is down fails as unavailable, which leaves its outcome unknown', async () => {
		const running = await startHost('jhb-a');
		platform.faults.isDown = true;
		await expect(submit(running, 'one', GROUP)).rejects.toMatchObject({code: 'unavailable'});
	}, 15_000);

	test.each<[string, Change, string]>([
		['a route of an unknown group', {
			kind: 'routeApplied', route: {
				name: 'r', group: 'none', open: false, maxStalenessMs: 0,
			},
		}, 'unknown group "none"'],
		['a change that only hosts make', {
			kind: 'promotionEnded', group: 'bookings', term: 2, primary: 'one', start: 0n,
		}, 'only hosts make'],
	])('%s is refused and appends nothing to the log', async (_name, change, message) => {
		const running = await startHost('jhb-a');
		const before = running.host.blackboard.read().view.version;
		const text = JSON.stringify(change, (_key, value: unknown) => typeof value === 'bigint' ? String(value) : value);
		const refusal = openAdmin(running).submitChange({
			operationId: 'one', author: 'nomsa', change: text, basedOn: 0,
		}, createOptions());
		await expect(refusal).rejects.toMatchObject({code: 'refused', reason: expect.stringContaining(message)});
		const page = await openAdmin(running).readHistory({subject: '', after: before}, createOptions());
		expect(page.entries).toEqual([]);
	});

	test.each(['{', '{"kind":"unheardOf"}', '{"kind":"keyWithdrawn","keyId":"a","more":1}'])('the change %s is rejected as invalid', async change => {
		const running = await startHost('jhb-a');
		await expect(openAdmin(running).submitChange({
			operationId: 'one', author: 'nomsa', change, basedOn: 0,
		}, createOptions())).rejects.toMatchObject({code: 'invalid'});
	});

	test('a host with an operator token hash rejects requests with a missing or wrong token', async () => {
		const running = await startHost('jhb-a', {operatorTokenHash: createHash('sha256').update('token').digest('hex')});
		await expect(openAdmin(running).readStatus(createOptions())).rejects.toMatchObject({code: 'unauthenticated', reason: expect.stringContaining('missing')});
		await expect(openAdmin(running, 'guess').readStatus(createOptions())).rejects.toMatchObject({code: 'unauthenticated', reason: expect.stringContaining('wrong')});
		await expect(openAdmin(running, 'token').readStatus(createOptions())).resolves.toMatchObject({host: 'jhb-a-1'});
	});
});
