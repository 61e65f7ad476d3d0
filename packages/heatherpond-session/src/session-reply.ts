/** Replies of a session to its client. */
import type {LogPosition} from 'heatherpond-core';
import type {Refusal} from './refusal.js';
import type {TransactionState} from './statement.js';

/** Reply to one statement. */
export type SessionReply
	/** Response of a database, forwarded unchanged. */
	= | {
		readonly kind: 'answer';
		readonly body: string;
		/** Transaction state after the statement. */
		readonly state: TransactionState;
		/** Log position of the database when it responded. */
		readonly point?: LogPosition;
		/** Database that ran the statement. */
		readonly database: string;
		/** Whether the response is an error. */
		readonly isError: boolean;
	}
	/** The statement succeeded without a database. */
	| {readonly kind: 'done'; readonly state: TransactionState}
	/** The statement was refused; `endsSession` tells whether the connection is closed after the reply. */
	| {readonly kind: 'refused'; readonly refusal: Refusal; readonly state: TransactionState; readonly endsSession: boolean};
