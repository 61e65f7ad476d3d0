import {
	afterAll, beforeAll, beforeEach, describe, expect, test,
} from '@jest/globals';
import {startTestGroup, type TestGroup} from '../support/test-group.js';

let fixture: TestGroup;
let executed: string[];

beforeAll(async () => {
	fixture = await startTestGroup({maxConnections: 1});
	executed = [];
	fixture.group.members.forEach(({observer}) => {
		observer.handleStatement = ({text}) => {
			executed.push(text);
		};
	});
});

beforeEach(() => {
	executed.length = 0;
});

afterAll(async () => {
	await fixture.stop();
});

describe('statements that depend on their connection, or change how it reads SQL', () => {
	test.each([
		'SET "ROLE" TO admin',
		'SET "Session_Authorization" TO admin',
		'SET "Client_Encoding" TO sjis',
		'SET LOCAL client_encoding TO sjis',
		'SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY',
		'SET SESSION AUTHORIZATION admin',
		'RESET ROLE',
		'SET LOCAL heatherpond.max_staleness TO \'5s\'',
		'SET standard_conforming_strings TO off',
		'RESET standard_conforming_strings',
		'SET LOCAL "Standard_Conforming_Strings" TO off',
		'UPDATE pg_settings SET setting = \'off\' WHERE name = \'standard_conforming_strings\'',
		'SET search_path TO pg_temp, public',
		'SET a.one FROM CURRENT',
		'EXPLAIN ANALYZE EXECUTE hp_1',
		'CREATE TABLE copied AS EXECUTE hp_1',
		'SELECT statement FROM pg_prepared_statements',
		'SELECT 1 WHERE EXISTS (SELECT 1 FROM pg_catalog.pg_prepared_statements)',
		'SELECT * FROM pg_prepared_statement()',
		'PREPARE hp_1 AS SELECT 1',
		'DEALLOCATE hp_1',
		'CREATE TABLE pg_temp.x (id text)',
		'CREATE FUNCTION pg_temp.f() RETURNS int LANGUAGE sql AS \'SELECT 1\'',
		'SELECT pg_temp.f()',
		'INSERT INTO pg_temp_3.x VALUES (1)',
	])('%s does not reach a database', async text => {
		const client = await fixture.openClient();
		await expect(client.query(text)).rejects.toMatchObject({code: '0A000', message: expect.stringContaining('through transaction pooling') as unknown});
		await client.end();
		expect(executed).toEqual([]);
	});

	test('SET of standard_conforming_strings to the grammar in force is accepted', async () => {
		const client = await fixture.openClient();
		await client.query('SET LOCAL standard_conforming_strings TO \'On\'');
		await client.query('SET standard_conforming_strings = on');
		await client.end();
		expect(executed).toEqual(['SET LOCAL standard_conforming_strings TO \'On\'', 'SET standard_conforming_strings = on']);
	});
});
