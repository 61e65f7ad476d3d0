import {
	afterEach, beforeEach, describe, expect, test,
} from '@jest/globals';
import {serialize} from 'pg-protocol';
import type pg from 'pg';
import {MAX_CONNECTION_STATEMENTS} from '../../request-encoding.js';
import {startTestGroup, waitFor, type TestGroup} from '../support/test-group.js';
import {openWireClient} from '../support/wire-client.js';

let fixture: TestGroup;

beforeEach(async () => {
	fixture = await startTestGroup({maxConnections: 2});
	const client = await fixture.openClient();
	await client.query('CREATE TABLE t (id text PRIMARY KEY, value text)');
	await client.end();
});

afterEach(async () => {
	await fixture.stop();
});

async function insertRow(client: pg.Client, id: string): Promise<void> {
	await client.query({name: 'put', text: 'INSERT INTO t (id, value) VALUES ($1, $2)', values: [id, 'v']});
}

describe('prepared statements under transaction pooling', () => {
	test('a named statement works on every upstream connection', async () => {
		const clients = await Promise.all(Array.from({length: 6}, async () => fixture.openClient()));
		await Promise.all(clients.flatMap((client, index) => [0, 1, 2, 3].map(async round => insertRow(client, `${index}-${round}`))));
		expect(fixture.countRows('t')).toBe(24);
		expect(fixture.pools.countOpen()).toBeLessThanOrEqual(6);
	});

	test('sessions can use the same name for different statements', async () => {
		const [left, right] = await Promise.all([fixture.openClient(), fixture.openClient()]);
		const one = await left.query({name: 'q', text: 'SELECT 1 AS x'});
		const two = await right.query({name: 'q', text: 'SELECT 2 AS y'});
		const again = await left.query({name: 'q', text: 'SELECT 1 AS x'});
		expect([one.fields[0]!.name, two.fields[0]!.name, again.fields[0]!.name]).toEqual(['x', 'y', 'x']);
	});

	test('executing a named write that an earlier request prepared goes to the primary', async () => {
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.parse({name: 'w', text: 'INSERT INTO t (id, value) VALUES ($1, $2)'}), serialize.sync());
		expect(await client.waitForReady()).toBe('1Z');
		client.send(serialize.bind({statement: 'w', values: ['k', 'v']}), serialize.execute(), serialize.sync());
		expect(await client.waitForReady()).toBe('S2CZ');
		expect(client.readErrors()).toEqual([]);
		expect(fixture.countRows('t')).toBe(1);
	});

	test('the unnamed statement can be used by later requests', async () => {
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.parse({text: 'SELECT 7 AS seven'}), serialize.sync());
		await client.waitForReady();
		const other = await fixture.openClient();
		await other.query('SELECT $1', ['x']);
		client.send(serialize.bind({}), serialize.describe({type: 'P'}), serialize.execute(), serialize.sync());
		expect(await client.waitForReady()).toBe('2TDCZ');
	});

	test('a name that was never prepared or has been closed is refused', async () => {
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.bind({statement: 'none'}), serialize.execute(), serialize.sync());
		expect(await client.waitForReady()).toBe('EZ');
		client.send(serialize.parse({name: 'n', text: 'SELECT 1'}), serialize.close({type: 'S', name: 'n'}), serialize.sync());
		expect(await client.waitForReady()).toBe('13Z');
		client.send(serialize.describe({type: 'S', name: 'n'}), serialize.sync());
		expect(await client.waitForReady()).toBe('EZ');
		expect(client.readErrors()).toEqual(['26000', '26000']);
	});

	test('a name cannot be prepared twice', async () => {
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.parse({name: 'n', text: 'SELECT 1'}), serialize.sync());
		await client.waitForReady();
		client.send(serialize.parse({name: 'n', text: 'SELECT 2'}), serialize.sync());
		expect(await client.waitForReady()).toBe('EZ');
		expect(client.readErrors()).toEqual(['42P05']);
	});

	test('messages after an error are skipped up to Sync, and the name of the failed statement stays free', async () => {
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.parse({name: 'bad', text: 'SELEC 1'}), serialize.bind({statement: 'bad'}), serialize.execute(), serialize.sync());
		expect(await client.waitForReady()).toBe('EZ');
		client.send(serialize.parse({name: 'bad', text: 'SELECT 1'}), serialize.sync());
		expect(await client.waitForReady()).toBe('1Z');
	});

	test('Flush returns the responses so far, and the connection is held until Sync', async () => {
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.parse({text: 'INSERT INTO t (id, value) VALUES ($1, $2)'}), serialize.describe({type: 'S'}), serialize.flush());
		expect(await client.waitForMessages(3)).toBe('1tn');
		client.send(serialize.bind({values: ['f', 'v']}), serialize.execute(), serialize.sync());
		expect(await client.waitForReady()).toMatch(/2.*C.*Z/v);
		expect(fixture.countRows('t')).toBe(1);
	});

	test('after an error in a request that ends in Flush, all messages are skipped up to Sync', async () => {
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.parse({text: 'SELECT * FROM missing'}), serialize.bind({}), serialize.execute(), serialize.flush());
		expect(await client.waitForMessages(3)).toBe('12E');
		client.send(serialize.execute(), serialize.flush(), serialize.sync());
		expect(await client.waitForReady()).toBe('Z');
		client.send(serialize.query('SELECT 1'));
		expect(await client.waitForReady()).toBe('TDCZ');
	});

	test('a portal can be executed until its transaction ends', async () => {
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.query('BEGIN'));
		await client.waitForReady();
		client.send(serialize.parse({name: 'p', text: 'SELECT 1 AS a'}), serialize.bind({portal: 'c', statement: 'p'}), serialize.sync());
		expect(await client.waitForReady()).toBe('12Z');
		client.send(serialize.execute({portal: 'c'}), serialize.sync());
		expect(await client.waitForReady()).toBe('DCZ');
		client.send(serialize.query('COMMIT'));
		await client.waitForReady();
		client.send(serialize.execute({portal: 'c'}), serialize.sync());
		await client.waitForReady();
		expect(client.readErrors()).toEqual(['34000']);
	});

	test('a session cannot prepare statements beyond its size limit', async () => {
		const client = await openWireClient(await fixture.openSocket());
		const text = `SELECT ${' '.repeat(300_000)} 1`;
		Array.from({length: 4}, (_value, index) => index).forEach(index => {
			client.send(serialize.parse({name: `s${index}`, text: text + String(index)}), serialize.sync());
		});
		await waitFor(() => client.frames.filter(frame => String.fromCodePoint(frame.type) === 'Z').length === 5, 'all responses');
		expect(client.readErrors()).toEqual(['53400']);
	});

	test('statements that were closed on a full upstream connection remain usable for the session', async () => {
		fixture.updateGroup(group => ({...group, settings: {...group.settings, members: group.settings.members.slice(0, 1)}}));
		const client = await openWireClient(await fixture.openSocket());
		const names = Array.from({length: MAX_CONNECTION_STATEMENTS + 20}, (_value, index) => `s${index}`);
		for (const name of [...names, names[0]!]) {
			client.send(...(name === names[0] && client.frames.length > names.length ? [] : [serialize.parse({name, text: `SELECT 1 AS ${name}`})]));
			client.send(serialize.bind({statement: name}), serialize.execute(), serialize.sync());
			expect(await client.waitForReady()).toMatch(/^1?2DCZ$/v);
		}

		const loan = await fixture.pools.acquire('g', fixture.members[0]!, {deadline: Number.MAX_SAFE_INTEGER, signal: new AbortController().signal});
		expect(loan.connection.statements.countNames()).toBeLessThanOrEqual(MAX_CONNECTION_STATEMENTS + 1);
		loan.release(true);
	});

	test('proxy settings can be set, shown and reset with the extended query protocol', async () => {
		const client = await fixture.openClient();
		await client.query({text: 'SET heatherpond.max_staleness = \'5s\'', values: []});
		const result = await client.query<Record<string, string>>({name: 'show', text: 'SHOW heatherpond.max_staleness'});
		expect(result.rows).toEqual([{'heatherpond.max_staleness': '5000ms'}]);
		await client.query('RESET heatherpond.max_staleness');
		const reset = await client.query<Record<string, string>>({name: 'show', text: 'SHOW heatherpond.max_staleness'});
		expect(reset.rows).toEqual([{'heatherpond.max_staleness': '0ms'}]);
	});
});
