/** Splits a byte stream into protocol messages. */
import {Buffer} from 'node:buffer';
import {WireError} from './wire-error.js';

/** One protocol message. */
export type Frame = {
	/** Type byte; 0 for a startup message, which has none. */
	readonly type: number;
	/** The whole message, header included. */
	readonly bytes: Buffer;
	/** The message after the header. */
	readonly body: Buffer;
};

/** Options of `createFrameReader`. */
export type FrameReaderOptions = {
	/** Longest message accepted, header included, in bytes. */
	readonly maxFrameBytes: number;
	/** Whether the first message is a startup message without a type byte, as on the server side of a connection. */
	readonly hasStartup: boolean;
};

/** Splits chunks into messages; each direction of a connection has its own reader. */
export type FrameReader = {
	/**
	 * Adds the next chunk and returns the messages that it completes.
	 *
	 * @throws WireError if a message length is malformed or exceeds the limit
	 */
	readonly read: (chunk: Buffer) => readonly Frame[];
	/** Parses the next message as a startup message without a type byte, as after a request for encryption. */
	readonly expectStartup: () => void;
	/** Sets the longest message that is accepted from now on, in bytes; used after authentication. */
	readonly updateLimit: (maxFrameBytes: number) => void;
	/** Counts the buffered bytes of an incomplete message. */
	readonly countPending: () => number;
};

const LENGTH_BYTES = 4;
const TYPE_BYTES = 1;
const EMPTY = Buffer.alloc(0);

/** Creates a reader that keeps the bytes of an incomplete frame until the rest arrives. */
export function createFrameReader(options: FrameReaderOptions): FrameReader {
	let pending: Buffer = EMPTY;
	let parts: Buffer[] = [];
	let partBytes = 0;
	let requiredBytes = 0;
	let isStartupNext = options.hasStartup;
	let {maxFrameBytes} = options;

	function readFrame(offset: number): Frame | undefined {
		const typeBytes = isStartupNext ? 0 : TYPE_BYTES;
		const headerBytes = typeBytes + LENGTH_BYTES;
		if (pending.length - offset < headerBytes) {
			requiredBytes = headerBytes;
			return undefined;
		}

		const length = pending.readUInt32BE(offset + typeBytes);
		const end = offset + typeBytes + length;
		checkLength(length, typeBytes, maxFrameBytes);
		if (pending.length < end) {
			requiredBytes = end - offset;
			return undefined;
		}

		const type = isStartupNext ? 0 : pending[offset]!;
		isStartupNext = false;
		return {type, bytes: pending.subarray(offset, end), body: pending.subarray(offset + headerBytes, end)};
	}

	function readFrames(): readonly Frame[] {
		const frames: Frame[] = [];
		let offset = 0;
		requiredBytes = 0;
		let frame = readFrame(offset);
		while (frame) {
			frames.push(frame);
			offset += frame.bytes.length;
			frame = offset < pending.length ? readFrame(offset) : undefined;
		}

		pending = offset === pending.length ? EMPTY : pending.subarray(offset);
		return frames;
	}

	return {
		read(chunk) {
			parts.push(chunk);
			partBytes += chunk.length;
			if (pending.length + partBytes < requiredBytes) {
				return [];
			}

			pending = pending.length === 0 && parts.length === 1 ? chunk : Buffer.concat([pending, ...parts]);
			parts = [];
			partBytes = 0;
			return readFrames();
		},
		expectStartup() {
			isStartupNext = true;
		},
		updateLimit(bytes) {
			maxFrameBytes = bytes;
		},
		countPending: () => pending.length + partBytes,
	};
}

function checkLength(length: number, typeBytes: number, maxFrameBytes: number): void {
	if (length < LENGTH_BYTES) {
		throw new WireError(`invalid message length ${length}: at least ${LENGTH_BYTES} is required`);
	}

	if (length + typeBytes > maxFrameBytes) {
		throw new WireError(`message too large: ${length + typeBytes} bytes, at most ${maxFrameBytes} are allowed`, {props: {reason: 'too_large'}});
	}
}
