import {
	afterEach, beforeEach, describe, expect, test,
} from '@jest/globals';
import {createCommandComplete, createErrorResponse, createReadyForQuery} from 'heatherpond-wire';
import {sendMessages, startScriptedDatabase, type ScriptedDatabase} from '../support/scripted-database.js';
import {startTestGroup, waitFor, type TestGroup} from '../support/test-group.js';

let database: ScriptedDatabase;
let fixture: TestGroup;
let usedSockets: unknown[];

beforeEach(async () => {
	usedSockets = [];
	database = await startScriptedDatabase('a', (_frame, socket) => {
		usedSockets.push(socket);
		sendMessages(socket, [createCommandComplete('DONE'), createReadyForQuery('I')]);
	});
	fixture = await startTestGroup({members: [database.member], maxConnections: 1});
});

afterEach(async () => {
	database.stop();
	await fixture.stop();
});

/** A text in a grammar that only the database knows, and which hides a statement that the proxy would refuse. */
const UNREADABLE = 'FROB TABLE t; SET ROLE admin';

describe('statements that the proxy cannot read', () => {
	test('leave no state to other sessions when the database runs them', async () => {
		const [left, right] = [await fixture.openClient(), await fixture.openClient()];
		await left.query(UNREADABLE);
		await right.query('UPDATE t SET a = 1');
		expect(usedSockets).toHaveLength(2);
		expect(usedSockets[0]).not.toBe(usedSockets[1]);
		await waitFor(() => database.sockets.size === 1, 'the close of the first connection');
	});

	test('cost no connection when the database cannot read them either', async () => {
		const client = await fixture.openClient();
		await client.query('UPDATE t SET a = 1');
		database.updateScript((_frame, socket) => {
			usedSockets.push(socket);
			sendMessages(socket, [createErrorResponse({severity: 'ERROR', code: '42601', message: 'syntax error'}), createReadyForQuery('I')]);
		});
		await expect(client.query(UNREADABLE)).rejects.toMatchObject({code: '42601'});
		await expect(client.query('UPDATE t SET a = 1')).rejects.toMatchObject({code: '42601'});
		expect(new Set(usedSockets).size).toBe(1);
	});
});
