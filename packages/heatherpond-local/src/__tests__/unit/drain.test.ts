import {
	afterAll, beforeAll, expect, test,
} from '@jest/globals';
import {createSystemClock} from 'heatherpond-core';
import pg from 'pg';
import {KRINGLOOP} from '../../deployment-plan.js';
import {startLocalDeployment, type LocalDeployment} from '../../local-deployment.js';

const clock = createSystemClock();
const stop = new AbortController();
let deployment: LocalDeployment;

beforeAll(async () => {
	deployment = await startLocalDeployment({
		plan: KRINGLOOP, hostsPerDomain: 1, clock, logLevel: 'silent', hostListLagMs: 0, signal: stop.signal,
	});
});

afterAll(() => {
	stop.abort();
});

async function openClient(host: number): Promise<pg.Client> {
	const client = new pg.Client({
		host: '127.0.0.1', port: deployment.hosts[host]!.callerPort, user: 'durban', password: deployment.keys.get('durban'), database: 'bookings-jhb',
	});
	client.on('error', () => undefined);
	await client.connect();
	return client;
}

test('a draining host finishes open transactions, closes idle connections, refuses new ones, and then stops', async () => {
	const host = deployment.hosts[0]!;
	const [busy, idle] = await Promise.all([openClient(0), openClient(0)]);
	await busy.query('CREATE TABLE items (id text PRIMARY KEY, value text)');
	await busy.query('BEGIN');
	await busy.query('INSERT INTO items VALUES (\'a\', \'kept\')');
	const idleEnd = new Promise(resolve => {
		idle.once('error', resolve);
	});
	const drained = host.drain(clock.readNow() + 10_000);
	await expect(idleEnd).resolves.toMatchObject({code: '57P01'});
	await expect(openClient(0)).rejects.toThrow();
	expect(host.blackboard.read().phase).toBe('draining');
	await busy.query('COMMIT');
	await drained;
	expect(host.blackboard.read().phase).toBe('stopped');
	const primary = deployment.databases.find(({group, member}) => group.name === 'sponsorship-jhb' && member.domain === 'jhb-a')!;
	expect(primary.database.store.findTable('items')!.rows.get('a')).toMatchObject({value: 'kept'});
});

test('a draining host closes the connection of a transaction that is still open at the deadline', async () => {
	const host = deployment.hosts[1]!;
	const busy = await openClient(1);
	await busy.query('BEGIN');
	const closed = new Promise(resolve => {
		busy.once('end', resolve);
	});
	await host.drain(clock.readNow() + 100);
	await closed;
	expect(host.blackboard.read().phase).toBe('stopped');
});
