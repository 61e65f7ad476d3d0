/** One database of a group: its log, term, role and replication, independent of the wire protocol. */
import type {Clock, DatabaseStatus, LogPosition} from 'heatherpond-core';
import {
	countSharedRecords, EFFECT_BYTES, RECORD_BYTES, START_POSITION, type Effect, type LogRecord,
} from './log-record.js';
import {createRowLocks, type RowLocks} from './row-locks.js';
import {createTableStore, type TableStore} from './sql-table.js';
import {StatementError} from './standin-error.js';

/** Message with which a primary replicates its log to a replica. */
export type ReplicationMessage = {
	readonly primary: string;
	readonly term: number;
	/** The primary's log by reference. It is append-only while the primary keeps its role; the replica applies the records it lacks. */
	readonly history: readonly LogRecord[];
	/** Number of records in `history` when the message was sent; later ones are ignored. */
	readonly length: number;
	/** Send time in monotonic milliseconds of the process. */
	readonly sentAt: number;
};

/** One database of a group. */
export type Database = {
	readonly name: string;
	readonly store: TableStore;
	readonly locks: RowLocks;
	readonly readStatus: () => DatabaseStatus;
	/** Returns all log records. */
	readonly readHistory: () => readonly LogRecord[];
	/** Returns the log position of the last record. */
	readonly readLastPosition: () => LogPosition;
	/** Returns the term in which the database is primary, or `undefined` if it is a replica or knows a higher term. */
	readonly readPrimaryTerm: () => number | undefined;
	/** Throws a StatementError if the database does not accept writes. */
	readonly checkWritable: () => void;
	/** Commits changes as one log record and returns the log position; throws a StatementError if the database does not accept writes. */
	readonly commit: (effects: readonly Effect[]) => LogPosition;
	/** Grants a term to a promoter, which fences the primary of earlier terms. Throws if the term is not higher than the current one, unless it is the same promoter's. */
	readonly raiseTerm: (term: number, promoter: string) => DatabaseStatus;
	/** Makes the database primary of the term; throws unless the term is current and granted to the promoter. */
	readonly promote: (term: number, promoter: string) => DatabaseStatus;
	/** Makes the database a replica of a primary; records that the primary's log does not contain are discarded. Without `history` the primary could not be reached. */
	readonly follow: (primary: string, term: number, history: readonly LogRecord[] | undefined) => DatabaseStatus;
	/** Records contact with a primary. It is separate from `receive`, as the data may arrive later. */
	readonly recordPrimaryContact: (primary: string) => void;
	/** Applies a replication message; returns false if it is not from the followed primary or its term is outdated. */
	readonly applyReplication: (message: ReplicationMessage) => boolean;
	/** Registers a listener that is called after each commit on this database. */
	readonly registerCommitListener: (listener: () => void) => void;
};

/** Options of a database. */
export type DatabaseOptions = {
	readonly name: string;
	readonly clock: Clock;
	/** Name of the primary in term 1. */
	readonly firstPrimary: string;
};

/** Creates the error for a write or role change that the database's role or term does not allow. */
function createReadOnlyError(message: string): Error {
	return new StatementError(message, {props: {sqlState: '25006'}});
}

/** Creates an empty database in term 1. */
export function createDatabase(options: DatabaseOptions): Database {
	const {name, clock} = options;
	const store = createTableStore();
	const listeners: Array<() => void> = [];
	let history: LogRecord[] = [];
	let role: DatabaseStatus['role'] = name === options.firstPrimary ? 'primary' : 'replica';
	let primaryTerm = role === 'primary' ? 1 : 0;
	let term = 1;
	let grantedTo = '';
	let follows = role === 'primary' ? '' : options.firstPrimary;
	let dataUpdatedAt = clock.readNow();
	let lastContactAt = clock.readNow();

	function readLastPosition(): LogPosition {
		return history.at(-1)?.point ?? START_POSITION;
	}

	function readStatus(): DatabaseStatus {
		const now = clock.readNow();
		const isPrimary = role === 'primary';
		return {
			name, role, term, grantedTo, last: readLastPosition(), follows, dataAgeMs: isPrimary ? 0 : now - dataUpdatedAt, heardMs: isPrimary ? 0 : now - lastContactAt,
		};
	}

	function applyRecord(record: LogRecord): void {
		record.effects.forEach(store.apply);
		history.push(record);
	}

	/** Brings the log in line with the first `length` records of a primary's log; records that it does not contain are discarded. */
	function applyHistory(records: readonly LogRecord[], length: number): void {
		const sharedLength = countSharedRecords(history, records);
		if (sharedLength < history.length) {
			const sharedRecords = history.slice(0, sharedLength);
			history = [];
			store.reset();
			sharedRecords.forEach(applyRecord);
		}

		records.slice(history.length, length).forEach(applyRecord);
	}

	function checkWritable(): void {
		if (role !== 'primary') {
			throw createReadOnlyError('cannot execute a write in a read-only transaction: the database is a replica');
		}

		if (primaryTerm < term) {
			throw createReadOnlyError(`cannot execute a write in a read-only transaction: term ${term} was granted to "${grantedTo}", this database is primary of term ${primaryTerm}`);
		}
	}

	return {
		name,
		store,
		locks: createRowLocks(clock),
		readStatus,
		readLastPosition,
		readHistory: () => history,
		readPrimaryTerm: () => role === 'primary' && primaryTerm === term ? primaryTerm : undefined,
		checkWritable,
		commit(effects) {
			if (effects.length === 0) {
				return readLastPosition();
			}

			checkWritable();
			const position = readLastPosition().position + BigInt(RECORD_BYTES + (EFFECT_BYTES * effects.length));
			applyRecord({point: {term: primaryTerm, position}, effects, committedAt: clock.readNow()});
			listeners.forEach(listener => {
				listener();
			});
			return readLastPosition();
		},
		raiseTerm(requestedTerm, promoter) {
			const isRepeatedGrant = requestedTerm === term && promoter === grantedTo;
			if (requestedTerm <= term && !isRepeatedGrant) {
				throw createReadOnlyError(`term ${requestedTerm} was refused: term ${term} was granted to "${grantedTo}"`);
			}

			term = requestedTerm;
			grantedTo = promoter;
			return readStatus();
		},
		promote(requestedTerm, promoter) {
			if (requestedTerm !== term || promoter !== grantedTo) {
				throw createReadOnlyError(`promotion in term ${requestedTerm} was refused: term ${term} was granted to "${grantedTo}"`);
			}

			role = 'primary';
			primaryTerm = requestedTerm;
			follows = '';
			return readStatus();
		},
		follow(primary, requestedTerm, records) {
			if (requestedTerm < term) {
				throw createReadOnlyError(`term ${requestedTerm} was refused: term ${term} was granted to "${grantedTo}"`);
			}

			if (requestedTerm > term) {
				term = requestedTerm;
				grantedTo = '';
			}

			role = 'replica';
			follows = primary;
			if (records) {
				lastContactAt = clock.readNow();
				applyHistory(records, records.length);
			}

			return readStatus();
		},
		recordPrimaryContact(primary) {
			if (role === 'replica' && primary === follows) {
				lastContactAt = clock.readNow();
			}
		},
		applyReplication(message) {
			if (role !== 'replica' || message.primary !== follows || message.term < term) {
				return false;
			}

			if (message.term > term) {
				term = message.term;
				grantedTo = '';
			}

			applyHistory(message.history, message.length);
			dataUpdatedAt = Math.max(dataUpdatedAt, message.sentAt);
			return true;
		},
		registerCommitListener(listener) {
			listeners.push(listener);
		},
	};
}
