/** Execution context and result of a statement of the SQL subset. */
import type {Effect} from './log-record.js';
import type {EvaluationScope} from './sql-expression.js';
import type {SqlValue} from './sql-row.js';
import type {TableStore} from './sql-table.js';

/** Execution context of a statement. */
export type StatementContext = {
	/** Committed tables. */
	readonly store: TableStore;
	/** Uncommitted changes of the transaction; statements append theirs. */
	readonly effects: Effect[];
	/** Parameters and functions that expressions may use. */
	readonly scope: Omit<EvaluationScope, 'row' | 'excluded'>;
	/** Locks a row before it is read for writing; throws a LockHeldError if another transaction holds the lock. */
	readonly acquireLock: (table: string, key: string) => void;
	/** Throws a StatementError if the transaction or the database is read-only. */
	readonly checkWritable: () => void;
};

/** A column of a result, with the object id of its type. */
export type ResultColumn = {readonly name: string; readonly typeId: number};

/** Result of a statement. */
export type StatementResult = {
	/** Command tag, such as `INSERT 0 1`. */
	readonly tag: string;
	/** Columns of the rows; absent for statements that return no rows. */
	readonly columns?: readonly ResultColumn[];
	/** Rows of the result; those of a large series are generated lazily. */
	readonly rows: Iterable<readonly SqlValue[]>;
};
