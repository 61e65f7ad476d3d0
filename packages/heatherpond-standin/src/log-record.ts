/** The log of a database: replicas copy it, and a failover may discard records at its end. */
import type {LogPosition, TermStart} from 'heatherpond-core';
import type {SqlRow, TableDefinition} from './sql-row.js';

/** One change to a row or table. */
export type Effect
	= | {readonly kind: 'createTable'; readonly table: TableDefinition}
		| {readonly kind: 'putRow'; readonly table: string; readonly key: string; readonly row: SqlRow}
		| {readonly kind: 'deleteRow'; readonly table: string; readonly key: string};

/** Log record of one committed transaction. */
export type LogRecord = {
	/** Log position after this record. */
	readonly point: LogPosition;
	readonly effects: readonly Effect[];
	/** Commit time on the primary, in monotonic milliseconds of the process. */
	readonly committedAt: number;
};

/** Bytes by which a record advances the log position, in addition to those of its effects. */
export const RECORD_BYTES = 32;

/** Bytes by which each effect of a record advances the log position. */
export const EFFECT_BYTES = 64;

/** Log position of an empty log. */
export const START_POSITION: LogPosition = {term: 0, position: 0n};

/** Returns the length of the common prefix of two logs. Records with the same index and log position are the same record. */
export function countSharedRecords(left: readonly LogRecord[], right: readonly LogRecord[]): number {
	if (left.length === 0 || isSameRecord(left.at(-1), right[left.length - 1])) {
		return left.length;
	}

	return 1 + left.findLastIndex((record, index) => isSameRecord(record, right[index]));
}

/** Whether two records have the same log position, or are both absent. */
function isSameRecord(left: LogRecord | undefined, right: LogRecord | undefined): boolean {
	return left?.point.position === right?.point.position && left?.point.term === right?.point.term;
}

/** Log positions at which the terms of a database begin. */
export type TermHistory = readonly TermStart[];
