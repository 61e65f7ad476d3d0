/** Parses ErrorResponse messages of a database. */
import type {Buffer} from 'node:buffer';
import {createFieldReader} from './field-reader.js';

/** The fields of an ErrorResponse that the proxy evaluates. */
export type ServerError = {
	/** `ERROR`, `FATAL` or `PANIC`, independent of the server's language. */
	readonly severity: string;
	/** SQLSTATE, five characters. */
	readonly code: string;
	readonly message: string;
};

/** Parses the body of an ErrorResponse. */
export function parseServerError(body: Buffer): ServerError {
	const fields = createFieldReader(body);
	const texts = new Map<string, string>();
	let type = fields.readByte();
	while (type !== 0) {
		texts.set(String.fromCodePoint(type), fields.readDisplayText());
		type = fields.readByte();
	}

	return {severity: texts.get('V') ?? texts.get('S') ?? 'ERROR', code: texts.get('C') ?? 'XX000', message: texts.get('M') ?? 'no message'};
}
