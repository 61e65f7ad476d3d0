import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, test,
} from '@jest/globals';
import {serialize} from 'pg-protocol';
import {formatDatabaseKey, formatSessionToken} from 'heatherpond-core';
import {
	createCommandComplete, createDataRow, createErrorResponse, createParameterStatus, createReadyForQuery, createRowDescription, FRONTEND,
} from 'heatherpond-wire';
import {
	sendMessages, sendRow, startScriptedDatabase, type Script, type ScriptedDatabase,
} from '../support/scripted-database.js';
import {startTestGroup, waitFor, type TestGroup} from '../support/test-group.js';
import {openWireClient} from '../support/wire-client.js';

/** Time without a response after which a connection is checked, and how long a write takes that is only slow, in milliseconds. */
const SILENCE_MS = 100;
const SLOW_WRITE_MS = 15 * SILENCE_MS;

let databases: readonly ScriptedDatabase[];
let fixture: TestGroup;

beforeEach(async () => {
	databases = await Promise.all(['a', 'b', 'c'].map(async name => startScriptedDatabase(name, (_frame, socket) => {
		sendRow(socket, '1:100', name);
	})));
	fixture = await startTestGroup({members: databases.map(database => database.member), limits: {silenceMs: 150}});
});

afterEach(async () => {
	databases.forEach(database => {
		database.stop();
	});
	await fixture.stop();
});

/** Sets the log position that the blackboard reports for both replicas. */
function updateReplicaPositions(position: bigint): void {
	['b', 'c'].forEach(name => {
		fixture.blackboard.update(state => {
			const known = state.databases[formatDatabaseKey('g', name)]!;
			return {...state, databases: {...state.databases, [formatDatabaseKey('g', name)]: {...known, status: {...known.status!, last: {term: 1, position}}}}};
		});
	});
}

const TOKEN = formatSessionToken({g: {term: 1, position: 100n}});

/** Destroys a connection after a short delay, so that data sent before it arrives first. */
function endLater(socket: Socket): void {
	setTimeout(() => {
		socket.destroy();
	}, 20);
}

describe('an upstream connection that is lost', () => {
	test('in the middle of a response closes the client connection with one fatal error', async () => {
		databases.slice(1).forEach(database => {
			database.updateScript((_frame, socket) => {
				sendMessages(socket, [createRowDescription([{name: 'value', typeId: 25}]), createDataRow(['first'])]);
				endLater(socket);
			});
		});
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.query('SELECT value FROM t'));
		expect(await client.waitForReady()).toBe('TDE');
		await waitFor(() => client.isClosed(), 'the client connection to close');
		expect(client.readErrors()).toEqual(['HP007']);
		await waitFor(() => fixture.pools.countOpen() === 0, 'all upstream connections to close');
	});

	test('before the response to a read causes a retry on another database', async () => {
		databases[1]!.updateScript((_frame, socket) => {
			socket.destroy();
		});
		const client = await fixture.openClient();
		const results = await Promise.all(Array.from({length: 6}, async () => client.query<{value: string}>('SELECT value FROM t')));
		expect(results.map(result => result.rows[0]!.value).filter(value => value === 'b')).toEqual([]);
		expect(results).toHaveLength(6);
	});

	test('before the response to a write reports an unknown outcome without a retry', async () => {
		databases[0]!.updateScript((_frame, socket) => {
			socket.destroy();
		});
		const client = await fixture.openClient();
		await expect(client.query('INSERT INTO t (id) VALUES (1)')).rejects.toMatchObject({code: 'HP002'});
		expect(databases.flatMap(database => database.queries)).toEqual(['INSERT INTO t (id) VALUES (1)']);
	});

	test('before the response to a write declared idempotent causes one retry', async () => {
		let isFirst = true;
		databases[0]!.updateScript((_frame, socket) => {
			if (isFirst) {
				isFirst = false;
				socket.destroy();
			} else {
				sendMessages(socket, [createCommandComplete('UPDATE 1'), createReadyForQuery('I')]);
			}
		});
		const client = await fixture.openClient();
		await client.query('SET heatherpond.idempotent = \'on\'');
		const result = await client.query('UPDATE t SET value = 1');
		const setting = await client.query<Record<string, string>>('SHOW heatherpond.idempotent');
		expect([result.rowCount, setting.rows[0]!['heatherpond.idempotent'], databases[0]!.queries.length]).toEqual([1, 'off', 2]);
	});

	test('through a fatal error of the database does not close the client connection', async () => {
		databases.slice(1).forEach(database => {
			database.updateScript((_frame, socket) => {
				socket.end(createErrorResponse({severity: 'FATAL', code: '57P01', message: 'terminating'}));
			});
		});
		const client = await fixture.openClient();
		const result = await client.query<{value: string}>('SELECT value FROM t');
		expect(result.rows[0]!.value).toBe('a');
	});

	test('inside a transaction fails all statements until the client ends the transaction', async () => {
		databases[0]!.updateScript((frame, socket) => {
			if (frame.body.toString().startsWith('BEGIN')) {
				sendMessages(socket, [createCommandComplete('BEGIN'), createReadyForQuery('T')]);
			} else {
				socket.destroy();
			}
		});
		const client = await fixture.openClient();
		await client.query('BEGIN');
		await expect(client.query('INSERT INTO t (id) VALUES (1)')).rejects.toMatchObject({code: '08006'});
		await expect(client.query('INSERT INTO t (id) VALUES (2)')).rejects.toMatchObject({code: '25P02'});
		const end = await client.query('COMMIT');
		expect([end.command, databases[0]!.queries]).toEqual(['ROLLBACK', ['BEGIN', 'INSERT INTO t (id) VALUES (1)']]);
	});

	test('during COMMIT reports an unknown outcome', async () => {
		databases[0]!.updateScript((frame, socket) => {
			const text = frame.body.toString();
			if (text.startsWith('COMMIT')) {
				socket.destroy();
			} else {
				sendMessages(socket, [createCommandComplete(text.startsWith('BEGIN') ? 'BEGIN' : 'INSERT 0 1'), createReadyForQuery('T')]);
			}
		});
		const client = await fixture.openClient();
		await client.query('BEGIN');
		await client.query('INSERT INTO t (id) VALUES (1)');
		await expect(client.query('COMMIT')).rejects.toMatchObject({code: 'HP002'});
	});
});

describe('an unresponsive upstream connection', () => {
	test('causes a read to be retried on another connection', async () => {
		databases.slice(1).forEach(database => {
			database.updateScript(() => undefined);
		});
		const client = await fixture.openClient();
		const result = await client.query<{value: string}>('SELECT value FROM t');
		expect(result.rows[0]!.value).toBe('a');
	});

	test('reports an unknown outcome of a write before its deadline when the idle connections are unresponsive too', async () => {
		await fixture.stop();
		fixture = await startTestGroup({members: databases.map(database => database.member), limits: {silenceMs: 150, requestTimeoutMs: 600_000}});
		const primary = databases[0]!;
		const clients = await Promise.all([fixture.openClient(), fixture.openClient()]);
		await Promise.all(clients.map(async client => client.query('INSERT INTO t VALUES (1)')));
		await waitFor(() => fixture.pools.countIdle() > 1, 'two idle connections');
		const unresponsive = new Set(primary.sockets);
		primary.updateScript((_frame, socket) => {
			if (!unresponsive.has(socket)) {
				sendRow(socket, '1:100');
			}
		});
		const startedAt = Date.now();
		await expect(clients[0].query('INSERT INTO t VALUES (2)')).rejects.toMatchObject({code: 'HP002'});
		expect(Date.now() - startedAt).toBeLessThan(3000);
	});

	test('does not end a slow write while other connections to the database respond', async () => {
		await fixture.stop();
		fixture = await startTestGroup({members: databases.map(database => database.member), limits: {silenceMs: SILENCE_MS, requestTimeoutMs: 600_000}});
		const primary = databases[0]!;
		const clients = await Promise.all([fixture.openClient(), fixture.openClient()]);
		await Promise.all(clients.map(async client => client.query('INSERT INTO t VALUES (1)')));
		await waitFor(() => fixture.pools.countIdle() > 1, 'two idle connections');
		let slow: Parameters<typeof sendRow>[0] | undefined;
		primary.updateScript((frame, socket) => {
			if (slow === undefined && frame.type === FRONTEND.query) {
				slow = socket;
			} else {
				sendRow(socket, '1:100');
			}
		});
		const writing = clients[0].query('INSERT INTO t VALUES (2)');
		await new Promise<void>(resolve => {
			setTimeout(resolve, SLOW_WRITE_MS);
		});
		sendRow(slow!, '1:200');
		await expect(writing).resolves.toBeDefined();
	});

	test('is destroyed after a failed ping while it is idle', async () => {
		const client = await fixture.openClient();
		await client.query('SELECT value FROM t');
		expect(fixture.pools.countOpen()).toBe(1);
		databases.forEach(database => {
			database.updateScript(() => undefined);
		});
		await waitFor(() => fixture.pools.countOpen() === 0, 'the unresponsive connections to close');
		expect(databases.flatMap(database => [...database.sockets]).length).toBeLessThanOrEqual(1);
	});
});

describe('a replaced primary', () => {
	test('that does not respond makes a running write end with an unknown outcome before its deadline', async () => {
		await fixture.stop();
		fixture = await startTestGroup({members: databases.map(database => database.member), limits: {requestTimeoutMs: 600_000}});
		let hasReceivedWrite = false;
		databases[0]!.updateScript(() => {
			hasReceivedWrite = true;
		});
		const client = await fixture.openClient();
		const writing = client.query('INSERT INTO t VALUES (1)').then(() => 'answered', (error: unknown) => (error as {code: string}).code);
		await waitFor(() => hasReceivedWrite, 'the write to reach the old primary');
		fixture.blackboard.update(state => ({
			...state, view: {...state.view, groups: {...state.view.groups, g: {...state.view.groups.g!, term: 2, primary: 'b'}}},
		}));
		await expect(writing).resolves.toBe('HP002');
	});
});

describe('a response with a log position', () => {
	test('older than that of the session is discarded when it comes from a replica, and the read runs on the primary', async () => {
		updateReplicaPositions(100n);
		databases.slice(1).forEach(database => {
			database.updateScript((_frame, socket) => {
				sendRow(socket, '1:50', 'stale');
			});
		});
		const client = await fixture.openClient();
		await client.query(`SET heatherpond.session = '${TOKEN}'`);
		const result = await client.query<{value: string}>('SELECT value FROM t');
		expect(result.rows).toEqual([{value: 'a'}]);
		expect(databases.slice(1).flatMap(database => database.queries)).toHaveLength(1);
	});

	test('of an earlier term than that of the session is discarded, whatever the position within the term', async () => {
		updateReplicaPositions(100n);
		databases.slice(1).forEach(database => {
			database.updateScript((_frame, socket) => {
				sendRow(socket, '0:500', 'stale');
			});
		});
		const client = await fixture.openClient();
		await client.query(`SET heatherpond.session = '${TOKEN}'`);
		const result = await client.query<{value: string}>('SELECT value FROM t');
		expect(result.rows).toEqual([{value: 'a'}]);
	});

	test('older than that of the session ends the read with HP007 when it comes from the primary', async () => {
		databases.forEach(database => {
			database.updateScript((_frame, socket) => {
				sendRow(socket, '1:50', 'stale');
			});
		});
		const client = await fixture.openClient();
		await client.query(`SET heatherpond.session = '${TOKEN}'`);
		await expect(client.query('SELECT value FROM t')).rejects.toMatchObject({code: 'HP007'});
	});

	test('newer than the one known of its replica updates the known position', async () => {
		databases.slice(1).forEach(database => {
			database.updateScript((_frame, socket) => {
				sendRow(socket, '1:150');
			});
		});
		updateReplicaPositions(100n);
		const client = await fixture.openClient();
		await client.query('SELECT value FROM t');
		const positions = ['b', 'c'].map(name => fixture.blackboard.read().databases[formatDatabaseKey('g', name)]!.status!.last.position);
		expect(positions).toContain(150n);
	});
});

describe('a read that waits for a replica to catch up', () => {
	test('runs on the replica as soon as its position is known to be sufficient', async () => {
		await fixture.stop();
		// The wait is long, so that a stall of the test process cannot end it before the position is updated.
		fixture = await startTestGroup({members: databases.map(database => database.member), limits: {silenceMs: 150, replicaWaitMs: 4000}});
		updateReplicaPositions(50n);
		const client = await fixture.openClient();
		await client.query(`SET heatherpond.session = '${TOKEN}'`);
		const waiting = client.query<{value: string}>('SELECT value FROM t');
		setTimeout(() => {
			updateReplicaPositions(100n);
		}, 5);
		const result = await waiting;
		expect(['b', 'c']).toContain(result.rows[0]!.value);
	});
});

const LARGE_RESPONSE_ROWS = 1024;

/** Creates a script that sends 64 KiB rows as fast as the socket accepts them and sets `isEnded` after the last one. */
function createLargeResponse(progress: {isEnded: boolean}): Script {
	const row = createDataRow(['x'.repeat(65_536)]);
	return (_frame, socket) => {
		let sent = 0;
		function sendRows(): void {
			while (sent < LARGE_RESPONSE_ROWS && !socket.destroyed) {
				sent++;
				if (!socket.write(row)) {
					socket.once('drain', sendRows);
					return;
				}
			}

			progress.isEnded = true;
			sendMessages(socket, [createCommandComplete(`SELECT ${LARGE_RESPONSE_ROWS}`), createReadyForQuery('I')]);
		}

		socket.write(createRowDescription([{name: 'value', typeId: 25}]));
		sendRows();
	};
}

describe('a response larger than the memory limits', () => {
	test('applies backpressure to the database while the client does not read, and then arrives complete', async () => {
		const progress = {isEnded: false};
		databases.forEach(database => {
			database.updateScript(createLargeResponse(progress));
		});
		const client = await openWireClient(await fixture.openSocket());
		client.socket.pause();
		client.send(serialize.query('SELECT value FROM t'));
		await waitFor(() => fixture.clientServer.countBufferedBytes() > 0, 'the proxy to buffer data for the client');
		const largest = await findLargest(fixture.clientServer.countBufferedBytes, 50);
		expect(largest).toBeLessThan(1_000_000);
		expect(progress.isEnded).toBe(false);
		client.socket.resume();
		const letters = await client.waitForReady();
		expect(letters).toHaveLength(LARGE_RESPONSE_ROWS + 3);
	});
});

describe('a row over the size limit', () => {
	test('ends a read with error 54000 and without a retry', async () => {
		databases.forEach(database => {
			database.updateScript((_frame, socket) => {
				socket.write(Buffer.from('440fffffff', 'hex'));
			});
		});
		const client = await fixture.openClient();
		await expect(client.query('SELECT value FROM t')).rejects.toMatchObject({code: '54000'});
		expect(databases.flatMap(database => database.queries)).toHaveLength(1);
	});

	test('reports an unknown outcome of a write', async () => {
		databases[0]!.updateScript((_frame, socket) => {
			socket.write(Buffer.from('440fffffff', 'hex'));
		});
		const client = await fixture.openClient();
		await expect(client.query('INSERT INTO t (id) VALUES (1) RETURNING id')).rejects.toMatchObject({code: 'HP002'});
	});
});

/** Samples a value once per millisecond timer tick and returns the largest sample. */
async function findLargest(read: () => number, sampleCount: number): Promise<number> {
	let largest = 0;
	for (let sample = 0; sample < sampleCount; sample++) {
		largest = Math.max(largest, read());
		await new Promise(resolve => {
			setTimeout(resolve, 1);
		});
	}

	return largest;
}

describe('a commit without a proof of primacy', () => {
	test('reports an unknown outcome and sends no acknowledgement', async () => {
		databases[0]!.updateScript((frame, socket) => {
			if (frame.type === FRONTEND.query) {
				sendMessages(socket, [createParameterStatus('heatherpond.position', '1:200'), createCommandComplete('INSERT 0 1'), createReadyForQuery('I')]);
			}
		});
		fixture.proof.isGiven = false;
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.query('INSERT INTO t (id) VALUES (1)'));
		expect(await client.waitForReady()).toBe('EZ');
		expect(client.readErrors()).toEqual(['HP002']);
	});

	test('does not advance the session token', async () => {
		databases[0]!.updateScript((_frame, socket) => {
			sendMessages(socket, [createParameterStatus('heatherpond.position', '1:200'), createCommandComplete('INSERT 0 1'), createReadyForQuery('I')]);
		});
		fixture.proof.isGiven = false;
		const client = await fixture.openClient();
		await expect(client.query('INSERT INTO t (id) VALUES (1)')).rejects.toMatchObject({code: 'HP002'});
		const token = await client.query<Record<string, string>>('SHOW heatherpond.session');
		expect(token.rows[0]!['heatherpond.session']).toBe(formatSessionToken({}));
	});
});

describe('an unreachable primary', () => {
	test('makes a write wait for the next primary without sending it to any other database', async () => {
		databases[0]!.stop();
		databases[1]!.updateScript((_frame, socket) => {
			sendMessages(socket, [createParameterStatus('heatherpond.position', '2:200'), createCommandComplete('INSERT 0 1'), createReadyForQuery('I')]);
		});
		const client = await fixture.openClient();
		const writing = client.query('INSERT INTO t (id) VALUES (1)');
		setTimeout(() => {
			fixture.updateGroup(group => ({
				...group, term: 2, primary: 'b', termStarts: [...group.termStarts, {term: 2, start: 100n}],
			}));
		}, 100);
		const result = await writing;
		expect([result.rowCount, databases.map(database => database.queries.length)]).toEqual([1, [0, 1, 0]]);
	});
});

describe('a primary that rejects writes as read-only', () => {
	test('makes the write wait for the next primary, which runs it once', async () => {
		databases[0]!.updateScript((_frame, socket) => {
			sendMessages(socket, [createErrorResponse({severity: 'ERROR', code: '25006', message: 'read-only'}), createReadyForQuery('I')]);
		});
		databases[1]!.updateScript((_frame, socket) => {
			sendMessages(socket, [createParameterStatus('heatherpond.position', '2:200'), createCommandComplete('INSERT 0 1'), createReadyForQuery('I')]);
		});
		const client = await fixture.openClient();
		const writing = client.query('INSERT INTO t (id) VALUES (1)');
		await waitFor(() => databases[0]!.queries.length === 1, 'the rejection');
		fixture.updateGroup(group => ({
			...group, term: 2, primary: 'b', termStarts: [...group.termStarts, {term: 2, start: 100n}],
		}));
		const result = await writing;
		expect([result.rowCount, databases.map(database => database.queries.length)]).toEqual([1, [1, 1, 0]]);
	});
});
