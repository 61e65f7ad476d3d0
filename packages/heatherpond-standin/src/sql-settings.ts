/** Run-time configuration parameters of a session: SET, RESET, SHOW and DISCARD. */
import type {SqlNode} from './sql-expression.js';
import {TYPE_ID} from './sql-row.js';
import type {StatementResult} from './sql-context.js';
import {StatementError} from './standin-error.js';

/** Configuration parameters of a session. */
export type SessionSettings = {
	/** Executes SET, RESET, SHOW, DISCARD or DEALLOCATE; returns `undefined` for any other statement. */
	readonly execute: (statement: SqlNode) => StatementResult | undefined;
	/** Returns the value of a parameter, or its default. */
	readonly read: (name: string) => string | undefined;
};

/** Default values of the known parameters. */
const DEFAULTS: ReadonlyMap<string, string> = new Map([['server_version', '16.0'], ['default_transaction_read_only', 'off'], ['search_path', 'public']]);

/** Creates session parameters with default values. */
export function createSessionSettings(): SessionSettings {
	const values = new Map<string, string>();

	function executeSet(body: SqlNode): StatementResult {
		if (body.kind === 'VAR_RESET_ALL') {
			values.clear();
			return {tag: 'RESET', rows: []};
		}

		const constant = body.args?.[0]?.A_Const as SqlNode | undefined;
		if (!constant) {
			values.delete(body.name as string);
			return {tag: body.kind === 'VAR_RESET' ? 'RESET' : 'SET', rows: []};
		}

		values.set(body.name as string, String(constant.sval?.sval ?? constant.ival?.ival ?? constant.fval?.fval ?? constant.boolval?.boolval ?? ''));
		return {tag: 'SET', rows: []};
	}

	function read(name: string): string | undefined {
		return values.get(name) ?? DEFAULTS.get(name);
	}

	function executeShow(name: string): StatementResult {
		const value = read(name);
		if (value === undefined) {
			throw new StatementError(`unrecognized configuration parameter "${name}"`, {props: {sqlState: '42704'}});
		}

		return {tag: 'SHOW', columns: [{name, typeId: TYPE_ID.text}], rows: [[value]]};
	}

	return {
		read,
		execute(statement) {
			if (statement.VariableSetStmt) {
				return executeSet(statement.VariableSetStmt);
			}

			if (statement.VariableShowStmt) {
				return executeShow(statement.VariableShowStmt.name);
			}

			if (statement.DiscardStmt) {
				values.clear();
				return {tag: 'DISCARD ALL', rows: []};
			}

			return statement.DeallocateStmt ? {tag: 'DEALLOCATE', rows: []} : undefined;
		},
	};
}
