/** What a caller is answered. */
import type {LogPoint} from 'heatherpond-core';
import type {Refusal} from './refusal.js';
import type {TransactionState} from './statement.js';

/** An answer to one statement. */
export type SessionReply
	/** A database's answer, passed on untouched. */
	= | {
		readonly kind: 'answer';
		readonly body: string;
		readonly state: TransactionState;
		readonly point?: LogPoint;
		/** Database that answered. */
		readonly database: string;
		readonly isError: boolean;
	}
	/** Heatherpond has answered by itself. */
	| {readonly kind: 'done'; readonly state: TransactionState}
	| {readonly kind: 'refused'; readonly refusal: Refusal; readonly state: TransactionState; readonly endsSession: boolean};
