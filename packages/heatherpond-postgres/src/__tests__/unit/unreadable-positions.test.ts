import {
	afterEach, beforeEach, describe, expect, test,
} from '@jest/globals';
import {sendRow, startScriptedDatabase, type ScriptedDatabase} from '../support/scripted-database.js';
import {startTestGroup, type TestGroup} from '../support/test-group.js';

let database: ScriptedDatabase;
let fixture: TestGroup;
let position: string;

beforeEach(async () => {
	database = await startScriptedDatabase('a', (_frame, socket) => {
		sendRow(socket, position);
	});
	fixture = await startTestGroup({members: [database.member], maxConnections: 1, limits: {requestTimeoutMs: 300}});
});

afterEach(async () => {
	database.stop();
	await fixture.stop();
});

describe('log positions that a database reports', () => {
	test.each(['1:5:9', '1', ':5', '1:', '1:x', '1e3:5', '0x1:5', ' 1:5', '-1:5', '1:5\n'])('%j is not taken for a position', async text => {
		position = text;
		const client = await fixture.openClient();
		await expect(client.query('SELECT 1')).rejects.toMatchObject({code: 'HP007'});
		position = '1:5';
		await client.query('SELECT 1');
	});
});
