/** Buffers the output to a client, so that small messages are combined into one write. */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';

/** Output buffer of one client connection. */
export type ClientOutput = {
	/** Appends bytes; they are sent by `flush`, or as soon as `FLUSH_BYTES` are buffered. */
	readonly write: (bytes: Buffer) => void;
	readonly flush: () => void;
	/** Flushes the buffer and tells whether the socket is under backpressure. */
	readonly isFull: () => boolean;
	/** Calls the listener once, when the socket has drained or closed. */
	readonly registerDrainListener: (listener: () => void) => void;
	/** Counts the bytes that have not been handed to the operating system yet. */
	readonly countBufferedBytes: () => number;
};

/** Buffered bytes at which the output is sent without a `flush`. */
const FLUSH_BYTES = 16_384;

/** Creates an output buffer; `readSocket` returns the current socket, which is replaced on an upgrade to TLS. */
export function createClientOutput(readSocket: () => Socket): ClientOutput {
	let parts: Buffer[] | undefined;
	let bytes = 0;

	function sendBuffered(): void {
		const chunks = parts;
		parts = undefined;
		bytes = 0;
		const socket = readSocket();
		if (chunks && socket.writable) {
			socket.write(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
		}
	}

	return {
		write(part) {
			parts ??= [];
			parts.push(part);
			bytes += part.length;
			if (bytes >= FLUSH_BYTES) {
				sendBuffered();
			}
		},
		flush: sendBuffered,
		isFull() {
			sendBuffered();
			return readSocket().writableNeedDrain;
		},
		registerDrainListener(listener) {
			const socket = readSocket();
			function handleChange(): void {
				socket.off('drain', handleChange);
				socket.off('close', handleChange);
				listener();
			}

			socket.once('drain', handleChange);
			socket.once('close', handleChange);
		},
		countBufferedBytes: () => bytes + readSocket().writableLength,
	};
}
