import {
	afterAll, beforeAll, describe, expect, test,
} from '@jest/globals';
import {createSystemClock} from 'heatherpond-core';
import pg from 'pg';
import {startDatabaseGroup, type ExecutedStatement} from '../../database-group.js';
import {startDatabaseServer} from '../../database-server.js';
import {startSqlParser} from '../../sql-parser.js';

const stop = new AbortController();
const executed: ExecutedStatement[] = [];
let client: pg.Client;

beforeAll(async () => {
	await startSqlParser();
	const clock = createSystemClock();
	const group = startDatabaseGroup({
		name: 'g', databases: ['one'], clock, signal: stop.signal,
	});
	const [member] = group.members;
	member!.observer.handleStatement = statement => {
		executed.push(statement);
	};

	const server = await startDatabaseServer({
		group, member: member!, address: '127.0.0.1', port: 0, slots: 3, connections: 20, users: [{user: 'data', password: 'secret', isControl: false}], clock, signal: stop.signal,
	});
	client = new pg.Client({
		host: '127.0.0.1', port: server.port, user: 'data', password: 'secret', database: 'any',
	});
	await client.connect();
});

afterAll(async () => {
	await client.end();
	stop.abort();
});

async function readSetting(name: string): Promise<unknown> {
	const {rows} = await client.query<Record<string, unknown>>(`SHOW ${name}`);
	return Object.values(rows[0]!)[0];
}

describe('a stand-in database reads statements as PostgreSQL does', () => {
	test('SET takes the whole list, and names are case-insensitive', async () => {
		await client.query('SET "Search_Path" TO "A b", c');
		expect(await readSetting('search_path')).toBe('"A b", c');
		await expect(client.query('SET a.b TO 1, 2')).rejects.toMatchObject({code: '22023'});
	});

	test('a rollback undoes SET, and SET LOCAL ends with its transaction', async () => {
		await client.query('SET a.c TO 1');
		await client.query('BEGIN');
		await client.query('SET a.c TO 2');
		await client.query('ROLLBACK');
		expect(await readSetting('a.c')).toBe('1');
		await client.query('BEGIN');
		await client.query('SET LOCAL a.c TO 3');
		expect(await readSetting('a.c')).toBe('3');
		await client.query('COMMIT');
		expect(await readSetting('a.c')).toBe('1');
	});

	test('a date literal is read when the statement is parsed', async () => {
		await client.query('SET DateStyle TO \'ISO, DMY\'');
		const read = {name: 'd', text: 'SELECT date \'01/02/2026\' AS d'};
		const first = await client.query(read);
		await client.query('RESET DateStyle');
		const again = await client.query(read);
		const unnamed = await client.query(read.text);
		expect([first.rows, again.rows, unnamed.rows]).toEqual([[{d: '2026-02-01'}], [{d: '2026-02-01'}], [{d: '2026-01-02'}]]);
	});

	test('DEALLOCATE of a name leaves the other statements', async () => {
		await client.query({name: 'x', text: 'SELECT 1'});
		await client.query({name: 'y', text: 'SELECT 2'});
		await client.query('DEALLOCATE x');
		await expect(client.query('DEALLOCATE x')).rejects.toMatchObject({code: '26000'});
		await client.query({name: 'y', text: 'SELECT 2'});
	});

	test('another number of values than of parameters is refused; a dollar sign in a literal is no parameter', async () => {
		await client.query('SELECT \'$2\', $1', ['v']);
		await expect(client.query('SELECT $1', ['v', 'w'])).rejects.toMatchObject({code: '08P01'});
	});

	test('every statement that ran is recorded with its values and settings', async () => {
		await client.query('SET a.d TO \'x y\'');
		executed.length = 0;
		await client.query('SELECT $1', ['v w']);
		expect(executed).toEqual([{text: 'SELECT $1', values: ['v w'], settings: expect.objectContaining({'a.d': 'x y'}) as unknown}]);
	});
});
