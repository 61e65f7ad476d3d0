/** Interface of a connection to a database. */
import type {Deadline, LogPosition} from 'heatherpond-core';
import type {StatementAccess, TransactionState} from './statement.js';

/** A command sent to a database. Commands without an id originate from the proxy itself. */
export type UpstreamCommand
	/** A client statement, sent with its id and text unchanged. */
	= | {readonly kind: 'forward'; readonly id: string; readonly text: string; readonly after?: LogPosition}
	/** Execution of a client's prepared statement under the name that it has on the connection. */
		| {readonly kind: 'execute'; readonly id: string; readonly name: string; readonly arguments: string; readonly after?: LogPosition}
		| {readonly kind: 'begin'; readonly isReadOnly: boolean; readonly after?: LogPosition}
		| {readonly kind: 'rollback'}
		| {readonly kind: 'set'; readonly name: string; readonly value: string}
		| {readonly kind: 'prepare'; readonly name: string; readonly access: StatementAccess; readonly shape: string}
	/** Clears the session variables and prepared statements of the connection. */
		| {readonly kind: 'reset'};

/** Error code of a database response. The first four mean that the command was not run. */
export type UpstreamErrorCode = 'busy' | 'lagging' | 'read_only' | 'unknown_statement' | 'failed' | 'timeout' | 'malformed' | 'other';

/** Response of a database to one command. */
export type UpstreamResponse = {
	/** Raw response, to be forwarded unchanged. */
	readonly body: string;
	readonly outcome: {readonly kind: 'complete'} | {readonly kind: 'error'; readonly code: UpstreamErrorCode};
	readonly state: TransactionState;
	/** Newest log position of the database when it responded. */
	readonly point?: LogPosition;
};

/** An open connection to a database, authenticated as one team. */
export type UpstreamConnection = {
	readonly database: string;
	readonly team: string;
	/**
	 * Sends commands as one pipeline and waits for all responses.
	 *
	 * @throws UpstreamError with `expired` when the deadline had passed before, so that nothing was sent, and otherwise when the
	 * connection fails; it is closed then
	 */
	readonly exchange: (commands: readonly UpstreamCommand[], deadline: Deadline) => Promise<readonly UpstreamResponse[]>;
	readonly isOpen: () => boolean;
	readonly destroy: () => void;
	/** Registers a listener that is called once, when the connection closes for any reason. */
	readonly registerCloseListener: (listener: () => void) => void;
};

const NOT_RUN_CODES = new Set<UpstreamErrorCode>(['busy', 'lagging', 'read_only', 'unknown_statement']);

/** Whether an error code means that the command was not run. */
export function isNotRun(code: UpstreamErrorCode): boolean {
	return NOT_RUN_CODES.has(code);
}
