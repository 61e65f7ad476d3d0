/** Parses the bodies of the messages that a client sends. */
import type {Buffer} from 'node:buffer';
import {createFieldReader, type FieldReader} from './field-reader.js';
import {STARTUP_CODE} from './message-types.js';
import {WireError} from './wire-error.js';

/** First message of a connection; `encryption` is a request for TLS or GSSAPI encryption. */
export type StartupMessage
	= | {readonly kind: 'startup'; readonly parameters: ReadonlyMap<string, string>}
		| {readonly kind: 'cancel'; readonly processId: number; readonly secret: number}
		| {readonly kind: 'encryption'};

/** Parses the first message of a connection; throws a WireError for protocol versions other than 3.0. */
export function parseStartup(body: Buffer): StartupMessage {
	const fields = createFieldReader(body);
	const code = fields.readInt32();
	switch (code) {
		case STARTUP_CODE.ssl:
		case STARTUP_CODE.gssEncryption: {
			return {kind: 'encryption'};
		}

		case STARTUP_CODE.cancel: {
			return {kind: 'cancel', processId: fields.readInt32(), secret: fields.readInt32()};
		}

		case STARTUP_CODE.protocol3: {
			return {kind: 'startup', parameters: parseParameters(fields)};
		}

		default: {
			throw new WireError(`protocol version ${Math.floor(code / 65_536)}.${code % 65_536} is not supported; use 3.0`);
		}
	}
}

function parseParameters(fields: FieldReader): ReadonlyMap<string, string> {
	const parameters = new Map<string, string>();
	let name = fields.readText();
	while (name !== '') {
		parameters.set(name, fields.readText());
		name = fields.readText();
	}

	fields.checkEnd();
	return parameters;
}

/** Parses a message body that consists of one string, such as that of Query or CommandComplete. */
export function parseText(body: Buffer): string {
	const fields = createFieldReader(body);
	const text = fields.readText();
	fields.checkEnd();
	return text;
}

/** Fields of a Parse message. */
export type ParseMessage = {
	/** Name of the prepared statement; empty for the unnamed one. */
	readonly statement: string;
	/** Query text. */
	readonly text: string;
	/** Object ids of the parameter types that the client has specified. */
	readonly parameterTypes: readonly number[];
	/** Body of the message after the name: query text and parameter types. */
	readonly definition: Buffer;
};

export function parseParse(body: Buffer): ParseMessage {
	const fields = createFieldReader(body);
	const statement = fields.readText();
	const definition = body.subarray(body.length - fields.countRemaining());
	const text = fields.readText();
	const parameterTypes = Array.from({length: fields.readCount()}, () => fields.readInt32());
	fields.checkEnd();
	return {
		statement, text, parameterTypes, definition,
	};
}

/** Fields of a Bind message, without the parameter formats. */
export type BindMessage = {
	readonly portal: string;
	readonly statement: string;
	/** Parameter values; `undefined` stands for NULL. */
	readonly values: ReadonlyArray<Buffer | undefined>;
	readonly resultFormats: readonly number[];
};

export function parseBind(body: Buffer): BindMessage {
	const fields = createFieldReader(body);
	const portal = fields.readText();
	const statement = fields.readText();
	const formatCount = fields.readCount();
	Array.from({length: formatCount}, () => fields.readInt16());
	const valueCount = fields.readCount();
	const values = Array.from({length: valueCount}, () => {
		const length = fields.readInt32();
		return length === -1 ? undefined : fields.readBytes(length);
	});
	const resultFormats = Array.from({length: fields.readCount()}, () => fields.readInt16());
	fields.checkEnd();
	return {
		portal, statement, values, resultFormats,
	};
}

/** The names in a Bind message, and the rest of its body. */
export type BindNames = {
	readonly portal: string;
	readonly statement: string;
	/** Encoded parameter formats, parameter values and result formats. */
	readonly rest: Buffer;
};

/** Parses the names of a Bind message and leaves the rest encoded. */
export function parseBindNames(body: Buffer): BindNames {
	const fields = createFieldReader(body);
	const portal = fields.readText();
	const statement = fields.readText();
	return {portal, statement, rest: fields.readBytes(fields.countRemaining())};
}

/** Target of a Describe or Close message. */
export type TargetMessage = {
	readonly target: 'statement' | 'portal';
	readonly name: string;
};

/** Parses the body of a Describe or Close message. */
export function parseTarget(body: Buffer): TargetMessage {
	const fields = createFieldReader(body);
	const letter = String.fromCodePoint(fields.readByte());
	if (letter !== 'S' && letter !== 'P') {
		throw new WireError(`invalid target ${JSON.stringify(letter)} of Describe or Close: expected S or P`);
	}

	const name = fields.readText();
	fields.checkEnd();
	return {target: letter === 'S' ? 'statement' : 'portal', name};
}

/** Fields of an Execute message. */
export type ExecuteMessage = {
	readonly portal: string;
	/** Row limit; 0 for no limit. */
	readonly maxRows: number;
};

export function parseExecute(body: Buffer): ExecuteMessage {
	const fields = createFieldReader(body);
	const portal = fields.readText();
	const maxRows = fields.readInt32();
	fields.checkEnd();
	return {portal, maxRows};
}
