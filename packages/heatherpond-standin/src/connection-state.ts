/** Protocol state of one connection to a stand-in database, and the responses sent on it. */
import {
	createCommandComplete, createDataRow, createErrorResponse, createParameterStatus, createRowDescription, WireError,
} from 'heatherpond-wire';
import type {ClientChannel} from './client-channel.js';
import type {DatabaseFaults} from './database-faults.js';
import type {StatementObserver} from './database-group.js';
import type {DatabaseSession} from './database-session.js';
import type {StatementResult} from './sql-context.js';
import type {SqlNode} from './sql-expression.js';
import type {SqlValue} from './sql-row.js';
import {StatementError} from './standin-error.js';

/** Name of the ParameterStatus message that reports the log position as `term:position`. */
export const POSITION_PARAMETER = 'heatherpond.position';

/** SQLSTATEs of errors that are not those of a statement. */
const PROTOCOL_VIOLATION = '08P01';
const INTERNAL_ERROR = 'XX000';

/** A prepared statement; `statement` is absent for an empty query. */
export type PreparedStatement = {readonly text: string; readonly statement?: SqlNode; readonly parameterTypes: readonly number[]};

/** A prepared statement bound to parameter values. */
export type Portal = {
	readonly prepared: PreparedStatement;
	readonly values: readonly SqlValue[];
	/** Result of the running execution, with the iterator over the rows that remain to be sent. */
	open?: {readonly answer: StatementResult; readonly rows: Iterator<readonly SqlValue[]>};
};

/** Protocol state of an authenticated connection. */
export type ConnectionState = {
	readonly channel: ClientChannel;
	readonly faults: DatabaseFaults;
	readonly session: DatabaseSession;
	readonly observer: StatementObserver;
	readonly statements: Map<string, PreparedStatement>;
	readonly portals: Map<string, Portal>;
	/** After an error in the extended protocol, all messages up to the next Sync are ignored. */
	isSkippingUntilSync: boolean;
	/** Log position last reported to the client. */
	reportedPosition: string;
};

/** Reports the log position if it has changed since the last report. */
export function sendLogPosition(state: ConnectionState): void {
	const {term, position} = state.session.readLogPosition();
	const logPosition = `${term}:${position}`;
	if (logPosition !== state.reportedPosition) {
		state.reportedPosition = logPosition;
		state.channel.send(createParameterStatus(POSITION_PARAMETER, logPosition));
	}
}

/** Sends up to `maxRows` rows (0: all) and returns whether the limit was reached, in which case rows may remain. */
export async function sendRows(state: ConnectionState, rows: Iterator<readonly SqlValue[]>, maxRows: number): Promise<boolean> {
	let count = 0;
	while (true) {
		if (maxRows > 0 && count === maxRows) {
			return true;
		}

		const row = rows.next();
		if (row.done) {
			return false;
		}

		count++;
		if (count > state.faults.disconnectAfterRows) {
			state.channel.destroy();
			return false;
		}

		state.channel.send(createDataRow(row.value.map(value => formatValue(value))));
		await state.channel.waitForDrain();
	}
}

/** Sends a complete result: row description, rows and command tag. */
export async function sendResult(state: ConnectionState, result: StatementResult): Promise<void> {
	sendLogPosition(state);
	if (result.columns) {
		state.channel.send(createRowDescription(result.columns));
	}

	await sendRows(state, result.rows[Symbol.iterator](), 0);
	state.channel.send(createCommandComplete(result.tag));
}

/** A statement to run, with the text that it came in and its parameter values. */
export type StatementRun = {readonly text: string; readonly statement: SqlNode; readonly values: readonly SqlValue[]};

/** Runs a statement and applies its effects on the connection itself. */
export async function runStatement(state: ConnectionState, {text, statement, values}: StatementRun): Promise<StatementResult> {
	const result = await state.session.run(statement, values);
	state.observer.handleStatement?.({text, values, settings: state.session.readSettings()});
	switch (result.tag) {
		case 'COMMIT': {
			applyLostCommitResponseFault(state);

			break;
		}

		case 'DISCARD ALL':
		case 'DEALLOCATE ALL': {
			state.statements.clear();

			break;
		}

		case 'DEALLOCATE': {
			removeStatement(state, statement.DeallocateStmt as SqlNode);

			break;
		}
	// No default
	}

	return result;
}

/** Applies DEALLOCATE of one name. */
function removeStatement(state: ConnectionState, deallocation: SqlNode): void {
	const name = deallocation.name as string;
	if (!state.statements.delete(name)) {
		throw createUnknownStatementError(name);
	}
}

/** Creates the error for the name of a prepared statement that the connection does not have. */
export function createUnknownStatementError(name: string): Error {
	return new StatementError(`prepared statement "${name}" does not exist`, {props: {sqlState: '26000'}});
}

/** Commits the implicit transaction. With the lost-response fault, the connection is closed after the commit. */
export function endImplicitTransaction(state: ConnectionState): void {
	const hasCommitted = state.session.commitImplicitTransaction();
	sendLogPosition(state);
	if (hasCommitted) {
		applyLostCommitResponseFault(state);
	}
}

/** Closes the connection in place of the response to a commit while the fault is set. */
function applyLostCommitResponseFault(state: ConnectionState): void {
	if (state.faults.lostCommitResponses > 0) {
		state.faults.lostCommitResponses--;
		state.channel.destroy();
	}
}

/** Formats a value in PostgreSQL's text format; `undefined` stands for NULL. */
function formatValue(value: SqlValue): string | undefined {
	if (value === null) {
		return undefined;
	}

	return typeof value === 'boolean' ? (value ? 't' : 'f') : String(value);
}

/** Marks the transaction as failed and sends the error. */
export function sendError(state: ConnectionState, error: unknown): void {
	state.session.fail();
	const sqlState = error instanceof StatementError ? error.sqlState : (error instanceof WireError ? PROTOCOL_VIOLATION : INTERNAL_ERROR);
	sendLogPosition(state);
	state.channel.send(createErrorResponse({severity: 'ERROR', code: sqlState, message: (error as Error).message}));
}
