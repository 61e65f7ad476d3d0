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
	answerBytes, answerRow, startScriptedDatabase, type Script, type ScriptedDatabase,
} from '../support/scripted-database.js';
import {startTestGroup, waitFor, type TestGroup} from '../support/test-group.js';
import {openWireClient} from '../support/wire-client.js';

let databases: readonly ScriptedDatabase[];
let fixture: TestGroup;

beforeEach(async () => {
	databases = await Promise.all(['a', 'b', 'c'].map(async name => startScriptedDatabase(name, (_frame, socket) => {
		answerRow(socket, '1:100', name);
	})));
	fixture = await startTestGroup({members: databases.map(database => database.member), limits: {silenceMs: 150}});
});

afterEach(async () => {
	databases.forEach(database => {
		database.stop();
	});
	await fixture.stop();
});

/** Lets the blackboard believe that every replica has reached a position. */
function updateKnownPosition(position: bigint): void {
	['b', 'c'].forEach(name => {
		fixture.blackboard.update(state => {
			const known = state.databases[formatDatabaseKey('g', name)]!;
			return {...state, databases: {...state.databases, [formatDatabaseKey('g', name)]: {...known, status: {...known.status!, last: {term: 1, position}}}}};
		});
	});
}

const TOKEN = formatSessionToken({g: {term: 1, position: 100n}});

/** Breaks a connection off a little later, when what was sent has arrived. */
function endLater(socket: Socket): void {
	setTimeout(() => {
		socket.destroy();
	}, 20);
}

describe('an upstream that vanishes', () => {
	test('in the middle of an answer ends the caller\'s connection with one fatal error', async () => {
		databases.slice(1).forEach(database => {
			database.updateScript((_frame, socket) => {
				answerBytes(socket, [createRowDescription([{name: 'value', typeId: 25}]), createDataRow(['first'])]);
				endLater(socket);
			});
		});
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.query('SELECT value FROM t'));
		expect(await client.waitForReady()).toBe('TDE');
		await waitFor(() => client.isClosed(), 'the close');
		expect(client.readErrors()).toEqual(['HP007']);
		await waitFor(() => fixture.pools.countOpen() === 0, 'no connection is left');
	});

	test('before an answer to a read has the read run elsewhere', async () => {
		databases[1]!.updateScript((_frame, socket) => {
			socket.destroy();
		});
		const client = await fixture.openClient();
		const answers = await Promise.all(Array.from({length: 6}, async () => client.query<{value: string}>('SELECT value FROM t')));
		expect(answers.map(answer => answer.rows[0]!.value).filter(value => value === 'b')).toEqual([]);
		expect(answers).toHaveLength(6);
	});

	test('before an answer to a write leaves its outcome unknown, and it is not run again', async () => {
		databases[0]!.updateScript((_frame, socket) => {
			socket.destroy();
		});
		const client = await fixture.openClient();
		await expect(client.query('INSERT INTO t (id) VALUES (1)')).rejects.toMatchObject({code: 'HP002'});
		expect(databases.flatMap(database => database.queries)).toEqual(['INSERT INTO t (id) VALUES (1)']);
	});

	test('before an answer to a write that was declared idempotent has the write run again, once', async () => {
		let isFirst = true;
		databases[0]!.updateScript((_frame, socket) => {
			if (isFirst) {
				isFirst = false;
				socket.destroy();
			} else {
				answerBytes(socket, [createCommandComplete('UPDATE 1'), createReadyForQuery('I')]);
			}
		});
		const client = await fixture.openClient();
		await client.query('SET heatherpond.idempotent = \'on\'');
		const answer = await client.query('UPDATE t SET value = 1');
		const setting = await client.query<Record<string, string>>('SHOW heatherpond.idempotent');
		expect([answer.rowCount, setting.rows[0]!['heatherpond.idempotent'], databases[0]!.queries.length]).toEqual([1, 'off', 2]);
	});

	test('that ends a connection with a fatal error does not end the caller\'s', async () => {
		databases.slice(1).forEach(database => {
			database.updateScript((_frame, socket) => {
				socket.end(createErrorResponse({severity: 'FATAL', code: '57P01', message: 'terminating'}));
			});
		});
		const client = await fixture.openClient();
		const answer = await client.query<{value: string}>('SELECT value FROM t');
		expect(answer.rows[0]!.value).toBe('a');
	});

	test('inside a transaction fails it until the caller ends it', async () => {
		databases[0]!.updateScript((frame, socket) => {
			if (frame.body.toString().startsWith('BEGIN')) {
				answerBytes(socket, [createCommandComplete('BEGIN'), createReadyForQuery('T')]);
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

	test('at the commit of a transaction leaves its outcome unknown', async () => {
		databases[0]!.updateScript((frame, socket) => {
			const text = frame.body.toString();
			if (text.startsWith('COMMIT')) {
				socket.destroy();
			} else {
				answerBytes(socket, [createCommandComplete(text.startsWith('BEGIN') ? 'BEGIN' : 'INSERT 0 1'), createReadyForQuery('T')]);
			}
		});
		const client = await fixture.openClient();
		await client.query('BEGIN');
		await client.query('INSERT INTO t (id) VALUES (1)');
		await expect(client.query('COMMIT')).rejects.toMatchObject({code: 'HP002'});
	});
});

describe('a connection that has gone silent', () => {
	test('has a read run on another one', async () => {
		databases.slice(1).forEach(database => {
			database.updateScript(() => undefined);
		});
		const client = await fixture.openClient();
		const answer = await client.query<{value: string}>('SELECT value FROM t');
		expect(answer.rows[0]!.value).toBe('a');
	});

	test('leaves the outcome of a write unknown soon, when its siblings have gone silent as well', async () => {
		await fixture.stop();
		fixture = await startTestGroup({members: databases.map(database => database.member), limits: {silenceMs: 150, requestTimeoutMs: 600_000}});
		const primary = databases[0]!;
		const clients = await Promise.all([fixture.openClient(), fixture.openClient()]);
		await Promise.all(clients.map(async client => client.query('INSERT INTO t VALUES (1)')));
		await waitFor(() => fixture.pools.countIdle() > 1, 'two connections');
		const silenced = new Set(primary.sockets);
		primary.updateScript((_frame, socket) => {
			if (!silenced.has(socket)) {
				answerRow(socket, '1:100');
			}
		});
		const startedAt = Date.now();
		await expect(clients[0].query('INSERT INTO t VALUES (2)')).rejects.toMatchObject({code: 'HP002'});
		expect(Date.now() - startedAt).toBeLessThan(3000);
	});

	test('is waited for when its siblings answer: the write may only be slow', async () => {
		await fixture.stop();
		fixture = await startTestGroup({members: databases.map(database => database.member), limits: {silenceMs: 100, requestTimeoutMs: 600_000}});
		const primary = databases[0]!;
		const clients = await Promise.all([fixture.openClient(), fixture.openClient()]);
		await Promise.all(clients.map(async client => client.query('INSERT INTO t VALUES (1)')));
		await waitFor(() => fixture.pools.countIdle() > 1, 'two connections');
		let slow: Parameters<typeof answerRow>[0] | undefined;
		primary.updateScript((frame, socket) => {
			if (slow === undefined && frame.type === FRONTEND.query) {
				slow = socket;
			} else {
				answerRow(socket, '1:100');
			}
		});
		const writing = clients[0].query('INSERT INTO t VALUES (2)');
		await new Promise<void>(resolve => {
			setTimeout(resolve, 1500);
		});
		answerRow(slow!, '1:200');
		await expect(writing).resolves.toBeDefined();
	});

	test('while idle is found by a ping and destroyed', async () => {
		const client = await fixture.openClient();
		await client.query('SELECT value FROM t');
		expect(fixture.pools.countOpen()).toBe(1);
		databases.forEach(database => {
			database.updateScript(() => undefined);
		});
		await waitFor(() => fixture.pools.countOpen() === 0, 'the ping');
		expect(databases.flatMap(database => [...database.sockets]).length).toBeLessThanOrEqual(1);
	});
});

describe('a primary that was replaced', () => {
	test('and answers nothing leaves the outcome of its writes unknown at once, not at their deadline', async () => {
		await fixture.stop();
		fixture = await startTestGroup({members: databases.map(database => database.member), limits: {requestTimeoutMs: 600_000}});
		let isAsked = false;
		databases[0]!.updateScript(() => {
			isAsked = true;
		});
		const client = await fixture.openClient();
		const writing = client.query('INSERT INTO t VALUES (1)').then(() => 'answered', (error: unknown) => (error as {code: string}).code);
		await waitFor(() => isAsked, 'the write');
		fixture.blackboard.update(state => ({
			...state, view: {...state.view, groups: {...state.view.groups, g: {...state.view.groups.g!, term: 2, primary: 'b'}}},
		}));
		await expect(writing).resolves.toBe('HP002');
	});
});

describe('an answer that is behind the session', () => {
	test('never leaves: the read goes to the primary', async () => {
		updateKnownPosition(100n);
		databases.slice(1).forEach(database => {
			database.updateScript((_frame, socket) => {
				answerRow(socket, '1:50', 'stale');
			});
		});
		const client = await fixture.openClient();
		await client.query(`SET heatherpond.session = '${TOKEN}'`);
		const answer = await client.query<{value: string}>('SELECT value FROM t');
		expect(answer.rows).toEqual([{value: 'a'}]);
		expect(databases.slice(1).flatMap(database => database.queries)).toHaveLength(1);
	});

	test('of an older term never leaves either', async () => {
		updateKnownPosition(100n);
		databases.slice(1).forEach(database => {
			database.updateScript((_frame, socket) => {
				answerRow(socket, '0:500', 'stale');
			});
		});
		const client = await fixture.openClient();
		await client.query(`SET heatherpond.session = '${TOKEN}'`);
		const answer = await client.query<{value: string}>('SELECT value FROM t');
		expect(answer.rows).toEqual([{value: 'a'}]);
	});

	test('is refused when the primary gives it too', async () => {
		databases.forEach(database => {
			database.updateScript((_frame, socket) => {
				answerRow(socket, '1:50', 'stale');
			});
		});
		const client = await fixture.openClient();
		await client.query(`SET heatherpond.session = '${TOKEN}'`);
		await expect(client.query('SELECT value FROM t')).rejects.toMatchObject({code: 'HP007'});
	});

	test('tells the position of its replica to later reads', async () => {
		databases.slice(1).forEach(database => {
			database.updateScript((_frame, socket) => {
				answerRow(socket, '1:150');
			});
		});
		updateKnownPosition(100n);
		const client = await fixture.openClient();
		await client.query('SELECT value FROM t');
		const positions = ['b', 'c'].map(name => fixture.blackboard.read().databases[formatDatabaseKey('g', name)]!.status!.last.position);
		expect(positions).toContain(150n);
	});
});

describe('a wait for a replica', () => {
	test('ends as soon as a position arrives', async () => {
		await fixture.stop();
		// A wait that no stall of the test's process ends before the position comes.
		fixture = await startTestGroup({members: databases.map(database => database.member), limits: {silenceMs: 150, replicaWaitMs: 4000}});
		updateKnownPosition(50n);
		const client = await fixture.openClient();
		await client.query(`SET heatherpond.session = '${TOKEN}'`);
		const waiting = client.query<{value: string}>('SELECT value FROM t');
		setTimeout(() => {
			updateKnownPosition(100n);
		}, 5);
		const answer = await waiting;
		expect(['b', 'c']).toContain(answer.rows[0]!.value);
	});
});

const BIG_ROWS = 1024;

/** Sends rows of 64 KiB, as fast as they are taken; tells by `isEnded` when all have left. */
function createBigAnswer(progress: {isEnded: boolean}): Script {
	const row = createDataRow(['x'.repeat(65_536)]);
	return (_frame, socket) => {
		let sent = 0;
		function sendRows(): void {
			while (sent < BIG_ROWS && !socket.destroyed) {
				sent++;
				if (!socket.write(row)) {
					socket.once('drain', sendRows);
					return;
				}
			}

			progress.isEnded = true;
			answerBytes(socket, [createCommandComplete(`SELECT ${BIG_ROWS}`), createReadyForQuery('I')]);
		}

		socket.write(createRowDescription([{name: 'value', typeId: 25}]));
		sendRows();
	};
}

describe('an answer larger than memory limits', () => {
	test('holds its database back while the caller reads slowly, and arrives whole', async () => {
		const progress = {isEnded: false};
		databases.forEach(database => {
			database.updateScript(createBigAnswer(progress));
		});
		const client = await openWireClient(await fixture.openSocket());
		client.socket.pause();
		client.send(serialize.query('SELECT value FROM t'));
		await waitFor(() => fixture.callers.countBuffered() > 0, 'the proxy meets a caller that does not read');
		const largest = await findLargest(fixture.callers.countBuffered, 50);
		expect(largest).toBeLessThan(1_000_000);
		expect(progress.isEnded).toBe(false);
		client.socket.resume();
		const letters = await client.waitForReady();
		expect(letters).toHaveLength(BIG_ROWS + 3);
	});
});

describe('a row over the limit', () => {
	test('ends a read with an error of its own and without another attempt', async () => {
		databases.forEach(database => {
			database.updateScript((_frame, socket) => {
				socket.write(Buffer.from('440fffffff', 'hex'));
			});
		});
		const client = await fixture.openClient();
		await expect(client.query('SELECT value FROM t')).rejects.toMatchObject({code: '54000'});
		expect(databases.flatMap(database => database.queries)).toHaveLength(1);
	});

	test('leaves the outcome of a write unknown', async () => {
		databases[0]!.updateScript((_frame, socket) => {
			socket.write(Buffer.from('440fffffff', 'hex'));
		});
		const client = await fixture.openClient();
		await expect(client.query('INSERT INTO t (id) VALUES (1) RETURNING id')).rejects.toMatchObject({code: 'HP002'});
	});
});

/** Finds the largest value of a number of readings, one in each turn of the event loop. */
async function findLargest(read: () => number, readings: number): Promise<number> {
	let largest = 0;
	for (let reading = 0; reading < readings; reading++) {
		largest = Math.max(largest, read());
		await new Promise(resolve => {
			setTimeout(resolve, 1);
		});
	}

	return largest;
}

describe('a commit without proof of primacy', () => {
	test('is told as unknown and sends no acknowledgement', async () => {
		databases[0]!.updateScript((frame, socket) => {
			if (frame.type === FRONTEND.query) {
				answerBytes(socket, [createParameterStatus('heatherpond.position', '1:200'), createCommandComplete('INSERT 0 1'), createReadyForQuery('I')]);
			}
		});
		fixture.proof.isGiven = false;
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.query('INSERT INTO t (id) VALUES (1)'));
		expect(await client.waitForReady()).toBe('EZ');
		expect(client.readErrors()).toEqual(['HP002']);
	});

	test('does not move the session\'s token', async () => {
		databases[0]!.updateScript((_frame, socket) => {
			answerBytes(socket, [createParameterStatus('heatherpond.position', '1:200'), createCommandComplete('INSERT 0 1'), createReadyForQuery('I')]);
		});
		fixture.proof.isGiven = false;
		const client = await fixture.openClient();
		await expect(client.query('INSERT INTO t (id) VALUES (1)')).rejects.toMatchObject({code: 'HP002'});
		const token = await client.query<Record<string, string>>('SHOW heatherpond.session');
		expect(token.rows[0]!['heatherpond.session']).toBe(formatSessionToken({}));
	});
});

describe('a primary that cannot be reached', () => {
	test('has writes wait for the next primary, given to no database before', async () => {
		databases[0]!.stop();
		databases[1]!.updateScript((_frame, socket) => {
			answerBytes(socket, [createParameterStatus('heatherpond.position', '2:200'), createCommandComplete('INSERT 0 1'), createReadyForQuery('I')]);
		});
		const client = await fixture.openClient();
		const writing = client.query('INSERT INTO t (id) VALUES (1)');
		setTimeout(() => {
			fixture.updateGroup(group => ({
				...group, term: 2, primary: 'b', termStarts: [...group.termStarts, {term: 2, start: 100n}],
			}));
		}, 100);
		const answer = await writing;
		expect([answer.rowCount, databases.map(database => database.queries.length)]).toEqual([1, [0, 1, 0]]);
	});
});

describe('a primary that refuses writes', () => {
	test('has the write wait for the next primary, which runs it once', async () => {
		databases[0]!.updateScript((_frame, socket) => {
			answerBytes(socket, [createErrorResponse({severity: 'ERROR', code: '25006', message: 'read-only'}), createReadyForQuery('I')]);
		});
		databases[1]!.updateScript((_frame, socket) => {
			answerBytes(socket, [createParameterStatus('heatherpond.position', '2:200'), createCommandComplete('INSERT 0 1'), createReadyForQuery('I')]);
		});
		const client = await fixture.openClient();
		const writing = client.query('INSERT INTO t (id) VALUES (1)');
		await waitFor(() => databases[0]!.queries.length === 1, 'the refusal');
		fixture.updateGroup(group => ({
			...group, term: 2, primary: 'b', termStarts: [...group.termStarts, {term: 2, start: 100n}],
		}));
		const answer = await writing;
		expect([answer.rowCount, databases.map(database => database.queries.length)]).toEqual([1, [1, 1, 0]]);
	});
});
