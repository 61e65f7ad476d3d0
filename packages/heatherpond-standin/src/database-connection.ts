/** One connection to a stand-in database: startup, authentication, simple query protocol and message dispatch. */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {
	createAuthenticationOk, createBackendKeyData, createEmptyQueryResponse, createErrorResponse, createFrameReader, createParameterStatus, createPasswordRequest, createReadyForQuery, FRONTEND,
	parseStartup, parseText, WireError, type Frame,
} from 'heatherpond-wire';
import {openClientChannel, type ClientChannel} from './client-channel.js';
import {
	endImplicitTransaction, runStatement, sendResult, sendError, sendLogPosition, type ConnectionState,
} from './connection-state.js';
import type {DatabaseServerOptions} from './database-server.js';
import {createDatabaseSession} from './database-session.js';
import {handleExtendedMessage} from './extended-query.js';
import type {Slots} from './slots.js';
import {resolveDateLiterals} from './sql-dates.js';
import {parseStatements} from './sql-parser.js';

/** Options of a connection: those of the server, and the resources that its connections share. */
export type ConnectionOptions = Omit<DatabaseServerOptions, 'slots'> & {
	readonly slots: Slots;
	/** Reserves one of the limited client connections until the socket closes; returns whether one was free. */
	readonly reserveConnection: (socket: Socket) => boolean;
	/** Called for each SELECT of a client that is not a control user. */
	readonly handleRead: () => void;
};

const CLIENT_ENCODING = 'UTF8'; // eslint-disable-line unicorn/text-encoding-identifier-case -- PostgreSQL's spelling
const MAX_FRAME_BYTES = 16_777_216;

/** Serves a connection until it closes. */
export async function handleDatabaseConnection(socket: Socket, options: ConnectionOptions): Promise<void> {
	const reader = createFrameReader({maxFrameBytes: MAX_FRAME_BYTES, hasStartup: true});
	const channel = openClientChannel(socket, {...options, faults: options.member.faults});
	let startup: ReadonlyMap<string, string> | undefined;
	let state: ConnectionState | undefined;

	async function handleFrame(frame: Frame): Promise<void> {
		if (frame.type === 0) {
			startup = handleStartup(channel, frame, reader.expectStartup);
		} else if (channel.isUnresponsive()) {
			// Messages on an unresponsive channel are dropped.
		} else if (state) {
			await handleMessage(state, frame);
		} else {
			state = startSession({socket, channel}, frame, startup!, options);
		}
	}

	try {
		for await (const chunk of channel.input) {
			for (const frame of reader.read(chunk)) {
				await handleFrame(frame);
			}
		}
	} catch (error) {
		if (error instanceof WireError) {
			channel.send(createErrorResponse({severity: 'FATAL', code: '08P01', message: error.message}));
		}
	} finally {
		state?.session.close();
		channel.destroy();
	}
}

/** Handles the startup packet; returns its parameters, or `undefined` for an encryption or cancel request. */
function handleStartup(channel: ClientChannel, frame: Frame, expectStartup: () => void): ReadonlyMap<string, string> | undefined {
	const message = parseStartup(frame.body);
	if (message.kind === 'encryption') {
		expectStartup();
		channel.send(Buffer.from('N'));
		return undefined;
	}

	if (message.kind === 'cancel') {
		channel.destroy();
		return undefined;
	}

	channel.setClientDomain(message.parameters.get('application_name')?.split('/').at(0) ?? '');
	channel.send(createPasswordRequest());
	return message.parameters;
}

/** A client that has not been authenticated yet. */
type UnauthenticatedClient = {readonly socket: Socket; readonly channel: ClientChannel};

/** Authenticates the client and starts its session; returns `undefined` when the client is rejected. */
function startSession({socket, channel}: UnauthenticatedClient, frame: Frame, startup: ReadonlyMap<string, string>, options: ConnectionOptions): ConnectionState | undefined {
	const password = frame.type === FRONTEND.password ? parseText(frame.body) : '';
	const user = options.users.find(candidate => candidate.user === startup.get('user') && candidate.password === password);
	if (!user) {
		channel.end(createErrorResponse({severity: 'FATAL', code: '28P01', message: `password authentication failed for user "${startup.get('user')}"`}));
		return undefined;
	}

	if (!user.isControl && !options.reserveConnection(socket)) {
		channel.end(createErrorResponse({severity: 'FATAL', code: '53300', message: 'sorry, too many clients already'}));
		return undefined;
	}

	const portals: ConnectionState['portals'] = new Map();
	const state: ConnectionState = {
		channel,
		faults: options.member.faults,
		session: createDatabaseSession({
			...options, isControl: user.isControl, handleTransactionEnd() {
				portals.clear();
			},
		}),
		observer: user.isControl ? {} : options.member.observer,
		statements: new Map(),
		portals,
		isSkippingUntilSync: false,
		reportedPosition: '',
	};
	channel.send(createAuthenticationOk());
	channel.send(createParameterStatus('server_version', '16.0'));
	channel.send(createParameterStatus('client_encoding', CLIENT_ENCODING));
	channel.send(createParameterStatus('standard_conforming_strings', 'on'));
	sendLogPosition(state);
	channel.send(createBackendKeyData(1, 1));
	channel.send(createReadyForQuery('I'));
	return state;
}

/** Dispatches one message of an authenticated client. */
async function handleMessage(state: ConnectionState, frame: Frame): Promise<void> {
	switch (frame.type) {
		case FRONTEND.terminate: {
			state.channel.end();

			break;
		}

		case FRONTEND.query: {
			await handleQuery(state, parseText(frame.body));

			break;
		}

		case FRONTEND.sync: {
			handleSync(state);

			break;
		}

		default: {
			if (!state.isSkippingUntilSync) {
				await handleExtendedMessage(state, frame);
			}
		}
	}
}

/** Ends the extended query sequence and commits the implicit transaction. */
function handleSync(state: ConnectionState): void {
	state.isSkippingUntilSync = false;
	try {
		endImplicitTransaction(state);
	} catch (error) {
		sendError(state, error);
	}

	sendReady(state);
}

/** Reports the transaction status. Portals end with their transaction, which Parse and Bind have begun as well. */
function sendReady(state: ConnectionState): void {
	const status = state.session.readStatus();
	if (status === 'I') {
		state.portals.clear();
	}

	state.channel.send(createReadyForQuery(status));
}

/** Runs all statements of a simple query; the implicit transaction commits before the last result is sent. */
async function handleQuery(state: ConnectionState, text: string): Promise<void> {
	state.statements.delete('');
	state.portals.delete('');
	try {
		const statements = parseStatements(text);
		if (statements.length === 0) {
			state.channel.send(createEmptyQueryResponse());
		}

		for (const [index, statement] of statements.entries()) {
			const resolved = resolveDateLiterals(statement, state.session.readSetting('datestyle')!);
			const result = await runStatement(state, {text, statement: resolved, values: []});
			if (index === statements.length - 1) {
				endImplicitTransaction(state);
			}

			await sendResult(state, result);
		}
	} catch (error) {
		sendError(state, error);
	}

	sendReady(state);
}
