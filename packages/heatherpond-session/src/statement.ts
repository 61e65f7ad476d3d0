/** Client statements, independent of the wire protocol. */

/** Whether a statement reads or changes data. */
export type StatementAccess = 'read' | 'write';

/** Parsed action of a statement. */
export type StatementAction
	= | {readonly kind: 'begin'; readonly isReadOnly: boolean}
		| {readonly kind: 'commit'}
		| {readonly kind: 'rollback'}
	/** A statement that is forwarded to a database unchanged. */
		| {readonly kind: 'data'; readonly access: StatementAccess}
		| {readonly kind: 'set'; readonly name: string; readonly value: string}
		| {readonly kind: 'prepare'; readonly name: string; readonly access: StatementAccess; readonly shape: string}
		| {readonly kind: 'execute'; readonly name: string; readonly arguments: string}
		| {readonly kind: 'deallocate'; readonly name: string}
	/** A statement whose text was dropped when it arrived, because there was no memory for it. */
		| {readonly kind: 'dropped'}
	/** A statement that could not be parsed. */
		| {readonly kind: 'unreadable'};

/** One client statement. */
export type Statement = {
	/** Request id chosen by the client; sent to the database unchanged. */
	readonly id: string;
	/** Statement text; sent to the database unchanged. */
	readonly text: string;
	readonly action: StatementAction;
};

/** Transaction state reported to a client: none, open, or failed until the client ends it. */
export type TransactionState = 'idle' | 'open' | 'failed';
