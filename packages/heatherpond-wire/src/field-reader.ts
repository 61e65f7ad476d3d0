/** Reads the fields of a message body in order. */
import type {Buffer} from 'node:buffer';
import {WireError} from './wire-error.js';

/** Sequential reader of a message body; every read throws a WireError if the body is too short. */
export type FieldReader = {
	/** Reads a zero-terminated string. */
	readonly readText: () => string;
	readonly readInt16: () => number;
	readonly readInt32: () => number;
	readonly readByte: () => number;
	readonly readBytes: (length: number) => Buffer;
	readonly countRemaining: () => number;
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

	return {
		readText() {
			const end = body.indexOf(0, offset);
			if (end === -1) {
				throw new WireError('message truncated: a string has no terminating zero byte');
			}

			const text = body.toString('utf8', offset, end);
			offset = end + 1;
			return text;
		},
		readInt16: () => body.readInt16BE(take(2)),
		readInt32: () => body.readInt32BE(take(4)),
		readByte: () => body[take(1)]!,
		readBytes(length) {
			const start = take(length);
			return body.subarray(start, start + length);
		},
		countRemaining: () => body.length - offset,
	};
}
