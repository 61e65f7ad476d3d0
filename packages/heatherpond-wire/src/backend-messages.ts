/** Encodes the messages that a server sends. */
import {Buffer} from 'node:buffer';
import {BACKEND, type TransactionStatus} from './message-types.js';
import {WireError} from './wire-error.js';

const LENGTH_BYTES = 4;

/** Encodes a message with a type byte, of either direction, from the fields of its body. */
export function createMessage(type: number, ...fields: readonly Buffer[]): Buffer {
	const bodyBytes = fields.reduce((sum, field) => sum + field.length, 0);
	const header = Buffer.allocUnsafe(LENGTH_BYTES + 1);
	header[0] = type;
	header.writeUInt32BE(LENGTH_BYTES + bodyBytes, 1);
	return Buffer.concat([header, ...fields]);
}

/** Encodes a zero-terminated string; throws a WireError if the text holds a zero byte, as it would end there. */
export function encodeText(text: string): Buffer {
	if (text.includes('\0')) {
		throw new WireError('a text with a zero byte cannot be encoded');
	}

	return Buffer.from(`${text}\0`);
}

function encodeInt32(value: number): Buffer {
	const bytes = Buffer.allocUnsafe(4);
	bytes.writeInt32BE(value);
	return bytes;
}

function encodeInt16(value: number): Buffer {
	const bytes = Buffer.allocUnsafe(2);
	bytes.writeInt16BE(value);
	return bytes;
}

export function createAuthenticationOk(): Buffer {
	return createMessage(BACKEND.authentication, encodeInt32(0));
}

/** Authentication type that requests the password in clear text. */
const CLEARTEXT_PASSWORD = 3;

/** Creates an AuthenticationCleartextPassword message. */
export function createPasswordRequest(): Buffer {
	return createMessage(BACKEND.authentication, encodeInt32(CLEARTEXT_PASSWORD));
}

export function createParameterStatus(name: string, value: string): Buffer {
	return createMessage(BACKEND.parameterStatus, encodeText(name), encodeText(value));
}

/** Creates the message that gives the client its cancellation key. */
export function createBackendKeyData(processId: number, secret: number): Buffer {
	return createMessage(BACKEND.backendKeyData, encodeInt32(processId), encodeInt32(secret));
}

export function createReadyForQuery(status: TransactionStatus): Buffer {
	return createMessage(BACKEND.readyForQuery, Buffer.from(status));
}

/** Fields of an ErrorResponse or NoticeResponse. */
export type ErrorFields = {
	readonly severity: 'ERROR' | 'FATAL' | 'NOTICE' | 'WARNING';
	/** SQLSTATE, five characters. */
	readonly code: string;
	/** Primary message, one line. */
	readonly message: string;
	readonly detail?: string;
	readonly hint?: string;
};

function encodeErrorFields(fields: ErrorFields): Buffer {
	const items: ReadonlyArray<readonly [letter: string, value: string | undefined]> = [
		['S', fields.severity], ['V', fields.severity], ['C', fields.code], ['M', fields.message], ['D', fields.detail], ['H', fields.hint],
	];
	const parts = items.filter(([, value]) => value !== undefined).map(([letter, value]) => encodeText(letter + value));
	return Buffer.concat([...parts, Buffer.from([0])]);
}

export function createErrorResponse(fields: ErrorFields): Buffer {
	return createMessage(BACKEND.errorResponse, encodeErrorFields(fields));
}

export function createNoticeResponse(fields: ErrorFields): Buffer {
	return createMessage(BACKEND.noticeResponse, encodeErrorFields(fields));
}

export function createCommandComplete(tag: string): Buffer {
	return createMessage(BACKEND.commandComplete, encodeText(tag));
}

export function createEmptyQueryResponse(): Buffer {
	return createMessage(BACKEND.emptyQueryResponse);
}

export function createParseComplete(): Buffer {
	return createMessage(BACKEND.parseComplete);
}

export function createBindComplete(): Buffer {
	return createMessage(BACKEND.bindComplete);
}

export function createCloseComplete(): Buffer {
	return createMessage(BACKEND.closeComplete);
}

export function createNoData(): Buffer {
	return createMessage(BACKEND.noData);
}

export function createPortalSuspended(): Buffer {
	return createMessage(BACKEND.portalSuspended);
}

export function createParameterDescription(typeIds: readonly number[]): Buffer {
	return createMessage(BACKEND.parameterDescription, encodeInt16(typeIds.length), ...typeIds.map(encodeInt32));
}

/** A column of a RowDescription. */
export type Column = {
	readonly name: string;
	/** Object id of the data type. */
	readonly typeId: number;
};

/** Type length of data types with values of variable length. */
const VARIABLE_SIZE = -1;

/** Creates a description of columns in text format that belong to no table. */
export function createRowDescription(columns: readonly Column[]): Buffer {
	const fields = columns.flatMap(column => [
		encodeText(column.name), encodeInt32(0), encodeInt16(0), encodeInt32(column.typeId), encodeInt16(VARIABLE_SIZE), encodeInt32(-1), encodeInt16(0),
	]);
	return createMessage(BACKEND.rowDescription, encodeInt16(columns.length), ...fields);
}

/** Creates a DataRow in text format; `undefined` stands for NULL. */
export function createDataRow(values: ReadonlyArray<string | undefined>): Buffer {
	const fields = values.flatMap(value => {
		if (value === undefined) {
			return [encodeInt32(-1)];
		}

		const bytes = Buffer.from(value);
		return [encodeInt32(bytes.length), bytes];
	});
	return createMessage(BACKEND.dataRow, encodeInt16(values.length), ...fields);
}
