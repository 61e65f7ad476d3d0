/** The socket of one client: splits the input into messages, handles them one at a time, and bounds the input queue. */
import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {TLSSocket, type SecureContext} from 'node:tls';
import {
	createErrorResponse, createFrameReader, WireError, type ErrorFields, type Frame,
} from 'heatherpond-wire';
import {createClientOutput, type ClientOutput} from './client-output.js';
import {SQL_STATE} from './sql-states.js';

/** Handles one message; the next one is handled after a returned promise has settled. */
export type ClientFrameHandler = (frame: Frame) => void | Promise<void>;

/** The socket of one client as its session uses it: responses go out in order, one handler at a time takes what arrives. */
export type ClientConnection = {
	readonly output: ClientOutput;
	/** Replaces the handler for all later messages. */
	readonly updateHandler: (handler: ClientFrameHandler) => void;
	/** Sets the longest message that is accepted from now on, in bytes. */
	readonly updateLimit: (maxFrameBytes: number) => void;
	/** Parses the next message as another startup message, which has no type byte. */
	readonly expectStartup: () => void;
	/** Upgrades the connection to TLS; throws a WireError if unencrypted bytes have already arrived. */
	readonly startTls: (secureContext: SecureContext) => void;
	/** Sends a FATAL error and closes the connection. */
	readonly endWithError: (fields: ErrorFields) => void;
	/** Flushes the output and closes the connection. */
	readonly end: () => void;
	/** Closes the socket without flushing the output. */
	readonly destroy: () => void;
	readonly isOpen: () => boolean;
	/** Whether a message is being handled. */
	readonly isBusy: () => boolean;
	/** Whether received messages are queued behind the one being handled. */
	readonly hasQueuedFrames: () => boolean;
};

/** Options of `startClientConnection`. */
export type ClientConnectionOptions = {
	readonly socket: Socket;
	/** Longest message accepted before the client is authenticated, in bytes. */
	readonly maxStartupBytes: number;
	/** Handles the first messages, until `updateHandler` replaces it. */
	readonly onFrame: ClientFrameHandler;
	/** Called once, when the session ends, before `onClose`. */
	readonly onEnd: () => void;
	/** Called once, when the socket has closed. */
	readonly onClose: () => void;
	/** Registers the timer that destroys the socket of a client that does not close its side; returns its cancellation. */
	readonly registerCloseTimer: (callback: () => void) => () => void;
};

/** Queued message bytes above which the socket is paused while a message is being handled. */
const MAX_QUEUED_BYTES = 65_536;

/** Starts reading a socket. */
export function startClientConnection(options: ClientConnectionOptions): ClientConnection {
	const reader = createFrameReader({maxFrameBytes: options.maxStartupBytes, hasStartup: true});
	let {socket, onFrame: handler} = options;
	let queue: Frame[] = [];
	let queuedBytes = 0;
	let isBusy = false;
	let isEnded = false;
	const output = createClientOutput(() => socket);

	/** Ends the session and releases its resources without waiting for the client to close its side. */
	function endSession(): void {
		if (!isEnded) {
			isEnded = true;
			queue = [];
			options.onEnd();
		}
	}

	function end(): void {
		if (isEnded) {
			return;
		}

		endSession();
		output.flush();
		socket.end();
		// Later input is read and discarded; the close of the other side is reported only to a socket that reads.
		socket.resume();
		const stopTimer = options.registerCloseTimer(destroy);
		socket.once('close', stopTimer);
	}

	function endWithError(fields: ErrorFields): void {
		if (isEnded) {
			return;
		}

		output.write(createErrorResponse({...fields, severity: 'FATAL'}));
		end();
	}

	function handleError(error: unknown): void {
		if (error instanceof WireError) {
			endWithError({severity: 'FATAL', code: SQL_STATE.protocolViolation, message: error.message});
		} else {
			endWithError({severity: 'FATAL', code: SQL_STATE.internalError, message: 'the connection was closed because of an internal error'});
		}
	}

	/** Handles queued messages until a handler returns a promise. */
	function handleQueue(): void {
		// The queue is also emptied when the connection ends.
		while (queue.length > 0) {
			const frame = queue.shift()!;
			queuedBytes -= frame.bytes.length;
			const pending = handler(frame);
			if (pending) {
				isBusy = true;
				void pending.catch(handleError).then(handleNext);
				return;
			}
		}

		if (socket.isPaused() && !isEnded) {
			socket.resume();
		}
	}

	function handleNext(): void {
		isBusy = false;
		try {
			handleQueue();
		} catch (error) {
			handleError(error);
		}
	}

	function handleChunk(chunk: Buffer): void {
		if (isEnded) {
			return;
		}

		try {
			const frames = reader.read(chunk);
			queue = queue.length === 0 ? [...frames] : [...queue, ...frames];
			queuedBytes = frames.reduce((sum, frame) => sum + frame.bytes.length, queuedBytes);
			if (!isBusy) {
				handleQueue();
			}
		} catch (error) {
			handleError(error);
		}

		if (isBusy && queuedBytes > MAX_QUEUED_BYTES) {
			socket.pause();
		}
	}

	function handleClose(): void {
		endSession();
		options.onClose();
	}

	function registerSocket(): void {
		socket.on('data', handleChunk);
		socket.on('error', destroy);
		socket.once('close', handleClose);
	}

	function destroy(): void {
		socket.destroy();
	}

	registerSocket();
	return {
		output,
		updateHandler(next) {
			handler = next;
		},
		updateLimit: reader.updateLimit,
		expectStartup: reader.expectStartup,
		startTls(secureContext) {
			if (queue.length > 0 || reader.countPending() > 0) {
				throw new WireError('received unencrypted bytes after the TLS request');
			}

			socket.off('data', handleChunk);
			socket.off('close', handleClose);
			socket = new TLSSocket(socket, {isServer: true, secureContext});
			registerSocket();
		},
		endWithError,
		end,
		destroy,
		isOpen: () => !isEnded && !socket.destroyed,
		isBusy: () => isBusy,
		hasQueuedFrames: () => queue.length > 0,
	};
}
