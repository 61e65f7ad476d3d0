/**
 * Forwards the response of a database to the client. Rows read from a replica are buffered until the log position they
 * were read at is known to satisfy the request; acknowledgements of writes are buffered until the primacy of the
 * database is proven.
 */
import type {Buffer} from 'node:buffer';
import {UnprovenError, type LogPosition} from 'heatherpond-core';
import {
	BACKEND, parseServerError, parseText, type Frame,
} from 'heatherpond-wire';
import type {ClientOutput} from './client-output.js';
import type {EncodedRequest} from './request-encoding.js';
import type {RunningRequest, ConnectionAssignment} from './running-request.js';
import {SQL_STATE} from './sql-states.js';

/** Why a response is discarded: the database is `behind` the required position, or `fenced`, that is, no longer primary. */
export type DiscardReason = 'behind' | 'fenced';

/** Forwards the response to one request while it arrives. */
export type ClientResponse = {
	/** Emits the messages that precede the first message of the database. */
	readonly start: () => void;
	/** Handles the next message of the database; `position` is the log position that it was read at. */
	readonly take: (frame: Frame, position: LogPosition) => void;
	/** Flushes the output and pauses the upstream connection while the client reads more slowly than the database sends. */
	readonly handleChunkEnd: () => void;
	/** Whether a buffered acknowledgement awaits the proof of primacy. */
	readonly hasAcknowledgement: () => boolean;
	/** Returns the last command tag, or an empty string before the first one. */
	readonly readTag: () => string;
	/** Returns the SQLSTATE of the error of the database, if it reported one. */
	readonly readErrorCode: () => string | undefined;
	/** Sends the buffered messages to the client and stops buffering. */
	readonly release: () => void;
	/** Returns why the response was discarded; `undefined` if it was not. */
	readonly readDiscardReason: () => DiscardReason | undefined;
};

/** Options of `createClientResponse`. */
export type ClientResponseOptions = {
	readonly output: ClientOutput;
	readonly running: RunningRequest;
	readonly assignment: ConnectionAssignment;
	readonly encoded: EncodedRequest;
	/** Whether a response read at the given log position satisfies the request. */
	readonly isFreshEnough: (position: LogPosition) => boolean;
	/** Whether the request may be retried on another database when this one refuses it as read-only. */
	readonly isRetryable: boolean;
	/** Largest number of response bytes that may be buffered. */
	readonly maxHeldBytes: number;
	/** Whether to record the command tag for `readTag`. */
	readonly recordsTag: boolean;
	/** Whether the whole response is buffered until `release`. */
	readonly buffersAll: boolean;
};

/** Messages that are preceded by the report of the log position they were read at. */
const POSITIONED_TYPES = new Set<number>([BACKEND.dataRow, BACKEND.commandComplete, BACKEND.errorResponse, BACKEND.emptyQueryResponse, BACKEND.portalSuspended]);

/** Creates the forwarder of one response. */
export function createClientResponse(options: ClientResponseOptions): ClientResponse {
	const {output, running, assignment, encoded, maxHeldBytes} = options;
	const isWrite = assignment.isPrimary && !running.request.isRead;
	let buffered: Buffer[] = [];
	let bufferedBytes = 0;
	let checkedPosition: LogPosition | undefined;
	let isBuffering = isWrite || options.buffersAll;
	let hasAcknowledgement = false;
	let tag = '';
	let errorCode: string | undefined;
	let discardReason: DiscardReason | undefined;

	function sendNow(bytes: Buffer): void {
		running.hasResponseStarted = true;
		output.write(bytes);
	}

	/** Rows returned by a write are sent early if they exceed the buffer; its acknowledgement never is. */
	function appendBuffered(bytes: Buffer): void {
		if (bufferedBytes + bytes.length <= maxHeldBytes) {
			bufferedBytes += bytes.length;
			buffered.push(bytes);
			return;
		}

		if (hasAcknowledgement || options.buffersAll || checkedPosition === undefined) {
			throw new UnprovenError('the response is too large to be buffered until it is confirmed', {props: {reason: 'aborted'}});
		}

		isBuffering = false;
		sendBuffered();
		sendNow(bytes);
	}

	function send(bytes: Buffer): void {
		if (isBuffering || checkedPosition === undefined) {
			appendBuffered(bytes);
		} else {
			sendNow(bytes);
		}
	}

	function sendBuffered(): void {
		const released = buffered;
		buffered = [];
		bufferedBytes = 0;
		running.hasResponseStarted ||= released.length > 0;
		released.forEach(output.write);
	}

	/** Checks the log position before the first row or the end of each statement is sent; false discards the response. */
	function checkPosition(frame: Frame, position: LogPosition): boolean {
		if (position === checkedPosition) {
			return true;
		}

		if (options.isRetryable && frame.type === BACKEND.errorResponse && parseServerError(frame.body).code === SQL_STATE.readOnlyTransaction) {
			discardReason = 'fenced';
			return false;
		}

		if (!isWrite && !options.isFreshEnough(position)) {
			discardReason = 'behind';
			return false;
		}

		checkedPosition = position;
		if (!isBuffering) {
			sendBuffered();
		}

		return true;
	}

	return {
		start() {
			encoded.start(send);
		},
		take(frame, position) {
			if (discardReason !== undefined || frame.type === BACKEND.notification) {
				return;
			}

			if (POSITIONED_TYPES.has(frame.type) && !checkPosition(frame, position)) {
				buffered = [];
				return;
			}

			if (frame.type === BACKEND.errorResponse) {
				errorCode = parseServerError(frame.body).code;
			}

			if (frame.type === BACKEND.commandComplete) {
				tag = options.recordsTag ? parseText(frame.body) : '';
				hasAcknowledgement ||= isWrite || options.buffersAll;
				isBuffering ||= isWrite;
			}

			encoded.take(frame, send);
		},
		handleChunkEnd() {
			const {connection} = assignment.handle;
			if (output.isFull()) {
				connection.pause();
				output.registerDrainListener(connection.resume);
			}
		},
		hasAcknowledgement: () => hasAcknowledgement,
		readTag: () => tag,
		readErrorCode: () => errorCode,
		release() {
			isBuffering = false;
			checkedPosition ??= {term: 0, position: 0n};
			sendBuffered();
		},
		readDiscardReason: () => discardReason,
	};
}
