/** Port to the platform's store: versioned tables of rows with conditional transactions. */
import ModernError from 'modern-errors';
import type {Deadline, Instant} from 'heatherpond-core';

/** The current value of a row, or its removal. */
export type RowChange = {
	readonly key: string;
	/** Version of the transaction that wrote the row. */
	readonly version: number;
	/** Value of the row; absent when the row was removed or its value is not text. */
	readonly value?: string;
};

/** Rows of a table at one moment, or its changes since a version. */
export type TablePage = {
	readonly rows: readonly RowChange[];
	/** Latest version of the store when it responded. */
	readonly version: number;
	/** Monotonic clock of the store in milliseconds when it responded. */
	readonly storeNow: Instant;
	/** Milliseconds by which the page was complete before the request was sent, when another host has relayed it. */
	readonly ageMs?: number;
};

/** Identifies a row. */
export type RowName = {readonly table: string; readonly key: string};

/** An atomic change of rows. */
export type StoreTransaction = {
	/** Required row versions; 0 for a row that must not exist. */
	readonly expected: ReadonlyArray<RowName & {readonly version: number}>;
	readonly puts: ReadonlyArray<RowName & {readonly value: string}>;
	readonly removed: readonly RowName[];
};

/** Result of a transaction; a conflict means that a required version did not match and nothing was changed. */
export type TransactionResult
	= | {readonly kind: 'done'; readonly version: number; readonly storeNow: Instant}
		| {readonly kind: 'conflict'};

/** Client of the store. A call that has not succeeded by its deadline rejects with a StoreError. */
export type StorePort = {
	/** Reads all rows of a table. */
	readonly readTable: (table: string, deadline: Deadline) => Promise<TablePage>;
	/** Reads the changes of a table after a version. */
	readonly readChanges: (table: string, after: number, deadline: Deadline) => Promise<TablePage>;
	/** Carries out a transaction. After a rejection its outcome may be unknown. */
	readonly writeRows: (transaction: StoreTransaction, deadline: Deadline) => Promise<TransactionResult>;
};

/** Reason why a call to the store failed. */
export type StoreFailure
	/** The store rejected the call; nothing was changed. */
	= 'unavailable' | 'throttled'
	/** No response arrived; a transaction may have been carried out, or may still be. */
		| 'silent'
	/** The change history since the requested version is no longer available. */
		| 'history_lost'
		| 'refused';

const DEFAULT_FAILURE = 'silent' as StoreFailure;

/** Error of a call to the store that failed. */
export const StoreError = ModernError.subclass('StoreError', {props: {failure: DEFAULT_FAILURE}});

/** Creates the error of a failed call to the store. */
export function createStoreError(message: string, failure: StoreFailure): Error {
	return new StoreError(message, {props: {failure}});
}
