/** Connection to a database over the PostgreSQL protocol. It carries one exchange of request and response at a time. */
import {Buffer} from 'node:buffer';
import {createConnection, type Socket} from 'node:net';
import {serialize} from 'pg-protocol';
import type {
	Clock, Deadline, LogPosition, Member,
} from 'heatherpond-core';
import {
	BACKEND, createFieldReader, createFrameReader, parseServerError, WireError, type Frame, type TransactionStatus,
} from 'heatherpond-wire';
import {createConnectionStatements, type ConnectionStatements} from './connection-statements.js';
import {UpstreamError} from './postgres-error.js';
import {createAuthenticationListener, type UpstreamCredentials} from './upstream-authentication.js';

/** Options for opening a connection. */
export type UpstreamConnectionOptions = {
	readonly member: Member;
	/** Database name in the startup message. */
	readonly database: string;
	readonly credentials: UpstreamCredentials;
	/** `application_name` that the database sees, as `domain/host`. */
	readonly applicationName: string;
	readonly clock: Clock;
	/** Time by which the connection must be ready for queries. */
	readonly deadline: Deadline;
};

/** Result of an exchange. */
export type ExchangeResult = {
	/** Transaction status from ReadyForQuery; absent when the exchange ended with the last response to a Flush. */
	readonly status?: TransactionStatus;
	/** Log position that the database reported last. */
	readonly point: LogPosition;
};

/** Handles one frame of a response; an error that it throws rejects the exchange and closes the connection. */
export type FrameListener = (frame: Frame, point: LogPosition) => void;

/** Optional hooks of an exchange. */
export type ExchangeHooks = {
	/** Called after each chunk of received data that did not complete the exchange. */
	readonly onChunkEnd?: () => void;
	/** Called after each frame; returns whether an exchange that ends with Flush is complete. */
	readonly isComplete?: () => boolean;
};

/** Connection to a database that has completed its startup. */
export type UpstreamConnection = {
	readonly member: Member;
	readonly statements: ConnectionStatements;
	/**
	 * Sends messages and passes each response frame to the listener until ReadyForQuery, or until `hooks.isComplete`.
	 *
	 * @throws UpstreamError when the connection closes, the response is malformed, or the deadline passes
	 */
	readonly exchange: (messages: readonly Buffer[], onFrame: FrameListener, deadline: Deadline, hooks?: ExchangeHooks) => Promise<ExchangeResult>;
	readonly isOpen: () => boolean;
	/** Counts the frames received so far; an unchanged count shows that the database has sent nothing. */
	readonly countFrames: () => number;
	/** Stops reading from the socket until `resume`, which applies backpressure to the database. */
	readonly pause: () => void;
	readonly resume: () => void;
	/** Calls the listener once when the connection has closed, for any reason. */
	readonly registerCloseListener: (listener: () => void) => void;
	/** Closes the connection and rejects a running exchange; data that still arrives is discarded. */
	readonly destroy: () => void;
};

/** Exchange whose response has not been received in full. */
type PendingExchange = ExchangeHooks & {
	readonly onFrame: FrameListener;
	readonly resolve: (end: ExchangeResult) => void;
	readonly reject: (error: unknown) => void;
};

/** Name of the ParameterStatus parameter with which a database reports a log position, as `term:position`. */
export const POSITION_PARAMETER = 'heatherpond.position';

const POSITION_VALUE = /^(?<term>\d{1,15}):(?<position>\d{1,20})$/v;
const POSITION_PREFIX = Buffer.from(`${POSITION_PARAMETER}\0`);
/** Startup parameters that let a database read SQL as the proxy does, whatever its own defaults are. */
const SQL_GRAMMAR = {standard_conforming_strings: 'on'};
/** Maximum size of one message of a response, such as a row, in bytes. */
const MAX_FRAME_BYTES = 67_108_864;
const INITIAL_POSITION: LogPosition = {term: 0, position: 0n};

/** Socket of a connection and the state of its exchange. */
type Channel = {
	readonly socket: Socket;
	exchange: PendingExchange | undefined;
	point: LogPosition;
	frameCount: number;
};

/**
 * Opens a connection, authenticates, and waits until the database is ready for queries.
 *
 * @throws UpstreamError when the database rejects the connection or is not ready by the deadline
 */
export async function openUpstreamConnection(options: UpstreamConnectionOptions): Promise<UpstreamConnection> {
	const {member, clock} = options;
	const channel = createChannel(createConnection({host: member.host, port: member.port, noDelay: true}));
	const connection = createUpstreamConnection(channel, member, clock);
	const startup = serialize.startup({
		user: options.credentials.user, database: options.database, application_name: options.applicationName, ...SQL_GRAMMAR,
	});
	await connection.exchange([startup], createAuthenticationListener(channel.socket, options.credentials), options.deadline).catch((error: unknown) => {
		connection.destroy();
		throw new UpstreamError(`could not connect to database ${member.name}`, {cause: error, props: {wasDispatched: false}});
	});
	return connection;
}

function createChannel(socket: Socket): Channel {
	const channel: Channel = {
		socket, exchange: undefined, point: INITIAL_POSITION, frameCount: 0,
	};
	const reader = createFrameReader({maxFrameBytes: MAX_FRAME_BYTES, hasStartup: false});
	socket.on('data', chunk => {
		try {
			reader.read(chunk).forEach(frame => {
				handleFrame(channel, frame);
			});
			channel.exchange?.onChunkEnd?.();
		} catch (error) {
			failExchange(channel, convertReadError(error));
			socket.destroy();
		}
	});
	socket.on('error', () => {
		socket.destroy();
	});
	socket.once('close', () => {
		failExchange(channel, new UpstreamError('the connection to the database was closed', {props: {wasDispatched: true}}));
	});
	return channel;
}

function createUpstreamConnection(channel: Channel, member: Member, clock: Clock): UpstreamConnection {
	const {socket} = channel;
	function destroy(): void {
		socket.destroy();
		failExchange(channel, new UpstreamError('the connection to the database was closed', {props: {wasDispatched: true}}));
	}

	return {
		member,
		statements: createConnectionStatements(),
		async exchange(messages, onFrame, deadline, hooks) {
			if (socket.destroyed) {
				throw new UpstreamError('the connection to the database is closed');
			}

			socket.resume();
			const result = new Promise<ExchangeResult>((resolve, reject) => {
				channel.exchange = {
					...hooks, onFrame, resolve, reject,
				};
			});
			const stopTimer = clock.registerTimer(deadline, () => {
				failExchange(channel, new UpstreamError('the database did not respond by the deadline', {props: {wasDispatched: true, isTimeout: true}}));
				socket.destroy();
			});
			socket.write(messages.length === 1 ? messages[0]! : Buffer.concat(messages));
			try {
				return await result;
			} finally {
				stopTimer();
			}
		},
		isOpen: () => !socket.destroyed,
		countFrames: () => channel.frameCount,
		pause() {
			socket.pause();
		},
		resume() {
			socket.resume();
		},
		registerCloseListener(listener) {
			if (socket.closed) {
				listener();
			} else {
				socket.once('close', listener);
			}
		},
		destroy,
	};
}

/**
 * Converts a framing error to an UpstreamError, since the connection is unusable afterwards; other errors come from
 * listeners and pass unchanged.
 */
function convertReadError(error: unknown): unknown {
	if (!(error instanceof WireError)) {
		return error;
	}

	return new UpstreamError('the database sent a malformed or oversized message', {cause: error, props: {wasDispatched: true, isTooLarge: error.reason === 'too_large'}});
}

function failExchange(channel: Channel, error: unknown): void {
	const {exchange} = channel;
	channel.exchange = undefined;
	exchange?.reject(error);
}

function handleFrame(channel: Channel, frame: Frame): void {
	const {exchange, socket} = channel;
	channel.frameCount++;
	if (socket.destroyed) {
		return;
	}

	if (frame.type === BACKEND.parameterStatus) {
		channel.point = parseReportedPosition(frame) ?? channel.point;
	} else if (!exchange) {
		handleUnsolicitedFrame(channel, frame);
	} else if (frame.type === BACKEND.readyForQuery) {
		channel.exchange = undefined;
		exchange.resolve({status: String.fromCodePoint(frame.body[0]!) as TransactionStatus, point: channel.point});
	} else {
		checkNotFatal(frame);
		exchange.onFrame(frame, channel.point);
		if (exchange.isComplete?.()) {
			channel.exchange = undefined;
			exchange.resolve({point: channel.point});
		}
	}
}

/** Closes the connection on any frame outside of an exchange other than a notice or notification. */
function handleUnsolicitedFrame({socket}: Channel, frame: Frame): void {
	if (frame.type !== BACKEND.noticeResponse && frame.type !== BACKEND.notification) {
		socket.destroy();
	}
}

/**
 * Throws on a fatal error. It closes the upstream connection but not the client's, so it is handled like a lost
 * connection.
 */
function checkNotFatal(frame: Frame): void {
	if (frame.type !== BACKEND.errorResponse) {
		return;
	}

	const error = parseServerError(frame.body);
	if (error.severity === 'FATAL' || error.severity === 'PANIC') {
		throw new UpstreamError(`the database closed the connection with a fatal error: ${error.message}`, {props: {wasDispatched: true}});
	}
}

function parseReportedPosition(frame: Frame): LogPosition | undefined {
	if (frame.body.compare(POSITION_PREFIX, 0, POSITION_PREFIX.length, 0, Math.min(POSITION_PREFIX.length, frame.body.length)) !== 0) {
		return undefined;
	}

	const fields = createFieldReader(frame.body);
	fields.readText();
	const groups = POSITION_VALUE.exec(fields.readText())?.groups;
	if (!groups) {
		throw new WireError('the database reported a log position that is not of the form term:position');
	}

	return {term: Number(groups.term), position: BigInt(groups.position!)};
}
