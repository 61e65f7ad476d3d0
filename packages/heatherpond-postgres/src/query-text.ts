/** Runs SQL of the proxy itself, such as SET statements, on an upstream connection. */
import {Buffer} from 'node:buffer';
import {serialize} from 'pg-protocol';
import type {Deadline} from 'heatherpond-core';
import {
	BACKEND, createFieldReader, parseServerError, parseText, type Frame, type ServerError,
} from 'heatherpond-wire';
import type {ExchangeResult, UpstreamConnection} from './upstream-connection.js';

/** Response to a query of the proxy. */
export type QueryResponse = {
	readonly end: ExchangeResult;
	/** Command tags in order. */
	readonly tags: readonly string[];
	/** Rows of all statements in text format; NULL is an empty string. */
	readonly rows: ReadonlyArray<readonly string[]>;
	/** First error reported by the database. */
	readonly error?: ServerError;
};

/** Runs a query text; rejects with an UpstreamError if the response is not complete by the deadline. */
export async function runQueryText(connection: UpstreamConnection, text: string, deadline: Deadline): Promise<QueryResponse> {
	const tags: string[] = [];
	const rows: string[][] = [];
	let error: ServerError | undefined;
	// A Query message deallocates the unnamed statement.
	connection.statements.unnamed = undefined;
	const end = await connection.exchange([serialize.query(text)], frame => {
		switch (frame.type) {
			case BACKEND.commandComplete: {
				tags.push(parseText(frame.body));

				break;
			}

			case BACKEND.dataRow: {
				rows.push(readRow(frame));

				break;
			}

			case BACKEND.errorResponse: {
				error ??= parseServerError(frame.body);

				break;
			}
		// No default
		}
	}, deadline);
	return {
		end, tags, rows, error,
	};
}

function readRow(frame: Frame): string[] {
	const fields = createFieldReader(frame.body);
	return Array.from({length: fields.readInt16()}, () => {
		const length = fields.readInt32();
		return length === -1 ? '' : Buffer.from(fields.readBytes(length)).toString('utf8');
	});
}
