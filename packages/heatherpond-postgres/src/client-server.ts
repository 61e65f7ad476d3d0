/** Listens for client connections, limits them per key, and closes them at a graceful shutdown. */
import {createServer, type AddressInfo, type Socket} from 'node:net';
import type {SecureContext} from 'node:tls';
import {startListening, waitUntil, type Deadline} from 'heatherpond-core';
import {startClientConnection, type ClientConnection} from './client-connection.js';
import {createClientSession, type ClientSession} from './client-session.js';
import type {ClientServices} from './client-services.js';
import {handleStartupFrame, type AcceptedClient} from './client-startup.js';
import {createCancelRegistry, type CancelKey, type CancelRegistry} from './cancel-registry.js';
import {createConnectionCounter, type ConnectionCounter} from './connection-counter.js';
import {RequestError} from './postgres-error.js';
import {sendStartupCompletion} from './session-start.js';
import {SQL_STATE} from './sql-states.js';

/** Options of `startClientServer`. */
export type ClientServerOptions = {
	/** IP address to listen on. */
	readonly address: string;
	/** Port to listen on; 0 for any free port. */
	readonly port: number;
	readonly services: ClientServices;
	/** Certificate and key for TLS; if absent, requests for TLS are declined. */
	readonly secureContext?: SecureContext;
	/** Called with the error of each connection that could not be accepted. */
	readonly handleAcceptError: (error: Error) => void;
	/** Closes the port and all connections at once. */
	readonly signal: AbortSignal;
};

/** A listening server for clients. */
export type ClientServer = {
	readonly port: number;
	readonly countConnections: () => number;
	/** Counts the response bytes that are buffered for slow clients. */
	readonly countBufferedBytes: () => number;
	/**
	 * Shuts down gracefully: refuses new connections, closes idle ones, and lets requests and transactions finish until
	 * shortly before the deadline; what is still in progress then is answered and ended. Resolves when every connection has
	 * closed. Later calls wait for the same shutdown.
	 */
	readonly drain: (deadline: Deadline) => Promise<void>;
};

/** Longest startup or password message, in bytes. */
const MAX_STARTUP_BYTES = 10_000;

/** Milliseconds that a client has to close its side of a connection that this server has ended. */
const CLOSE_TIMEOUT_MS = 1000;

/** Part of the time for a shutdown that is left for the last answers, and the most that is, in milliseconds. */
const ANSWER_FRACTION = 0.2;
const MAX_ANSWER_MS = 500;

/** State shared by all connections of one server. */
type ServerState = {
	readonly options: ClientServerOptions;
	readonly connections: Set<ClientConnection>;
	readonly sessions: Set<ClientSession>;
	readonly cancelRegistry: CancelRegistry;
	readonly counter: ConnectionCounter;
	isDraining: boolean;
};

/** Starts a server; resolves when it listens. */
export async function startClientServer(options: ClientServerOptions): Promise<ClientServer> {
	const {services, signal} = options;
	const state: ServerState = {
		options, connections: new Set(), sessions: new Set(), cancelRegistry: createCancelRegistry(), counter: createConnectionCounter(), isDraining: false,
	};
	const server = createServer({noDelay: true, keepAlive: true}, socket => {
		handleSocket(state, socket);
	});
	await startListening(server, {host: options.address, port: options.port}, options.handleAcceptError);
	const stopViewListener = services.blackboard.registerListener(({view}) => view, () => {
		state.sessions.forEach(session => {
			session.checkAccess();
		});
	});
	const drained = new AbortController();

	async function closeGracefully(deadline: Deadline): Promise<void> {
		if (!state.isDraining) {
			state.isDraining = true;
			server.close(() => {
				drained.abort();
			});
			state.sessions.forEach(session => {
				session.startDrain();
			});
		}

		const answerMs = Math.min(MAX_ANSWER_MS, (deadline - services.clock.readNow()) * ANSWER_FRACTION);
		await waitUntil(services.clock, deadline - answerMs, drained.signal);
		state.sessions.forEach(session => {
			session.end();
		});
		await waitUntil(services.clock, deadline, drained.signal);
		closeAll();
	}

	function closeAll(): void {
		state.connections.forEach(connection => {
			connection.destroy();
		});
	}

	const stopPhaseListener = services.blackboard.registerListener(({phase}) => phase, phase => {
		if (phase === 'draining') {
			void closeGracefully(services.clock.readNow() + services.limits.drainTimeoutMs);
		}
	});
	signal.addEventListener('abort', () => {
		stopViewListener();
		stopPhaseListener();
		server.close();
		closeAll();
	}, {once: true});
	return {
		port: (server.address() as AddressInfo).port,
		countConnections: () => state.connections.size,
		countBufferedBytes: () => [...state.connections].reduce((sum, connection) => sum + connection.output.countBufferedBytes(), 0),
		drain: closeGracefully,
	};
}

function handleSocket(state: ServerState, socket: Socket): void {
	const {services, secureContext} = state.options;
	let session: ClientSession | undefined;
	const stopTimer = services.clock.registerTimer(services.clock.readNow() + services.limits.startupTimeoutMs, () => {
		connection.endWithError({severity: 'FATAL', code: SQL_STATE.idleTimeout, message: 'the startup was not completed in time'});
	});
	const connection: ClientConnection = startClientConnection({
		socket,
		maxStartupBytes: MAX_STARTUP_BYTES,
		onFrame(frame) {
			handleStartupFrame({
				connection, services, cancelRegistry: state.cancelRegistry, secureContext, onAccepted(client) {
					stopTimer();
					session = startSession(state, connection, client);
				},
			}, frame);
		},
		onEnd() {
			stopTimer();
			session?.stop();
		},
		onClose() {
			state.connections.delete(connection);
		},
		registerCloseTimer: callback => services.clock.registerTimer(services.clock.readNow() + CLOSE_TIMEOUT_MS, callback),
	});
	state.connections.add(connection);
}

function startSession(state: ServerState, connection: ClientConnection, client: AcceptedClient): ClientSession | undefined {
	const {services} = state.options;
	const {keyHash} = client.credentials;
	if (state.isDraining) {
		connection.endWithError({severity: 'FATAL', code: SQL_STATE.adminShutdown, message: 'this host is shutting down; connect to another host'});
		return undefined;
	}

	if (keyHash !== undefined && !state.counter.take(keyHash, client.access.contract?.connectionsPerKey ?? Number.POSITIVE_INFINITY)) {
		services.recordEvent('callerRefused', {team: client.credentials.team, reason: 'too_many_connections'});
		connection.endWithError({severity: 'FATAL', code: SQL_STATE.tooManyConnections, message: 'too many connections are open for this key'});
		return undefined;
	}

	try {
		const session = createClientSession({connection, services, client});
		const key = state.cancelRegistry.register(session.cancel);
		state.sessions.add(session);
		connection.updateLimit(services.limits.maxFrameBytes);
		connection.updateHandler(session.handleFrame);
		sendStartupCompletion(connection, session.readSettings(), key);
		return {
			...session, stop() {
				endSession(state, session, {key, keyHash});
			},
		};
	} catch (error) {
		state.counter.release(keyHash);
		const fields = error instanceof RequestError ? error.fields : {severity: 'FATAL' as const, code: SQL_STATE.internalError, message: 'the connection was closed because of an internal error'};
		connection.endWithError(fields);
		return undefined;
	}
}

function endSession(state: ServerState, session: ClientSession, {key, keyHash}: {readonly key: CancelKey; readonly keyHash?: string}): void {
	state.sessions.delete(session);
	state.cancelRegistry.remove(key);
	state.counter.release(keyHash);
	session.stop();
}
