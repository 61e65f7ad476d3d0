/** Worker thread that runs the clients. They send pre-encoded messages to keep their own overhead low. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {createMessage, encodeText, FRONTEND} from 'heatherpond-wire';
import {handleCalls} from './worker-calls.js';

/** Port and credentials of a client connection. */
export type ClientLogin = {readonly port: number; readonly user: string; readonly password: string; readonly database: string};

/** A closed-loop run: each client sends its next statement when the previous one has completed. */
export type LoadRun = {
	readonly login: ClientLogin;
	readonly clients: number;
	readonly durationMs: number;
	/** `read` selects and `write` updates a row that belongs to the client. */
	readonly kind: 'read' | 'write';
};

/** Results of a run. */
export type LoadResult = {
	readonly statements: number;
	readonly seconds: number;
	readonly errors: number;
	/** Latency of every statement in milliseconds, in ascending order. */
	readonly latencies: Float64Array;
};

const PROTOCOL_3 = 196_608;
const READY_FOR_QUERY = 'Z'.codePointAt(0)!;
const ERROR_RESPONSE = 'E'.codePointAt(0)!;
const HEADER_BYTES = 5;
const idleSockets: Socket[] = [];

function createStartup({user, database}: ClientLogin): Buffer {
	const version = Buffer.alloc(4);
	version.writeInt32BE(PROTOCOL_3);
	const body = Buffer.concat([version, ...['user', user, 'database', database, ''].map(text => encodeText(text))]);
	const length = Buffer.alloc(4);
	length.writeInt32BE(body.length + 4);
	return Buffer.concat([length, body]);
}

/** Calls the listener on each ReadyForQuery message; `hasError` tells whether an ErrorResponse preceded it. */
function registerReadyListener(socket: Socket, listener: (hasError: boolean) => void): void {
	let pending = Buffer.alloc(0);
	let hasError = false;
	socket.on('data', chunk => {
		pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
		let offset = 0;
		while (pending.length - offset >= HEADER_BYTES) {
			const end = offset + 1 + pending.readUInt32BE(offset + 1);
			if (end > pending.length) {
				break;
			}

			const type = pending[offset]!;
			hasError ||= type === ERROR_RESPONSE;
			offset = end;
			if (type === READY_FOR_QUERY) {
				const failed = hasError;
				hasError = false;
				listener(failed);
			}
		}

		pending = pending.subarray(offset);
	});
}

async function openClient(login: ClientLogin, onReady: (hasError: boolean) => void): Promise<Socket> {
	const socket = connect({port: login.port, host: '127.0.0.1', noDelay: true});
	await once(socket, 'connect');
	await new Promise<void>(resolve => {
		let isFirst = true;
		registerReadyListener(socket, hasError => {
			if (isFirst) {
				isFirst = false;
				resolve();
			} else {
				onReady(hasError);
			}
		});
		socket.write(createStartup(login));
		socket.write(createMessage(FRONTEND.password, encodeText(login.password)));
	});
	return socket;
}

function createStatement(kind: LoadRun['kind'], client: number): Buffer {
	const text = kind === 'read' ? 'SELECT value FROM items WHERE id = $1' : 'UPDATE items SET value = \'w\' WHERE id = $1';
	const id = Buffer.from(`client-${client}`);
	const values = Buffer.alloc(8);
	values.writeInt16BE(0, 0);
	values.writeInt16BE(1, 2);
	values.writeInt32BE(id.length, 4);
	return Buffer.concat([
		createMessage(FRONTEND.parse, encodeText(''), encodeText(text), Buffer.alloc(2)),
		createMessage(FRONTEND.bind, encodeText(''), encodeText(''), values, id, Buffer.alloc(2)),
		createMessage(FRONTEND.describe, encodeText('P')),
		createMessage(FRONTEND.execute, encodeText(''), Buffer.alloc(4)),
		createMessage(FRONTEND.sync),
	]);
}

/** Runs one client until `endsAt`; returns its latencies and number of errors. */
async function runClient({login, kind}: LoadRun, client: number, endsAt: number): Promise<{readonly latencies: number[]; readonly errors: number}> {
	const statement = createStatement(kind, client);
	const latencies: number[] = [];
	let errors = 0;
	let startedAt = 0;
	let endRun: () => void;
	const finished = new Promise<void>(resolve => {
		endRun = resolve;
	});
	function sendNext(): void {
		startedAt = performance.now();
		if (startedAt >= endsAt) {
			endRun();
		} else {
			socket.write(statement);
		}
	}

	const socket = await openClient(login, hasError => {
		latencies.push(performance.now() - startedAt);
		errors += hasError ? 1 : 0;
		sendNext();
	});
	sendNext();
	await finished;
	socket.destroy();
	return {latencies, errors};
}

async function runLoad(run: LoadRun): Promise<LoadResult> {
	const startedAt = performance.now();
	const results = await Promise.all(Array.from({length: run.clients}, async (_value, client) => runClient(run, client, startedAt + run.durationMs)));
	const latencies = Float64Array.from(results.flatMap(result => result.latencies)).toSorted();
	return {
		statements: latencies.length, seconds: (performance.now() - startedAt) / 1000, errors: results.reduce((sum, result) => sum + result.errors, 0), latencies,
	};
}

/** Number of connections opened concurrently. */
const CONCURRENT_CONNECTS = 50;

async function openIdle({login, clients}: {readonly login: ClientLogin; readonly clients: number}): Promise<number> {
	while (idleSockets.length < clients) {
		const batchSize = Math.min(CONCURRENT_CONNECTS, clients - idleSockets.length);
		idleSockets.push(...await Promise.all(Array.from({length: batchSize}, async () => openClient(login, () => undefined))));
	}

	return idleSockets.length;
}

async function createRows({login, clients}: {readonly login: ClientLogin; readonly clients: number}): Promise<void> {
	let handleReady: (hasError: boolean) => void = () => undefined;
	const socket = await openClient(login, hasError => {
		handleReady(hasError);
	});
	async function runQuery(text: string): Promise<void> {
		await new Promise<boolean>(resolve => {
			handleReady = resolve;
			socket.write(createMessage(FRONTEND.query, encodeText(text)));
		});
	}

	await runQuery('CREATE TABLE IF NOT EXISTS items (id text PRIMARY KEY, value text)');
	for (let client = 0; client < clients; client++) {
		await runQuery(`INSERT INTO items (id, value) VALUES ('client-${client}', 'first')`);
	}

	socket.destroy();
}

const calls = {run: runLoad, openIdle, createRows};

/** Calls handled by this worker. */
export type LoadCalls = typeof calls;

handleCalls(calls);
