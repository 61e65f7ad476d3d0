/** Protocol state of one connection to a stand-in database, and the responses sent on it. */
import {
	createCommandComplete, createDataRow, createErrorResponse, createParameterStatus, createRowDescription,
} from 'heatherpond-wire';
import type {ConnectionLine} from './connection-line.js';
import type {DatabaseFaults} from './database-faults.js';
import type {DatabaseSession} from './database-session.js';
import type {StatementAnswer} from './sql-context.js';
import type {SqlNode} from './sql-expression.js';
import type {SqlValue} from './sql-row.js';
import {StatementError} from './standin-error.js';

/** Name of the ParameterStatus message that reports the log position as `term:position`. */
export const POSITION_PARAMETER = 'heatherpond.position';

/** A prepared statement; `statement` is absent for an empty query. */
export type PreparedStatement = {readonly statement?: SqlNode; readonly parameterTypes: readonly number[]};

/** A prepared statement bound to parameter values. */
export type Portal = {
	readonly prepared: PreparedStatement;
	readonly values: readonly SqlValue[];
	/** Result of the running execution, with the iterator over the rows that remain to be sent. */
	open?: {readonly answer: StatementAnswer; readonly rows: Iterator<readonly SqlValue[]>};
};

/** Protocol state of an authenticated connection. */
export type ConnectionState = {
	readonly line: ConnectionLine;
	readonly faults: DatabaseFaults;
	readonly session: DatabaseSession;
	readonly statements: Map<string, PreparedStatement>;
	readonly portals: Map<string, Portal>;
	/** After an error in the extended protocol, all messages up to the next Sync are ignored. */
	isSkipping: boolean;
	/** Log position last reported to the client. */
	reportedPoint: string;
};

/** Reports the log position if it has changed since the last report. */
export function sendPoint(state: ConnectionState): void {
	const {term, position} = state.session.readPoint();
	const point = `${term}:${position}`;
	if (point !== state.reportedPoint) {
		state.reportedPoint = point;
		state.line.send(createParameterStatus(POSITION_PARAMETER, point));
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
		if (count > state.faults.breakAfterRows) {
			state.line.destroy();
			return false;
		}

		state.line.send(createDataRow(row.value.map(value => formatValue(value))));
		await state.line.waitForRoom();
	}
}

/** Sends a complete result: row description, rows and command tag. */
export async function sendAnswer(state: ConnectionState, answer: StatementAnswer): Promise<void> {
	sendPoint(state);
	if (answer.columns) {
		state.line.send(createRowDescription(answer.columns));
	}

	await sendRows(state, answer.rows[Symbol.iterator](), 0);
	state.line.send(createCommandComplete(answer.tag));
}

/** Runs a statement and applies its effects on the connection itself. */
export async function runStatement(state: ConnectionState, statement: SqlNode, values: readonly SqlValue[]): Promise<StatementAnswer> {
	const answer = await state.session.run(statement, values);
	if (answer.tag === 'COMMIT') {
		destroyCommitAnswer(state);
	} else if (answer.tag === 'DISCARD ALL' || answer.tag === 'DEALLOCATE') {
		state.statements.clear();
	}

	return answer;
}

/** Commits the implicit transaction. With the lost-response fault, the connection is closed after the commit. */
export function endImplicit(state: ConnectionState): void {
	const hasCommitted = state.session.endImplicit();
	sendPoint(state);
	if (hasCommitted) {
		destroyCommitAnswer(state);
	}
}

/** Closes the connection in place of the response to a commit while the fault is set. */
function destroyCommitAnswer(state: ConnectionState): void {
	if (state.faults.lostCommitAnswers > 0) {
		state.faults.lostCommitAnswers--;
		state.line.destroy();
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
	const sqlState = error instanceof StatementError ? error.sqlState : 'XX000';
	sendPoint(state);
	state.line.send(createErrorResponse({severity: 'ERROR', code: sqlState, message: (error as Error).message}));
}
