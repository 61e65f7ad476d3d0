/**
 * The prepared statements of one session. Transaction pooling may run each request on a different connection, so a named
 * statement is prepared on a connection on first use there, under a name of that connection.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {parseParse} from 'heatherpond-wire';
import {classifyQueryText, type StatementClasses} from './classify.js';
import {createRequestError} from './postgres-error.js';
import {SQL_STATE} from './sql-states.js';

/** A prepared statement of a session. */
export type PreparedStatement = {
	readonly isNamed: boolean;
	/** Hash of the definition, by which connections find a named statement; empty for the unnamed one. */
	readonly contentHash: string;
	/** Body of the Parse message after the name: query text and parameter types. */
	readonly definition: Buffer;
	readonly statements: StatementClasses;
};

/** Statements of one session by the names that the client chose; the empty name is the unnamed statement. */
export type StatementStore = {
	readonly find: (name: string) => PreparedStatement | undefined;
	/** @throws RequestError if the session exceeds `MAX_STATEMENTS` or `MAX_STATEMENT_BYTES` */
	readonly insert: (name: string, statement: PreparedStatement) => void;
	readonly remove: (name: string) => void;
	readonly clear: () => void;
};

/** Maximum number of prepared statements per session. */
export const MAX_STATEMENTS = 1000;

/** Maximum total size of the statement definitions of a session, in bytes. */
export const MAX_STATEMENT_BYTES = 1_048_576;

/** Creates a prepared statement from the body of a Parse message. */
export function createPreparedStatement(body: Buffer): {readonly name: string; readonly statement: PreparedStatement} {
	const {statement: name, text, definition: received} = parseParse(body);
	const definition = Buffer.from(received);
	const isNamed = name !== '';
	const contentHash = isNamed ? createHash('sha256').update(definition).digest('base64') : '';
	const statement = {
		isNamed, contentHash, definition, statements: classifyQueryText(text),
	};
	return {name, statement};
}

/** Creates an empty store. Its map is allocated on the first insertion, because many sessions prepare nothing. */
export function createStatementStore(): StatementStore {
	let statements: Map<string, PreparedStatement> | undefined;
	let bytes = 0;

	function removeStatement(name: string): void {
		bytes -= statements?.get(name)?.definition.length ?? 0;
		statements?.delete(name);
	}

	return {
		find: name => statements?.get(name),
		insert(name, statement) {
			statements ??= new Map();
			removeStatement(name);
			if (statements.size >= MAX_STATEMENTS || bytes + statement.definition.length > MAX_STATEMENT_BYTES) {
				throw createRequestError(SQL_STATE.tooManyStatements, `too many prepared statements: a session may hold ${MAX_STATEMENTS} statements with ${MAX_STATEMENT_BYTES} bytes in total`);
			}

			bytes += statement.definition.length;
			statements.set(name, statement);
		},
		remove: removeStatement,
		clear() {
			statements = undefined;
			bytes = 0;
		},
	};
}
