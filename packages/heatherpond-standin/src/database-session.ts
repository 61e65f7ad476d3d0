/** One client's session on a stand-in database: transactions and statements, independent of the wire protocol. */
import {waitUntil, type Clock, type LogPosition} from 'heatherpond-core';
import type {TransactionStatus} from 'heatherpond-wire';
import {executeControl, isControlFunction} from './control-functions.js';
import type {DatabaseGroup, GroupMember} from './database-group.js';
import {formatLockKey} from './row-locks.js';
import {createSessionSettings} from './sql-settings.js';
import {createSessionTransaction, readAccessMode} from './sql-transaction.js';
import type {Slots} from './slots.js';
import type {SqlNode} from './sql-expression.js';
import type {SqlValue} from './sql-row.js';
import type {ResultColumn, StatementResult} from './sql-context.js';
import {executeStatement, findResultColumns} from './sql-statement.js';
import {LockHeldError, StatementError} from './standin-error.js';

/** Options of a session. */
export type SessionOptions = {
	readonly group: DatabaseGroup;
	readonly member: GroupMember;
	/** Limits the statements that run concurrently on the database. */
	readonly slots: Slots;
	/** Maximum time that a statement waits for row locks, in milliseconds. Default: 2000. */
	readonly lockTimeoutMs?: number;
	readonly clock: Clock;
	readonly signal: AbortSignal;
	/** Whether the client may call the control functions. */
	readonly isControl: boolean;
	/** Called for each SELECT of a client that is not a control user. */
	readonly handleRead: () => void;
	/** Called when a transaction has ended; its portals end with it. */
	readonly handleTransactionEnd?: () => void;
};

/** Runs the statements of one client sequentially. */
export type DatabaseSession = {
	/** Runs a statement; opens an implicit transaction outside of a transaction block. */
	readonly run: (statement: SqlNode, parameters: readonly SqlValue[]) => Promise<StatementResult>;
	/** Returns the columns of a statement's result, or `undefined` when it returns no rows. */
	readonly describe: (statement: SqlNode) => readonly ResultColumn[] | undefined;
	/** Commits the implicit transaction, at the end of a simple query or at Sync; returns whether it had changes. */
	readonly commitImplicitTransaction: () => boolean;
	/** Returns the value of a configuration parameter. */
	readonly readSetting: (name: string) => string | undefined;
	/** Returns the configuration parameters that have been set, by name in lower case. */
	readonly readSettings: () => Readonly<Record<string, string>>;
	/** Transaction status as reported in ReadyForQuery. */
	readonly readStatus: () => TransactionStatus;
	/** Marks the transaction block as failed, or rolls back the implicit transaction. */
	readonly fail: () => void;
	/** Log position at which the last statement or commit ran. */
	readonly readLogPosition: () => LogPosition;
	/** Rolls back the open transaction, if any. */
	readonly close: () => void;
};

/** Outcome of one attempt at a statement: its result, or the lock to wait for before the next attempt. */
type Attempt = {readonly answer: StatementResult} | {readonly lockKey: string};

const DEFAULT_LOCK_TIMEOUT_MS = 2000;
/** PostgreSQL's message for statements in a failed transaction block. */
const ABORTED_TRANSACTION_MESSAGE = 'current transaction is aborted, commands ignored until end of transaction block';

/** Creates a session with no open transaction. */
export function createDatabaseSession(options: SessionOptions): DatabaseSession {
	const {clock, signal} = options;
	const {database, faults} = options.member;
	const settings = createSessionSettings();
	const transaction = createSessionTransaction(database, {
		isReadOnlyByDefault: () => settings.read('default_transaction_read_only') === 'on',
		handleEnd(hasCommitted) {
			settings.endTransaction(hasCommitted);
			options.handleTransactionEnd?.();
		},
	});
	let logPosition = database.readLastPosition();
	let pendingSleepMs = 0;

	/** Runs work in a slot and holds the slot for the service time and any `pg_sleep` called by the work. */
	async function runInSlot<Result>(serviceTimeMs: number, work: () => Result): Promise<Result> {
		const release = await options.slots.acquire();
		try {
			if (serviceTimeMs > 0) {
				await waitUntil(clock, clock.readNow() + serviceTimeMs, signal);
			}

			const result = work();
			if (pendingSleepMs > 0) {
				const wakeAt = clock.readNow() + pendingSleepMs;
				pendingSleepMs = 0;
				await waitUntil(clock, wakeAt, signal);
			}

			return result;
		} finally {
			release();
		}
	}

	/** Throws if the database is down. */
	function checkRunning(): void {
		if (faults.isDown) {
			throw new StatementError('terminating connection due to administrator command', {props: {sqlState: '57P01'}});
		}
	}

	/** Calls a SQL function; control functions require a control user. */
	function callFunction(name: string, args: readonly SqlValue[]): SqlValue {
		if (isControlFunction(name)) {
			if (!options.isControl) {
				throw new StatementError(`permission denied for function ${name}`, {props: {sqlState: '42501'}});
			}

			return executeControl(name, args, options);
		}

		switch (name) {
			case 'pg_is_in_recovery': {
				return database.readStatus().role === 'replica';
			}

			case 'pg_sleep': {
				pendingSleepMs += Number(args[0]) * 1000;
				return '';
			}

			case 'repeat': {
				return String(args[0]).repeat(Number(args[1]));
			}

			default: {
				throw new StatementError(`function ${name} does not exist`, {props: {sqlState: '42883'}});
			}
		}
	}

	/** Locks a row for the transaction; throws a LockHeldError if another transaction holds the lock. */
	function acquireLock(table: string, key: string): void {
		const lockKey = formatLockKey(table, key);
		if (!database.locks.acquireIfFree(transaction.owner, lockKey)) {
			throw new LockHeldError('the row is locked by another transaction', {props: {key: lockKey}});
		}
	}

	/** Throws a StatementError if the transaction or the database is read-only. */
	function checkWritable(): void {
		if (transaction.isReadOnly()) {
			throw new StatementError('cannot execute a write in a read-only transaction', {props: {sqlState: '25006'}});
		}

		database.checkWritable();
	}

	/** Executes a statement once, without waiting for locks. */
	function executeOnce(statement: SqlNode, parameters: readonly SqlValue[]): StatementResult {
		const result = executeStatement(statement, {
			store: database.store, effects: transaction.readEffects(), scope: {parameters, callFunction}, acquireLock, checkWritable,
		});
		logPosition = database.readLastPosition();
		options.member.counters.selects += statement.SelectStmt && !options.isControl ? 1 : 0;
		return result;
	}

	/** Runs a statement; if another transaction holds a lock that it needs, discards its effects and returns the lock. */
	function runAttempt(statement: SqlNode, parameters: readonly SqlValue[]): Attempt {
		checkRunning();
		const effects = transaction.readEffects();
		const effectCount = effects.length;
		try {
			return {answer: executeOnce(statement, parameters)};
		} catch (error) {
			if (error instanceof LockHeldError) {
				effects.length = effectCount;
				return {lockKey: error.key};
			}

			throw error;
		}
	}

	/**
	 * Runs a statement, waiting for locks as needed. The slot is released during the wait, because the holder of
	 * the lock may need it to finish.
	 */
	async function runWithLockWaits(statement: SqlNode, parameters: readonly SqlValue[]): Promise<StatementResult> {
		if (statement.SelectStmt) {
			options.handleRead();
		}

		const deadline = clock.readNow() + (options.lockTimeoutMs ?? DEFAULT_LOCK_TIMEOUT_MS);
		let attempt = await runInSlot(faults.serviceTimeMs, () => runAttempt(statement, parameters));
		while ('lockKey' in attempt) {
			await database.locks.acquire(transaction.owner, attempt.lockKey, deadline);
			attempt = await runInSlot(0, () => runAttempt(statement, parameters));
		}

		return attempt.answer;
	}

	/** Runs a transaction command; only COMMIT takes a slot and the service time. */
	async function runTransactionCommand(command: SqlNode): Promise<StatementResult> {
		function executeCommand(): StatementResult {
			checkRunning();
			const tag = transaction.execute(command);
			logPosition = tag === 'COMMIT' ? database.readLastPosition() : logPosition;
			return {tag, rows: []};
		}

		return command.kind === 'TRANS_STMT_COMMIT' ? runInSlot(faults.serviceTimeMs, executeCommand) : executeCommand();
	}

	/** Executes a statement that affects only the session; returns `undefined` for any other statement. */
	function executeSetting(statement: SqlNode): StatementResult | undefined {
		if (statement.VariableSetStmt?.kind === 'VAR_SET_MULTI') {
			transaction.setReadOnly(readAccessMode(statement.VariableSetStmt.args) ?? transaction.isReadOnly());
			return {tag: 'SET', rows: []};
		}

		return settings.execute(statement);
	}

	async function runStatement(statement: SqlNode, parameters: readonly SqlValue[]): Promise<StatementResult> {
		if (statement.TransactionStmt) {
			return runTransactionCommand(statement.TransactionStmt);
		}

		if (transaction.isFailed()) {
			throw new StatementError(ABORTED_TRANSACTION_MESSAGE, {props: {sqlState: '25P02'}});
		}

		transaction.startImplicitTransaction();
		return executeSetting(statement) ?? (options.isControl ? executeOnce(statement, parameters) : runWithLockWaits(statement, parameters));
	}

	return {
		run: runStatement,
		describe(statement) {
			const shown = statement.VariableShowStmt?.name as string | undefined;
			return shown ? [{name: shown, typeId: 25}] : findResultColumns(statement, {store: database.store, effects: transaction.readEffects()});
		},
		commitImplicitTransaction() {
			const hasEffects = transaction.readEffects().length > 0 && transaction.readStatus() === 'I';
			checkRunning();
			const committed = transaction.commitImplicitTransaction();
			logPosition = hasEffects && committed ? committed : logPosition;
			return hasEffects;
		},
		readSetting: settings.read,
		readSettings: settings.readAll,
		readStatus: transaction.readStatus,
		fail: transaction.fail,
		readLogPosition: () => logPosition,
		close: transaction.rollBack,
	};
}
