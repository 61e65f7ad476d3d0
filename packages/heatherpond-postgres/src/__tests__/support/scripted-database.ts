/** Fake database whose responses are scripted by the test. */
import type {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import type {Member} from 'heatherpond-core';
import {
	createAuthenticationOk, createCommandComplete, createDataRow, createFrameReader, createParameterStatus, createReadyForQuery, createRowDescription, FRONTEND, parseText, type Frame,
} from 'heatherpond-wire';

/** Responds to one message of a session after its startup. */
export type Script = (frame: Frame, socket: Socket) => void;

export type ScriptedDatabase = {
	readonly member: Member;
	/** SQL texts of the Query messages received on all connections, in order of arrival. */
	readonly queries: readonly string[];
	/** Open connections. */
	readonly sockets: ReadonlySet<Socket>;
	/** Replaces the script for subsequent messages. */
	readonly updateScript: (script: Script) => void;
	readonly stop: () => void;
};

/** Sends the response to a Query: a log position and one row. */
export function sendRow(socket: Socket, point: string, value = 'v'): void {
	const description = createRowDescription([{name: 'value', typeId: 25}]);
	sendMessages(socket, [createParameterStatus('heatherpond.position', point), description, createDataRow([value]), createCommandComplete('SELECT 1'), createReadyForQuery('I')]);
}

/** Sends messages in one write. */
export function sendMessages(socket: Socket, messages: readonly Buffer[]): void {
	socket.cork();
	messages.forEach(message => {
		socket.write(message);
	});
	socket.uncork();
}

/** Starts a fake database that responds with `script`; it accepts every connection without authentication. */
export async function startScriptedDatabase(name: string, script: Script): Promise<ScriptedDatabase> {
	const queries: string[] = [];
	const sockets = new Set<Socket>();
	let current = script;
	const server = createServer({noDelay: true}, socket => {
		const reader = createFrameReader({maxFrameBytes: 1_048_576, hasStartup: true});
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		socket.on('data', chunk => {
			reader.read(chunk).forEach(frame => {
				if (frame.type === 0) {
					sendMessages(socket, [createAuthenticationOk(), createReadyForQuery('I')]);
					return;
				}

				if (frame.type === FRONTEND.query) {
					queries.push(parseText(frame.body));
				}

				current(frame, socket);
			});
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		member: {
			name, host: '127.0.0.1', port: (server.address() as AddressInfo).port, domain: 'd', slots: 4, connections: 20,
		},
		queries,
		sockets,
		updateScript(next) {
			current = next;
		},
		stop() {
			server.close();
			sockets.forEach(socket => {
				socket.destroy();
			});
		},
	};
}
