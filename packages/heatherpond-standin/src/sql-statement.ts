/** Dispatches statements of the SQL subset to their executors. */
import {resolveColumns} from './sql-columns.js';
import type {ResultColumn, StatementResult, StatementContext} from './sql-context.js';
import type {SqlNode} from './sql-expression.js';
import {findDefinition} from './sql-lookup.js';
import type {TableDefinition} from './sql-row.js';
import {executeSelect} from './sql-select.js';
import {executeDelete, executeInsert, executeUpdate} from './sql-write.js';
import {StatementError} from './standin-error.js';

/** Executes a query, data modification or CREATE TABLE statement; transaction commands and settings are handled by the session. */
export function executeStatement(node: SqlNode, context: StatementContext): StatementResult {
	const [kind, body] = Object.entries(node)[0] as [string, SqlNode];
	switch (kind) {
		case 'SelectStmt': {
			return executeSelect(body, context);
		}

		case 'InsertStmt': {
			return executeInsert(body, context);
		}

		case 'UpdateStmt': {
			return executeUpdate(body, context);
		}

		case 'DeleteStmt': {
			return executeDelete(body, context);
		}

		case 'CreateStmt': {
			return executeCreate(body, context);
		}

		default: {
			throw new StatementError(`the stand-in does not support ${kind}`, {props: {sqlState: '0A000'}});
		}
	}
}

/** Executes CREATE TABLE. Without a PRIMARY KEY column constraint, the first column is the key. */
function executeCreate(body: SqlNode, context: StatementContext): StatementResult {
	const name = body.relation.relname as string;
	context.checkWritable();
	context.acquireLock(name, '');
	if (context.store.findTable(name)) {
		if (body.if_not_exists) {
			return {tag: 'CREATE TABLE', rows: []};
		}

		throw new StatementError(`relation "${name}" already exists`, {props: {sqlState: '42P07'}});
	}

	const columns = (body.tableElts as SqlNode[]).filter(element => element.ColumnDef).map(element => element.ColumnDef as SqlNode);
	const key = columns.find(column => ((column.constraints ?? []) as SqlNode[]).some(constraint => constraint.Constraint.contype === 'CONSTR_PRIMARY')) ?? columns[0]!;
	context.effects.push({
		kind: 'createTable',
		table: {
			name,
			keyColumn: key.colname,
			columns: columns.map(column => ({name: column.colname, type: isIntegerType(column.typeName.names.at(-1).String.sval) ? 'integer' : 'text'})),
		},
	});
	return {tag: 'CREATE TABLE', rows: []};
}

function isIntegerType(name: string): boolean {
	return name.startsWith('int') || name === 'numeric' || name === 'float8';
}

/** Returns the result columns of a statement without executing it; `undefined` when it returns no rows. */
export function findResultColumns(node: SqlNode, context: Pick<StatementContext, 'store' | 'effects'>): readonly ResultColumn[] | undefined {
	const [kind, body] = Object.entries(node)[0] as [string, SqlNode];
	const targets = (kind === 'SelectStmt' ? body.targetList : body.returningList) as SqlNode[] | undefined;
	if (!targets) {
		return undefined;
	}

	const table = (kind === 'SelectStmt' ? body.fromClause?.[0]?.RangeVar?.relname : body.relation.relname) as string | undefined;
	const series = body.fromClause?.[0]?.RangeFunction?.alias?.aliasname as string | undefined ?? 'generate_series';
	const definition: TableDefinition = table ? findDefinition(context, table) : {name: series, keyColumn: series, columns: [{name: series, type: 'integer'}]};
	return targets.flatMap(target => resolveColumns(target.ResTarget, definition));
}
