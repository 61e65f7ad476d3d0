/** A connection to a database on loan to one statement or transaction. Another host may hold the connection. */
import type {Deadline, LogPoint} from 'heatherpond-core';
import type {SessionNeeds} from './connection-setup.js';
import type {Primary} from './session-services.js';
import type {UpstreamAnswer, UpstreamCommand} from './upstream-connection.js';

/** What is done on a connection in one go: its setup, the opening of a transaction, and a command, as far as given. */
export type WorkStep = {
	/** What the connection is brought to first. */
	readonly needs?: SessionNeeds;
	readonly begin?: {readonly isReadOnly: boolean; readonly after?: LogPoint};
	readonly command?: UpstreamCommand;
	/** Whether the command must not be sent on a connection that may have gone silent, because it cannot be sent twice. */
	readonly isSentOnce: boolean;
	/** Whether the connection is free again when the answer says that no transaction is open. */
	readonly isLast: boolean;
	/** Set when the database is used as the primary that it is in a term. */
	readonly primary?: Primary;
	readonly deadline: Deadline;
};

/** How a step ended. */
export type StepEnd
	/** The command has been answered, whatever the answer. */
	= | {readonly kind: 'answered'; readonly answer: UpstreamAnswer}
	/** The setup or the opening of the transaction was refused; the command was not sent. */
		| {readonly kind: 'refused'; readonly answer: UpstreamAnswer}
	/** There was no command. */
		| {readonly kind: 'prepared'};

/** A connection on loan. */
export type Loan = {
	readonly database: string;
	readonly team: string;
	/**
	 * Runs a step.
	 *
	 * @throws UpstreamError after which the connection is closed
	 */
	readonly run: (step: WorkStep) => Promise<StepEnd>;
	/** Gives the connection back; one that is not clean is closed. Calling it again does nothing. */
	readonly release: (isClean: boolean) => void;
	/**
	 * Rolls back what is open and gives the connection back.
	 *
	 * @throws UpstreamError when the database does not answer; the connection is closed then
	 */
	readonly rollBack: (deadline: Deadline) => Promise<void>;
};

/** Who wants a connection. */
export type LoanRequest = {
	readonly team: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Session values; a connection that has them already suits better than others. */
	readonly variables: ReadonlyMap<string, string>;
	readonly deadline: Deadline;
	readonly signal: AbortSignal;
};
