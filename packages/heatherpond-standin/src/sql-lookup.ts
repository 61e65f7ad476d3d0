/** Finds tables and rows as a transaction sees them: committed state plus its own changes. */
import type {StatementContext} from './sql-context.js';
import {evaluateExpression, type SqlNode} from './sql-expression.js';
import type {SqlRow, TableDefinition} from './sql-row.js';
import {StatementError} from './standin-error.js';

/** Returns the definition of a table, or throws if it does not exist. */
export function findDefinition(context: Pick<StatementContext, 'store' | 'effects'>, name: string): TableDefinition {
	const pending = context.effects.find(effect => effect.kind === 'createTable' && effect.table.name === name);
	const definition = pending?.kind === 'createTable' ? pending.table : context.store.findTable(name)?.definition;
	if (!definition) {
		throw new StatementError(`relation "${name}" does not exist`, {props: {sqlState: '42P01'}});
	}

	return definition;
}

/** Returns the rows of a table by key. */
function readRows(context: StatementContext, table: string): Map<string, SqlRow> {
	const rows = new Map(context.store.findTable(table)?.rows);
	context.effects.forEach(effect => {
		if (effect.kind === 'putRow' && effect.table === table) {
			rows.set(effect.key, effect.row);
		} else if (effect.kind === 'deleteRow' && effect.table === table) {
			rows.delete(effect.key);
		}
	});
	return rows;
}

/** Returns a row by key. */
export function readRow(context: StatementContext, table: string, key: string): SqlRow | undefined {
	const pending = context.effects.findLast(effect => effect.kind !== 'createTable' && effect.table === table && effect.key === key);
	if (pending) {
		return pending.kind === 'putRow' ? pending.row : undefined;
	}

	return context.store.findTable(table)?.rows.get(key);
}

/** Finds the rows that match the WHERE clause; a comparison with the primary key avoids a full table scan. */
export function findMatchingRows(body: SqlNode, context: StatementContext, definition: TableDefinition): SqlRow[] {
	const where = body.whereClause as SqlNode | undefined;
	const key = where && findKeyOperand(where, definition);
	if (key) {
		const row = readRow(context, definition.name, String(evaluateExpression(key, context.scope)));
		return row ? [row] : [];
	}

	return [...readRows(context, definition.name).values()].filter(row => !where || evaluateExpression(where, {...context.scope, row}) === true);
}

/** Returns the operand of a condition of the form `key = constant` or `key = $n`; `undefined` for any other condition. */
function findKeyOperand(where: SqlNode, definition: TableDefinition): SqlNode | undefined {
	const comparison = where.A_Expr as SqlNode | undefined;
	if (comparison?.kind !== 'AEXPR_OP' || comparison.name.at(-1).String.sval !== '=') {
		return undefined;
	}

	const column = comparison.lexpr.ColumnRef?.fields.at(-1).String?.sval as string | undefined;
	const isConstant = comparison.rexpr.A_Const ?? comparison.rexpr.ParamRef;
	return column === definition.keyColumn && isConstant ? comparison.rexpr : undefined;
}

/** Finds the rows that match the WHERE clause and locks them. */
export function acquireMatchingRows(body: SqlNode, context: StatementContext, definition: TableDefinition): SqlRow[] {
	const rows = findMatchingRows(body, context, definition);
	rows.forEach(row => {
		context.acquireLock(definition.name, String(row[definition.keyColumn]));
	});
	return rows;
}
