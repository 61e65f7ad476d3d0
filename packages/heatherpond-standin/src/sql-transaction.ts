/** Transaction state of one session: transaction block, savepoints, uncommitted changes and locks. */
import type {LogPosition} from 'heatherpond-core';
import type {TransactionStatus} from 'heatherpond-wire';
import type {Database} from './database.js';
import type {Effect} from './log-record.js';
import type {LockOwner} from './row-locks.js';
import type {SqlNode} from './sql-expression.js';
import {StatementError} from './standin-error.js';

/** State of the transaction block. `implicit`: statements outside of BEGIN, which commit together at the end of a simple query or at Sync. */
type BlockState = 'none' | 'implicit' | 'explicit' | 'failed';

/** A savepoint and the number of changes made before it. */
type Savepoint = {readonly name: string; readonly effectCount: number};

/** Transaction state of a session. The object is reused for all transactions of the session, one after the other. */
export type SessionTransaction = {
	/** Lock owner of this session's transactions. */
	readonly owner: LockOwner;
	/** Uncommitted changes of the transaction; statements append theirs. */
	readonly readEffects: () => Effect[];
	/** Transaction status as reported in ReadyForQuery. */
	readonly readStatus: () => TransactionStatus;
	readonly isFailed: () => boolean;
	readonly isReadOnly: () => boolean;
	/** Starts an implicit transaction unless a transaction is open. */
	readonly startImplicitTransaction: () => void;
	/** Commits the implicit transaction, if one is open. */
	readonly commitImplicitTransaction: () => LogPosition | undefined;
	/** Executes BEGIN, COMMIT, ROLLBACK or a savepoint command and returns the command tag. */
	readonly execute: (command: SqlNode) => string;
	readonly setReadOnly: (isReadOnly: boolean) => void;
	/** Marks a transaction block as failed and releases its locks; an implicit transaction is rolled back. */
	readonly fail: () => void;
	/** Rolls back the open transaction, if any. */
	readonly rollBack: () => void;
};

/** Functions that a session passes to its transactions. */
export type TransactionHooks = {
	/** Called when a transaction begins. */
	readonly isReadOnlyByDefault: () => boolean;
	/** Called when a transaction has ended. */
	readonly handleEnd: (hasCommitted: boolean) => void;
};

/** Creates the transaction state of a session. */
export function createSessionTransaction(database: Database, {isReadOnlyByDefault, handleEnd}: TransactionHooks): SessionTransaction {
	const owner: LockOwner = {id: Symbol('transaction')};
	let block: BlockState = 'none';
	let isReadOnly = false;
	let effects: Effect[] = [];
	let savepoints: Savepoint[] = [];

	function endBlock(hasCommitted: boolean): void {
		block = 'none';
		isReadOnly = false;
		effects = [];
		savepoints = [];
		database.locks.release(owner);
		handleEnd(hasCommitted);
	}

	function endWithRollback(): void {
		endBlock(false);
	}

	function endWithCommit(): LogPosition {
		let hasCommitted = false;
		try {
			const position = database.commit(effects);
			hasCommitted = true;
			return position;
		} finally {
			endBlock(hasCommitted);
		}
	}

	/** Executes BEGIN or START TRANSACTION; an implicit transaction becomes part of the block. */
	function startBlock(command: SqlNode): void {
		isReadOnly = block === 'none' ? isReadOnlyByDefault() : isReadOnly;
		block = block === 'failed' ? 'failed' : 'explicit';
		isReadOnly = readAccessMode(command.options) ?? isReadOnly;
	}

	function findSavepoint(name: string): Savepoint {
		const savepoint = savepoints.findLast(candidate => candidate.name === name);
		if (!savepoint) {
			throw new StatementError(`savepoint "${name}" does not exist`, {props: {sqlState: '3B001'}});
		}

		return savepoint;
	}

	/** Executes SAVEPOINT, RELEASE or ROLLBACK TO. */
	function executeSavepoint(kind: string, name: string): string {
		if (kind === 'TRANS_STMT_SAVEPOINT') {
			savepoints.push({name, effectCount: effects.length});
			return 'SAVEPOINT';
		}

		const savepoint = findSavepoint(name);
		if (kind === 'TRANS_STMT_RELEASE') {
			savepoints = savepoints.slice(0, savepoints.indexOf(savepoint));
			return 'RELEASE';
		}

		effects.length = savepoint.effectCount;
		savepoints = savepoints.slice(0, savepoints.indexOf(savepoint) + 1);
		block = 'explicit';
		return 'ROLLBACK';
	}

	function executeCommand(command: SqlNode): string {
		switch (command.kind as string) {
			case 'TRANS_STMT_BEGIN':
			case 'TRANS_STMT_START': {
				startBlock(command);
				return command.kind === 'TRANS_STMT_BEGIN' ? 'BEGIN' : 'START TRANSACTION';
			}

			case 'TRANS_STMT_COMMIT': {
				const hasFailed = block === 'failed';
				if (hasFailed) {
					endWithRollback();
				} else {
					endWithCommit();
				}

				return hasFailed ? 'ROLLBACK' : 'COMMIT';
			}

			case 'TRANS_STMT_ROLLBACK': {
				endWithRollback();
				return 'ROLLBACK';
			}

			case 'TRANS_STMT_SAVEPOINT':
			case 'TRANS_STMT_RELEASE':
			case 'TRANS_STMT_ROLLBACK_TO': {
				return executeSavepoint(command.kind, command.savepoint_name);
			}

			default: {
				throw new StatementError('the stand-in does not support two-phase commit', {props: {sqlState: '0A000'}});
			}
		}
	}

	return {
		owner,
		readEffects: () => effects,
		readStatus: () => block === 'explicit' ? 'T' : (block === 'failed' ? 'E' : 'I'),
		isFailed: () => block === 'failed',
		isReadOnly: () => isReadOnly,
		startImplicitTransaction() {
			if (block === 'none') {
				block = 'implicit';
				isReadOnly = isReadOnlyByDefault();
			}
		},
		commitImplicitTransaction: () => block === 'implicit' ? endWithCommit() : undefined,
		execute: executeCommand,
		setReadOnly(value) {
			isReadOnly = value;
		},
		fail() {
			if (block === 'implicit') {
				endWithRollback();
			} else if (block === 'explicit') {
				block = 'failed';
				database.locks.release(owner);
			}
		},
		rollBack: endWithRollback,
	};
}

/** Returns true for READ ONLY and false for READ WRITE among the options of BEGIN or SET TRANSACTION; `undefined` for neither. */
export function readAccessMode(options: readonly SqlNode[] | undefined): boolean | undefined {
	const option = options?.find(candidate => candidate.DefElem?.defname === 'transaction_read_only');
	return option && Boolean(option.DefElem.arg.A_Const.ival.ival);
}
