/** One connection to a stand-in database: startup, authentication, simple query protocol and message dispatch. */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {
	createAuthenticationOk, createBackendKeyData, createEmptyQueryResponse, createErrorResponse, createFrameReader, createParameterStatus, createPasswordRequest, createReadyForQuery, FRONTEND,
	parseStartup, parseText, WireError, type Frame,
} from 'heatherpond-wire';
import {openConnectionLine, type ConnectionLine} from './connection-line.js';
import {
	endImplicit, runStatement, sendAnswer, sendError, sendPoint, type ConnectionState,
} from './connection-state.js';
import type {DatabaseServerOptions} from './database-server.js';
import {createDatabaseSession} from './database-session.js';
import {handleExtendedSafely} from './extended-query.js';
import type {Slots} from './slots.js';
import {parseStatements} from './sql-parser.js';

/** Options of a connection: those of the server, and the resources that its connections share. */
export type ConnectionOptions = Omit<DatabaseServerOptions, 'slots'> & {
	readonly slots: Slots;
	/** Reserves one of the limited client connections until the socket closes; returns whether one was free. */
	readonly takeConnection: (socket: Socket) => boolean;
	/** Called for each SELECT of a client that is not a control user. */
	readonly handleRead: () => void;
};

const CLIENT_ENCODING = 'UTF8'; // eslint-disable-line unicorn/text-encoding-identifier-case -- PostgreSQL's spelling
const MAX_FRAME_BYTES = 16_777_216;

/** Serves a connection until it closes. */
export async function handleDatabaseConnection(socket: Socket, options: ConnectionOptions): Promise<void> {
	const reader = createFrameReader({maxFrameBytes: MAX_FRAME_BYTES, hasStartup: true});
	const line = openConnectionLine(socket, {...options, faults: options.member.faults});
	let startup: ReadonlyMap<string, string> | undefined;
	let state: ConnectionState | undefined;

	async function handleFrame(frame: Frame): Promise<void> {
		if (frame.type === 0) {
			startup = handleStartup(line, frame, reader.expectStartup);
		} else if (line.isSilent()) {
			// Messages on an unresponsive channel are dropped.
		} else if (state) {
			await handleMessage(state, frame);
		} else {
			state = startSession({socket, line}, frame, startup!, options);
		}
	}

	try {
		for await (const chunk of line.input) {
			for (const frame of reader.read(chunk)) {
				await handleFrame(frame);
			}
		}
	} catch (error) {
		if (error instanceof WireError) {
			line.send(createErrorResponse({severity: 'FATAL', code: '08P01', message: error.message}));
		}
	} finally {
		state?.session.close();
		line.destroy();
	}
}

/** Handles the startup packet; returns its parameters, or `undefined` for an encryption or cancel request. */
function handleStartup(line: ConnectionLine, frame: Frame, expectStartup: () => void): ReadonlyMap<string, string> | undefined {
	const message = parseStartup(frame.body);
	if (message.kind === 'encryption') {
		expectStartup();
		line.send(Buffer.from('N'));
		return undefined;
	}

	if (message.kind === 'cancel') {
		line.destroy();
		return undefined;
	}

	line.writeDomain(message.parameters.get('application_name')?.split('/').at(0) ?? '');
	line.send(createPasswordRequest());
	return message.parameters;
}

/** A client that has not been authenticated yet. */
type OpenLine = {readonly socket: Socket; readonly line: ConnectionLine};

/** Authenticates the client and starts its session; returns `undefined` when the client is rejected. */
function startSession({socket, line}: OpenLine, frame: Frame, startup: ReadonlyMap<string, string>, options: ConnectionOptions): ConnectionState | undefined {
	const password = frame.type === FRONTEND.password ? parseText(frame.body) : '';
	const user = options.users.find(candidate => candidate.user === startup.get('user') && candidate.password === password);
	if (!user) {
		line.end(createErrorResponse({severity: 'FATAL', code: '28P01', message: `password authentication failed for user "${startup.get('user')}"`}));
		return undefined;
	}

	if (!user.isControl && !options.takeConnection(socket)) {
		line.end(createErrorResponse({severity: 'FATAL', code: '53300', message: 'sorry, too many clients already'}));
		return undefined;
	}

	const state: ConnectionState = {
		line, faults: options.member.faults, session: createDatabaseSession({...options, isControl: user.isControl}), statements: new Map(), portals: new Map(), isSkipping: false, reportedPoint: '',
	};
	line.send(createAuthenticationOk());
	line.send(createParameterStatus('server_version', '16.0'));
	line.send(createParameterStatus('client_encoding', CLIENT_ENCODING));
	line.send(createParameterStatus('standard_conforming_strings', 'on'));
	sendPoint(state);
	line.send(createBackendKeyData(1, 1));
	line.send(createReadyForQuery('I'));
	return state;
}

/** Dispatches one message of an authenticated client. */
async function handleMessage(state: ConnectionState, frame: Frame): Promise<void> {
	switch (frame.type) {
		case FRONTEND.terminate: {
			state.line.end();

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
			if (!state.isSkipping) {
				await handleExtendedSafely(state, frame);
			}
		}
	}
}

/** Ends the extended query sequence and commits the implicit transaction. */
function handleSync(state: ConnectionState): void {
	state.isSkipping = false;
	try {
		endImplicit(state);
	} catch (error) {
		sendError(state, error);
	}

	state.line.send(createReadyForQuery(state.session.readStatus()));
}

/** Runs all statements of a simple query; the implicit transaction commits before the last result is sent. */
async function handleQuery(state: ConnectionState, text: string): Promise<void> {
	try {
		const statements = parseStatements(text);
		if (statements.length === 0) {
			state.line.send(createEmptyQueryResponse());
		}

		for (const [index, statement] of statements.entries()) {
			const answer = await runStatement(state, statement, []);
			if (index === statements.length - 1) {
				endImplicit(state);
			}

			await sendAnswer(state, answer);
		}
	} catch (error) {
		sendError(state, error);
	}

	state.line.send(createReadyForQuery(state.session.readStatus()));
}
