/** Reads the fields of a message body in order. */
import {isUtf8, type Buffer} from 'node:buffer';
import {WireError} from './wire-error.js';

/** Sequential reader of a message body; every read throws a WireError if the body is too short. */
export type FieldReader = {
	/** Reads a zero-terminated string; throws a WireError if it is not valid UTF-8. */
	readonly readText: () => string;
	/** Reads a zero-terminated string for display; bytes that are not valid UTF-8 are replaced. */
	readonly readDisplayText: () => string;
	readonly readInt16: () => number;
	/** Reads the number of the items that follow, an unsigned integer of 16 bits. */
	readonly readCount: () => number;
	readonly readInt32: () => number;
	readonly readByte: () => number;
	readonly readBytes: (length: number) => Buffer;
	readonly countRemaining: () => number;
	/** Throws a WireError if bytes follow the last field. */
	readonly checkEnd: () => void;
};

/** Creates a reader positioned at the start of `body`. */
export function createFieldReader(body: Buffer): FieldReader {
	let offset = 0;

	/** Advances past a field and returns its start. */
	function take(length: number): number {
		if (length < 0 || offset + length > body.length) {
			throw new WireError('message truncated: it ends inside a field');
		}

		const start = offset;
		offset += length;
		return start;
	}

	/** Takes a zero-terminated string without its terminator. */
	function takeText(): Buffer {
		const end = body.indexOf(0, offset);
		if (end === -1) {
			throw new WireError('message truncated: a string has no terminating zero byte');
		}

		const text = body.subarray(offset, end);
		offset = end + 1;
		return text;
	}

	return {
		readText() {
			const text = takeText();
			if (!isUtf8(text)) {
				throw new WireError('invalid byte sequence for encoding "UTF8"', {props: {reason: 'encoding'}});
			}

			return text.toString('utf8');
		},
		readDisplayText: () => takeText().toString('utf8'),
		readInt16: () => body.readInt16BE(take(2)),
		readCount: () => body.readUInt16BE(take(2)),
		readInt32: () => body.readInt32BE(take(4)),
		readByte: () => body[take(1)]!,
		readBytes(length) {
			const start = take(length);
			return body.subarray(start, start + length);
		},
		countRemaining: () => body.length - offset,
		checkEnd() {
			if (offset < body.length) {
				throw new WireError(`invalid message format: ${body.length - offset} bytes follow the last field`);
			}
		},
	};
}
