import {
	afterEach, beforeEach, describe, expect, test,
} from '@jest/globals';
import type pg from 'pg';
import {serialize} from 'pg-protocol';
import {startObservedGroup, type ObservedGroup} from '../support/observed-group.js';
import {openWireClient} from '../support/wire-client.js';

let fixture: ObservedGroup;

beforeEach(async () => {
	fixture = await startObservedGroup();
});

afterEach(async () => {
	await fixture.stop();
});

const READ_DATE = {name: 'd', text: 'SELECT date \'01/02/2026\' AS d, pg_sleep(0)'};

async function readDate(client: pg.Client): Promise<unknown> {
	const {rows} = await client.query<{d: unknown}>(READ_DATE);
	return rows[0]!.d;
}

describe('prepared statements that sessions share on one connection', () => {
	test('a statement that another session prepared under other variables is not used', async () => {
		const [left, right] = [await fixture.openClient(), await fixture.openClient()];
		await left.query('SET DateStyle TO \'ISO, DMY\'');
		expect([await readDate(left), await readDate(right), await readDate(left)]).toEqual(['2026-02-01', '2026-01-02', '2026-02-01']);
	});

	test('a statement that was prepared under SET LOCAL is not used after the transaction', async () => {
		const [left, right] = [await fixture.openClient(), await fixture.openClient()];
		await left.query('BEGIN');
		await left.query('SET LOCAL DateStyle TO \'ISO, DMY\'');
		expect(await readDate(left)).toBe('2026-02-01');
		await left.query('COMMIT');
		expect([await readDate(right), await readDate(left)]).toEqual(['2026-01-02', '2026-01-02']);
	});

	test('a session does not run the statement that it prepared before SET', async () => {
		const client = await fixture.openClient();
		expect(await readDate(client)).toBe('2026-01-02');
		await client.query('SET DateStyle TO \'ISO, DMY\'');
		expect(await readDate(client)).toBe('2026-02-01');
	});

	test('a name that was sent and failed is not used for another statement', async () => {
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.query('BEGIN'), serialize.query('SELECT * FROM missing'));
		await client.waitForReady();
		await client.waitForReady();
		client.send(serialize.parse({name: 'a', text: 'SELECT pg_sleep(0) AS one'}), serialize.sync());
		expect(await client.waitForReady()).toBe('EZ');
		client.send(serialize.query('ROLLBACK'), serialize.parse({name: 'a', text: 'SELECT pg_sleep(0) AS two'}), serialize.bind({statement: 'a'}), serialize.execute(), serialize.sync());
		await client.waitForReady();
		expect(await client.waitForReady()).toBe('S12DCZ');
		expect(fixture.executed.at(-1)!.text).toBe('SELECT pg_sleep(0) AS two');
	});

	test('a statement cannot be prepared in a failed transaction, even if the connection has it', async () => {
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.parse({name: 'a', text: 'SELECT pg_sleep(0)'}), serialize.sync());
		await client.waitForReady();
		client.send(serialize.query('BEGIN'), serialize.query('SELECT * FROM missing'));
		await client.waitForReady();
		await client.waitForReady();
		client.send(serialize.parse({name: 'b', text: 'SELECT pg_sleep(0)'}), serialize.sync());
		expect(await client.waitForReady()).toBe('EZ');
		client.send(serialize.query('ROLLBACK'), serialize.bind({statement: 'a'}), serialize.execute(), serialize.sync());
		await client.waitForReady();
		expect(await client.waitForReady()).toBe('S2DCZ');
		expect(client.readErrors()).toEqual(['42P01', '25P02']);
	});
});
