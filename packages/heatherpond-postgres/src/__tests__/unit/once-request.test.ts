import {
	afterEach, beforeEach, describe, expect, test,
} from '@jest/globals';
import type pg from 'pg';
import {startTestGroup, type TestGroup} from '../support/test-group.js';

let fixture: TestGroup;

beforeEach(async () => {
	fixture = await startTestGroup();
	const client = await fixture.openClient();
	await client.query('CREATE TABLE t (id text PRIMARY KEY, value integer)');
	await client.query('INSERT INTO t (id, value) VALUES (\'n\', 0)');
	await client.end();
});

afterEach(async () => {
	await fixture.stop();
});

async function runOnce(client: pg.Client, key: string, query: pg.QueryConfig): Promise<pg.QueryResult> {
	await client.query(`SET heatherpond.once = '${key}'`);
	return client.query(query);
}

const ADD = {text: 'UPDATE t SET value = value + $1 WHERE id = $2', values: [1, 'n']};

async function readValue(client: pg.Client): Promise<number> {
	const results = await client.query<{value: number}>('BEGIN; SELECT value FROM t; COMMIT') as unknown as Array<pg.QueryResult<{value: number}>>;
	return Number(results[1]!.rows[0]!.value);
}

describe('a write with an idempotency key (heatherpond.once)', () => {
	test('runs once, and a repeat through another session returns the recorded outcome', async () => {
		const [left, right] = await Promise.all([fixture.openClient(), fixture.openClient()]);
		const notices: string[] = [];
		right.on('notice', notice => {
			notices.push(notice.code ?? '');
		});
		const first = await runOnce(left, 'k', ADD);
		const repeat = await runOnce(right, 'k', ADD);
		expect([first.command, first.rowCount, repeat.command, repeat.rowCount]).toEqual(['UPDATE', 1, 'UPDATE', 1]);
		expect([notices, await readValue(left)]).toEqual([['HP008'], 1]);
	});

	test('runs once when it is repeated in the simple query protocol', async () => {
		const client = await fixture.openClient();
		const text = 'UPDATE t SET value = value + 1';
		await runOnce(client, 'it\'\'s', {text});
		await runOnce(client, 'it\'\'s', {text});
		expect(await readValue(client)).toBe(1);
	});

	test('runs once when it is repeated after an unknown outcome', async () => {
		const client = await fixture.openClient();
		fixture.proof.isGiven = false;
		await expect(runOnce(client, 'k', ADD)).rejects.toMatchObject({code: 'HP002'});
		fixture.proof.isGiven = true;
		const repeat = await runOnce(client, 'k', ADD);
		expect([repeat.rowCount, await readValue(client)]).toEqual([1, 1]);
	});

	test('consumes the key, so that the next write runs without one', async () => {
		const client = await fixture.openClient();
		await runOnce(client, 'k', ADD);
		await client.query(ADD);
		expect(await readValue(client)).toBe(2);
	});

	test('can be repeated with the same key after it failed', async () => {
		const client = await fixture.openClient();
		await expect(runOnce(client, 'k', {text: 'UPDATE missing SET value = 1'})).rejects.toMatchObject({code: '42P01'});
		const answer = await runOnce(client, 'k', ADD);
		expect([answer.rowCount, await readValue(client)]).toEqual([1, 1]);
	});

	test('is rejected when the key was used with different parameters', async () => {
		const client = await fixture.openClient();
		await runOnce(client, 'k', ADD);
		await expect(runOnce(client, 'k', {...ADD, values: [5, 'n']})).rejects.toMatchObject({code: 'HP009'});
		expect(await readValue(client)).toBe(1);
	});

	test.each([
		['in a transaction', 'BEGIN; UPDATE t SET value = 9; COMMIT'],
		['with several statements', 'UPDATE t SET value = 9; UPDATE t SET value = 9'],
	])('is rejected %s', async (_name, text) => {
		const client = await fixture.openClient();
		await expect(runOnce(client, 'k', {text})).rejects.toMatchObject({code: '0A000'});
		expect(await readValue(client)).toBe(0);
	});

	test('keeps its key across reads in between', async () => {
		const client = await fixture.openClient();
		await client.query('SET heatherpond.once = \'k\'');
		await client.query('SELECT value FROM t');
		await client.query(ADD);
		await runOnce(client, 'k', ADD);
		expect(await readValue(client)).toBe(1);
	});
});
