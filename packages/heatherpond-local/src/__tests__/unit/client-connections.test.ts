import {
	afterAll, beforeAll, describe, expect, test,
} from '@jest/globals';
import {createSystemClock} from 'heatherpond-core';
import pg from 'pg';
import {KRINGLOOP} from '../../deployment-plan.js';
import {startLocalDeployment, type LocalDeployment} from '../../local-deployment.js';

const stop = new AbortController();
let deployment: LocalDeployment;

beforeAll(async () => {
	deployment = await startLocalDeployment({
		plan: KRINGLOOP, hostsPerDomain: 1, clock: createSystemClock(), logLevel: 'silent', hostListLagMs: 0, signal: stop.signal,
	});
});

afterAll(() => {
	stop.abort();
});

/** Calls `run` with a client connection and closes the connection afterwards. */
async function useClient<Result>(host: number, login: {readonly user?: string; readonly password?: string; readonly database?: string}, run: (client: pg.Client) => Promise<Result>): Promise<Result> {
	const client = new pg.Client({
		host: '127.0.0.1', port: deployment.hosts[host]!.callerPort, user: 'durban', password: deployment.keys.get('durban'), database: 'bookings-jhb', ...login,
	});
	await client.connect();
	try {
		return await run(client);
	} finally {
		await client.end();
	}
}

describe('client connections through a local deployment', () => {
	test('a client that presents the session token of a write reads that write through every other host', async () => {
		const token = await useClient(0, {}, async client => {
			await client.query('CREATE TABLE items (id text PRIMARY KEY, value text)');
			await client.query('INSERT INTO items (id, value) VALUES ($1, $2)', ['circle', 'sold']);
			const result = await client.query<Record<string, string>>('SHOW heatherpond.session');
			return result.rows[0]!['heatherpond.session']!;
		});
		const values = await Promise.all([1, 2].map(async host => useClient(host, {}, async client => {
			await client.query(`SET heatherpond.session = '${token}'`);
			const result = await client.query<{value: string}>('SELECT value FROM items WHERE id = $1', ['circle']);
			return result.rows[0]?.value;
		})));
		expect(values).toEqual(['sold', 'sold']);
	});

	test.each([
		['a wrong key', {password: 'wrong'}, '28P01'],
		['no key', {password: ''}, '28P01'],
		['a key of another team', {user: 'gqeberha'}, '28P01'],
		['an unknown database', {database: 'nowhere'}, '3D000'],
	])('a login with %s is refused', async (_name, login, code) => {
		await expect(useClient(0, login, async () => undefined)).rejects.toMatchObject({code});
	});

	test('withdrawing a key closes the open connections that logged in with it', async () => {
		const client = new pg.Client({
			host: '127.0.0.1', port: deployment.hosts[1]!.callerPort, user: 'polokwane', password: deployment.keys.get('polokwane'), database: 'bookings-cpt',
		});
		await client.connect();
		const ended = new Promise(resolve => {
			client.on('error', resolve);
		});
		await deployment.appendChange({kind: 'keyWithdrawn', keyId: 'polokwane-1'});
		await expect(ended).resolves.toMatchObject({code: '28P01'});
		await client.end();
	});
});
