/** Executes INSERT, UPDATE and DELETE statements of the SQL subset. */
import {evaluateTarget, resolveColumns} from './sql-columns.js';
import type {StatementResult, StatementContext} from './sql-context.js';
import {evaluateExpression, type EvaluationScope, type SqlNode} from './sql-expression.js';
import {findDefinition, acquireMatchingRows, readRow} from './sql-lookup.js';
import type {SqlRow, SqlValue, TableDefinition} from './sql-row.js';
import {StatementError} from './standin-error.js';

/** Converts a value to the type of its column. */
function convertToColumnType(definition: TableDefinition, name: string, value: SqlValue): SqlValue {
	const column = definition.columns.find(candidate => candidate.name === name);
	if (!column) {
		throw new StatementError(`column "${name}" of relation "${definition.name}" does not exist`, {props: {sqlState: '42703'}});
	}

	if (value === null) {
		return null;
	}

	if (column.type === 'integer') {
		const number = Number(value);
		if (Number.isNaN(number)) {
			throw new StatementError(`invalid input syntax for type bigint: "${value}"`, {props: {sqlState: '22P02'}});
		}

		return number;
	}

	return String(value);
}

/** Executes INSERT with a VALUES list, optionally with ON CONFLICT. */
export function executeInsert(body: SqlNode, context: StatementContext): StatementResult {
	const definition = findDefinition(context, body.relation.relname);
	context.checkWritable();
	const names = body.cols ? (body.cols as SqlNode[]).map(column => column.ResTarget.name as string) : definition.columns.map(column => column.name);
	const lists = (body.selectStmt.SelectStmt.valuesLists as SqlNode[]).map(list => list.List.items as SqlNode[]);
	const written = lists.map(items => {
		const values = Object.fromEntries(names.map((name, index) => [name, convertToColumnType(definition, name, evaluateExpression(items[index]!, context.scope))]));
		return insertRow(body, context, definition, values);
	});
	const rows = written.filter(row => row !== undefined);
	return createWriteResult({
		name: 'INSERT 0', body, definition, context,
	}, rows);
}

/** Inserts a row or resolves the conflict with an existing one; returns `undefined` when ON CONFLICT DO NOTHING skips it. */
function insertRow(body: SqlNode, context: StatementContext, definition: TableDefinition, values: SqlRow): SqlRow | undefined {
	const empty = Object.fromEntries(definition.columns.map(column => [column.name, null]));
	const row: SqlRow = {...empty, ...values};
	const key = String(row[definition.keyColumn]);
	context.acquireLock(definition.name, key);
	const existing = readRow(context, definition.name, key);
	if (!existing) {
		context.effects.push({
			kind: 'putRow', table: definition.name, key, row,
		});
		return row;
	}

	const action = body.onConflictClause?.action as string | undefined;
	if (action === 'ONCONFLICT_NOTHING') {
		return undefined;
	}

	if (action === 'ONCONFLICT_UPDATE') {
		return updateRow(context, definition, body.onConflictClause.targetList, {row: existing, excluded: row});
	}

	throw new StatementError(`duplicate key value violates unique constraint "${definition.name}_pkey"`, {props: {sqlState: '23505'}});
}

/** Applies the SET clause to a row and returns the new row. */
function updateRow(context: StatementContext, definition: TableDefinition, targets: SqlNode[], rows: {readonly row: SqlRow; readonly excluded?: SqlRow}): SqlRow {
	const scope: EvaluationScope = {...context.scope, ...rows};
	const changes = Object.fromEntries(targets.map(target => {
		const name = target.ResTarget.name as string;
		return [name, convertToColumnType(definition, name, evaluateExpression(target.ResTarget.val, scope))];
	}));
	const row: SqlRow = {...rows.row, ...changes};
	context.effects.push({
		kind: 'putRow', table: definition.name, key: String(rows.row[definition.keyColumn]), row,
	});
	return row;
}

/** Executes UPDATE, optionally with RETURNING. */
export function executeUpdate(body: SqlNode, context: StatementContext): StatementResult {
	const definition = findDefinition(context, body.relation.relname);
	context.checkWritable();
	const rows = acquireMatchingRows(body, context, definition).map(row => updateRow(context, definition, body.targetList, {row}));
	return createWriteResult({
		name: 'UPDATE', body, definition, context,
	}, rows);
}

/** Executes DELETE, optionally with RETURNING. */
export function executeDelete(body: SqlNode, context: StatementContext): StatementResult {
	const definition = findDefinition(context, body.relation.relname);
	context.checkWritable();
	const rows = acquireMatchingRows(body, context, definition);
	rows.forEach(row => {
		context.effects.push({kind: 'deleteRow', table: definition.name, key: String(row[definition.keyColumn])});
	});
	return createWriteResult({
		name: 'DELETE', body, definition, context,
	}, rows);
}

/** A data modification statement whose result is being created. */
type WriteStatement = {
	readonly name: string;
	readonly body: SqlNode;
	readonly definition: TableDefinition;
	readonly context: StatementContext;
};

/** Creates the result of a data modification, with the columns of RETURNING. */
function createWriteResult(command: WriteStatement, rows: readonly SqlRow[]): StatementResult {
	const {definition, context} = command;
	const tag = `${command.name} ${rows.length}`;
	const returning = command.body.returningList as SqlNode[] | undefined;
	if (!returning) {
		return {tag, rows: []};
	}

	return {
		tag,
		columns: returning.flatMap(target => resolveColumns(target.ResTarget, definition)),
		rows: rows.map(row => returning.flatMap(target => evaluateTarget(target.ResTarget, definition, {...context.scope, row}))),
	};
}
