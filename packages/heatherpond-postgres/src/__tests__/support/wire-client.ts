/** A client at the level of protocol messages, for tests that need sequences which no driver sends. */
import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {serialize} from 'pg-protocol';
import {createFrameReader, parseServerError, type Frame} from 'heatherpond-wire';
import {TEST_KEY, waitFor} from './test-group.js';

/** An authenticated connection on which a test sends encoded messages and inspects the received ones. */
export type WireClient = {
	readonly socket: Socket;
	readonly send: (...messages: readonly Buffer[]) => void;
	/** Waits for the next ReadyForQuery or the close; returns the type letters of all messages not yet waited for. */
	readonly waitForReady: () => Promise<string>;
	/** Waits for `count` further messages and returns their type letters. */
	readonly waitForMessages: (count: number) => Promise<string>;
	/** Returns the SQLSTATEs of all errors received so far. */
	readonly readErrors: () => readonly string[];
	/** All messages received so far. */
	readonly frames: readonly Frame[];
	readonly isClosed: () => boolean;
	/** Returns the cancellation key of the session. */
	readonly readCancelKey: () => {readonly processId: number; readonly secret: number};
};

/** Credentials and route of a client. */
export type WireLogin = {readonly user: string; readonly password: string; readonly database: string};

const TEAM_LOGIN: WireLogin = {user: 'team', password: TEST_KEY, database: 'r'};

/** Logs in over a connected socket, as the test team by default, and waits for the end of the startup. */
export async function openWireClient(socket: Socket, login: WireLogin = TEAM_LOGIN): Promise<WireClient> {
	const frames: Frame[] = [];
	const reader = createFrameReader({maxFrameBytes: 16_777_216, hasStartup: false});
	let taken = 0;
	let isClosed = false;
	socket.on('data', chunk => {
		frames.push(...reader.read(chunk));
	});
	socket.on('close', () => {
		isClosed = true;
	});

	function takeLetters(end: number): string {
		const letters = frames.slice(taken, end).map(frame => String.fromCodePoint(frame.type)).join('');
		taken = end;
		return letters;
	}

	const client: WireClient = {
		socket,
		send(...messages) {
			messages.forEach(message => {
				socket.write(message);
			});
		},
		async waitForReady() {
			const from = taken;
			function findReady(): number {
				return frames.findIndex((frame, index) => index >= from && String.fromCodePoint(frame.type) === 'Z');
			}

			await waitFor(() => findReady() !== -1 || isClosed, 'ReadyForQuery');
			return takeLetters(findReady() === -1 ? frames.length : findReady() + 1);
		},
		async waitForMessages(count) {
			await waitFor(() => frames.length >= taken + count, `${count} messages`);
			return takeLetters(taken + count);
		},
		readErrors: () => frames.filter(frame => String.fromCodePoint(frame.type) === 'E').map(frame => parseServerError(frame.body).code),
		frames,
		isClosed: () => isClosed,
		readCancelKey() {
			const {body} = frames.find(frame => String.fromCodePoint(frame.type) === 'K')!;
			return {processId: body.readInt32BE(0), secret: body.readInt32BE(4)};
		},
	};
	client.send(serialize.startup({user: login.user, database: login.database}), serialize.password(login.password));
	await client.waitForReady();
	return client;
}
