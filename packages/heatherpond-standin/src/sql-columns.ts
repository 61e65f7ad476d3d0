/** Select and RETURNING targets: their result columns and values. */
import type {ResultColumn} from './sql-context.js';
import {evaluateExpression, type EvaluationScope, type SqlNode} from './sql-expression.js';
import {TYPE_ID, type SqlValue, type TableDefinition} from './sql-row.js';

/** Names of the supported aggregate functions. */
const AGGREGATE_FUNCTIONS = new Set(['count', 'sum', 'min', 'max']);

/** Whether a target is `*`. */
export function isStar(target: SqlNode): boolean {
	return Boolean(target.val.ColumnRef?.fields.at(-1).A_Star);
}

/** Returns the result columns of a target; `*` gives all columns of the table. */
export function resolveColumns(target: SqlNode, definition?: TableDefinition): ResultColumn[] {
	if (isStar(target)) {
		return (definition?.columns ?? []).map(column => ({name: column.name, typeId: TYPE_ID[column.type]}));
	}

	const column = target.val.ColumnRef?.fields.at(-1).String?.sval as string | undefined;
	const name = (target.name ?? column ?? target.val.FuncCall?.funcname.at(-1).String.sval ?? '?column?') as string;
	const type = definition?.columns.find(candidate => candidate.name === column)?.type ?? (isNumeric(target.val) ? 'integer' : 'text');
	return [{name, typeId: TYPE_ID[type]}];
}

/** Whether an expression that is not a column has a numeric result: an integer constant or an aggregate. */
function isNumeric(value: SqlNode): boolean {
	const name = value.FuncCall?.funcname.at(-1).String.sval as string | undefined;
	return Boolean(value.A_Const?.ival) || (name !== undefined && AGGREGATE_FUNCTIONS.has(name));
}

/** Evaluates a target for one row; `*` gives the values of all columns. */
export function evaluateTarget(target: SqlNode, definition: TableDefinition | undefined, scope: EvaluationScope): SqlValue[] {
	return isStar(target) ? (definition?.columns ?? []).map(column => scope.row?.[column.name] ?? null) : [evaluateExpression(target.val, scope)];
}

/** Returns the aggregate call that a target consists of, if any. */
export function findAggregate(target: SqlNode): SqlNode | undefined {
	const call = target.val.FuncCall as SqlNode | undefined;
	return call && AGGREGATE_FUNCTIONS.has(call.funcname.at(-1).String.sval) ? call : undefined;
}
