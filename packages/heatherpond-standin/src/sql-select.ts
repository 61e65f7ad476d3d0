/** Executes SELECT statements of the SQL subset. */
import {evaluateTarget, findAggregate, resolveColumns} from './sql-columns.js';
import type {StatementResult, StatementContext} from './sql-context.js';
import {compareValues, evaluateExpression, type SqlNode} from './sql-expression.js';
import {findDefinition, acquireMatchingRows, findMatchingRows} from './sql-lookup.js';
import type {SqlRow, SqlValue, TableDefinition} from './sql-row.js';
import {StatementError} from './standin-error.js';

/** Executes a SELECT over at most one table or a `generate_series` call. */
export function executeSelect(body: SqlNode, context: StatementContext): StatementResult {
	const targets = (body.targetList as SqlNode[]).map(target => target.ResTarget as SqlNode);
	const from = (body.fromClause ?? []) as SqlNode[];
	const tableName = from[0]?.RangeVar?.relname as string | undefined;
	if (from.length === 1 && from[0]?.RangeFunction) {
		return executeSeries(targets, from[0].RangeFunction, context);
	}

	if (from.length > 1 || (from.length === 1 && !tableName)) {
		throw new StatementError('the stand-in supports only one table in FROM', {props: {sqlState: '0A000'}});
	}

	const definition = tableName ? findDefinition(context, tableName) : undefined;
	const columns = targets.flatMap(target => resolveColumns(target, definition));
	const matching: Array<SqlRow | undefined> = definition ? findSelectedRows(body, context, definition) : [undefined];
	if (targets.some(target => findAggregate(target))) {
		const row = targets.map(target => evaluateAggregate(findAggregate(target), matching as SqlRow[], context));
		return {tag: 'SELECT 1', columns, rows: [row]};
	}

	const rows = orderRows(body, matching, context).map(row => targets.flatMap(target => evaluateTarget(target, definition, {...context.scope, row})));
	return {tag: `SELECT ${rows.length}`, columns, rows};
}

/** Finds the selected rows and locks them if the statement has a locking clause such as FOR UPDATE. */
function findSelectedRows(body: SqlNode, context: StatementContext, definition: TableDefinition): SqlRow[] {
	if (!body.lockingClause) {
		return findMatchingRows(body, context, definition);
	}

	context.checkWritable();
	return acquireMatchingRows(body, context, definition);
}

/** Executes `SELECT ... FROM generate_series(first, last)`; rows are generated lazily. */
function executeSeries(targets: readonly SqlNode[], source: SqlNode, context: StatementContext): StatementResult {
	const call = source.functions[0].List.items[0].FuncCall as SqlNode | undefined;
	if (call?.funcname.at(-1).String.sval !== 'generate_series') {
		throw new StatementError('the only function that the stand-in supports in FROM is generate_series', {props: {sqlState: '0A000'}});
	}

	const name = (source.alias?.aliasname ?? 'generate_series') as string;
	const [first, last] = (call.args as SqlNode[]).map(argument => Number(evaluateExpression(argument, context.scope))) as [number, number];
	const definition: TableDefinition = {name, keyColumn: name, columns: [{name, type: 'integer'}]};
	return {
		tag: `SELECT ${Math.max(0, last - first + 1)}`,
		columns: targets.flatMap(target => resolveColumns(target, definition)),
		rows: createSeriesRows(first, last, value => targets.flatMap(target => evaluateTarget(target, definition, {...context.scope, row: {[name]: value}}))),
	};
}

function * createSeriesRows(first: number, last: number, evaluate: (value: number) => SqlValue[]): Generator<SqlValue[]> {
	for (let value = first; value <= last; value++) {
		yield evaluate(value);
	}
}

/** Evaluates an aggregate over all rows; the call is absent if the target is not an aggregate, which would need GROUP BY. */
function evaluateAggregate(call: SqlNode | undefined, rows: readonly SqlRow[], context: StatementContext): SqlValue {
	const name = call?.funcname.at(-1).String.sval as string | undefined;
	if (!call || !name) {
		throw new StatementError('the stand-in does not support GROUP BY', {props: {sqlState: '0A000'}});
	}

	if (call.agg_star) {
		return rows.length;
	}

	const values = rows.map(row => evaluateExpression(call.args[0], {...context.scope, row})).filter(value => value !== null);
	if (name === 'count') {
		return values.length;
	}

	if (name === 'sum') {
		return values.length === 0 ? null : values.reduce<number>((sum, value) => sum + Number(value), 0);
	}

	const ordered = values.toSorted(compareValues);
	return (name === 'min' ? ordered[0] : ordered.at(-1)) ?? null;
}

/** Applies ORDER BY, OFFSET and LIMIT. */
function orderRows(body: SqlNode, rows: ReadonlyArray<SqlRow | undefined>, context: StatementContext): ReadonlyArray<SqlRow | undefined> {
	const clauses = ((body.sortClause ?? []) as SqlNode[]).map(clause => clause.SortBy as SqlNode);
	const ordered = clauses.toReversed().reduce<ReadonlyArray<SqlRow | undefined>>((sorted, clause) => {
		const sign = clause.sortby_dir === 'SORTBY_DESC' ? -1 : 1;
		return sorted.toSorted((left, right) => sign * compareValues(evaluateExpression(clause.node, {...context.scope, row: left}), evaluateExpression(clause.node, {...context.scope, row: right})));
	}, rows);
	const offset = body.limitOffset ? Number(evaluateExpression(body.limitOffset, context.scope)) : 0;
	const limit = body.limitCount ? Number(evaluateExpression(body.limitCount, context.scope)) : ordered.length;
	return ordered.slice(offset, offset + limit);
}
