/**
 * Handle of a database connection that is in use by one statement or transaction. The connection itself may be held by
 * another host, which relays the commands.
 */
import type {Deadline, LogPosition} from 'heatherpond-core';
import type {RequiredConnectionState} from './connection-setup.js';
import type {Homes} from './homes.js';
import type {Primary} from './session-services.js';
import type {UpstreamResponse, UpstreamCommand} from './upstream-connection.js';

/** A client's statement as one host passes it to another; the name of a prepared statement is known where the connection is. */
export type StepCommand = ForwardCommand | ExecuteStep;

type ForwardCommand = Extract<UpstreamCommand, {readonly kind: 'forward'}>;

/** Execution of the prepared statement that the step needs. */
export type ExecuteStep = Omit<Extract<UpstreamCommand, {readonly kind: 'execute'}>, 'name'>;

/** One step on a connection: connection setup, opening of a transaction, and a command, in this order; each is optional. */
export type ConnectionStep = {
	/** State that the connection must have first. */
	readonly needs?: RequiredConnectionState;
	/** Opens a transaction; `after` is the log position that the database must have reached. */
	readonly begin?: {readonly isReadOnly: boolean; readonly after?: LogPosition};
	readonly command?: StepCommand;
	/** Whether the command cannot be retried, so that a connection that has been idle is checked before it is sent. */
	readonly isSentOnce: boolean;
	/** Whether the connection can be released once a response reports that no transaction is open. */
	readonly isLast: boolean;
	/** The primary and its term; set when the step is valid only while the database is that primary. */
	readonly primary?: Primary;
	readonly deadline: Deadline;
};

/** Where the time of a step went, in milliseconds: at the database, and at the relay in all if there is one. */
export type StepTiming = {readonly ranMs: number; readonly heldMs?: number};

/** Result of a step. */
export type StepResult
	/** The database responded to the command, with success or an error. */
	= | {readonly kind: 'answered'; readonly answer: UpstreamResponse; readonly timing?: StepTiming}
	/** The database rejected the setup or the opening of the transaction; the command was not sent. */
		| {readonly kind: 'refused'; readonly answer: UpstreamResponse}
	/** Setup succeeded, and the step had no command. */
		| {readonly kind: 'prepared'};

/**
 * Handle of a connection in use. It has one owner, a statement or a transaction, which releases it exactly once on whatever
 * path it ends.
 */
export type ConnectionHandle = {
	readonly database: string;
	readonly team: string;
	/**
	 * Runs a step on the connection.
	 *
	 * @throws UpstreamError when the connection fails, and is closed then, or has been released
	 */
	readonly run: (step: ConnectionStep) => Promise<StepResult>;
	/**
	 * Ends the use of the connection. What becomes of it follows from the state that the database reported last: it returns to
	 * the pool, is rolled back first, or is closed when a response is missing. Further calls have no effect.
	 */
	readonly release: () => void;
};

/** Request for a connection. */
export type ConnectionRequest = {
	readonly team: string;
	/** Priority class; 0 is the most urgent. */
	readonly priority: number;
	/** Regions in which the statements may be run. */
	readonly homes?: Homes;
	/** Session variables; an idle connection that already has them is preferred. */
	readonly variables: ReadonlyMap<string, string>;
	readonly deadline: Deadline;
	/** When the operation misses its target latency; by default the deadline. */
	readonly objective?: Deadline;
	/** Cancels the wait. */
	readonly signal: AbortSignal;
};
