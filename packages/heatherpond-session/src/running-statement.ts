/** Execution state of one statement across its attempts. */
import type {Deadline, Instant, LogPosition} from 'heatherpond-core';
import type {StepCommand} from './connection-handle.js';
import type {PreparedStatement} from './connection-setup.js';
import type {Homes} from './homes.js';
import type {SessionRoute} from './route.js';
import type {Statement, StatementAccess} from './statement.js';

/** A statement that is being executed. */
export type RunningStatement = {
	readonly statement: Statement;
	readonly access: StatementAccess;
	readonly prepared?: PreparedStatement;
	/** Encoded arguments of a prepared statement. */
	readonly arguments?: string;
	readonly route: SessionRoute;
	readonly team: string;
	/** Regions in which the statement may be run. */
	readonly homes?: Homes;
	readonly arrivedAt: Instant;
	readonly deadline: Deadline;
	/** Databases on which an attempt was rejected or failed. */
	readonly failed: Set<string>;
	/** Number of attempts started. */
	attempts: number;
	/** Why the last attempt failed; empty before the first failure. */
	lastFailureReason: string;
};

/** Creates the command that runs a statement on a database that has reached the log position `after`. */
export function createStatementCommand({statement, prepared, arguments: values}: RunningStatement, after?: LogPosition): StepCommand {
	return prepared
		? {
			kind: 'execute', id: statement.id, arguments: values ?? '', after,
		}
		: {
			kind: 'forward', id: statement.id, text: statement.text, after,
		};
}
