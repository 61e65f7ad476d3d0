/** Run-time configuration parameters of a session: SET, SET LOCAL, RESET, SHOW and DISCARD ALL. */
import type {SqlNode} from './sql-expression.js';
import {TYPE_ID} from './sql-row.js';
import type {StatementResult} from './sql-context.js';
import {StatementError} from './standin-error.js';

/** Configuration parameters of a session. Their names are case-insensitive. */
export type SessionSettings = {
	/** Executes SET, RESET, SHOW, DISCARD ALL or DEALLOCATE; returns `undefined` for any other statement. */
	readonly execute: (statement: SqlNode) => StatementResult | undefined;
	/** Returns the value of a parameter, or its default. */
	readonly read: (name: string) => string | undefined;
	/** Returns the parameters that have been set, by name in lower case. */
	readonly readAll: () => Readonly<Record<string, string>>;
	/** Ends the transaction: SET LOCAL ends with it, and SET is undone by a rollback. */
	readonly endTransaction: (hasCommitted: boolean) => void;
};

/** Default values of the known parameters. */
const DEFAULTS: ReadonlyMap<string, string> = new Map([
	['server_version', '16.0'], ['default_transaction_read_only', 'off'], ['search_path', 'public'], ['datestyle', 'ISO, MDY'], ['standard_conforming_strings', 'on'],
]);

/** Parameters that take a list; the items of quoted lists are identifiers. */
const LIST_NAMES = new Set(['search_path', 'temp_tablespaces', 'datestyle']);
const QUOTED_LIST_NAMES = new Set(['search_path', 'temp_tablespaces']);
const PLAIN_IDENTIFIER = /^[a-z_][\da-z_$]*$/v;

/** Creates session parameters with default values. */
export function createSessionSettings(): SessionSettings {
	let committed: ReadonlyMap<string, string> = new Map();
	let session = new Map<string, string>();
	let local = new Map<string, string>();

	function executeSet(body: SqlNode): StatementResult {
		if (body.kind === 'VAR_RESET_ALL') {
			session.clear();
			local.clear();
			return {tag: 'RESET', rows: []};
		}

		const name = convertName(body.name as string);
		const target = body.is_local ? local : session;
		if (body.args) {
			target.set(name, formatValue(name, body.args as SqlNode[]));
		} else if (body.kind !== 'VAR_SET_CURRENT') {
			target.delete(name);
		}

		return {tag: body.kind === 'VAR_RESET' ? 'RESET' : 'SET', rows: []};
	}

	function read(name: string): string | undefined {
		const key = convertName(name);
		return local.get(key) ?? session.get(key) ?? DEFAULTS.get(key);
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
		readAll: () => Object.fromEntries([...session, ...local]),
		endTransaction(hasCommitted) {
			session = new Map(hasCommitted ? session : committed);
			committed = new Map(session);
			local = new Map();
		},
		execute(statement) {
			if (statement.VariableSetStmt) {
				return executeSet(statement.VariableSetStmt);
			}

			if (statement.VariableShowStmt) {
				return executeShow(statement.VariableShowStmt.name);
			}

			if (statement.DiscardStmt?.target === 'DISCARD_ALL') {
				session.clear();
				return {tag: 'DISCARD ALL', rows: []};
			}

			return statement.DeallocateStmt ? {tag: statement.DeallocateStmt.name === undefined ? 'DEALLOCATE ALL' : 'DEALLOCATE', rows: []} : undefined;
		},
	};
}

function convertName(name: string): string {
	return name.toLowerCase();
}

/** Formats the whole value of SET; a parameter that is no list takes one argument. */
function formatValue(name: string, args: readonly SqlNode[]): string {
	if (args.length > 1 && !LIST_NAMES.has(name)) {
		throw new StatementError(`SET ${name} takes only one argument`, {props: {sqlState: '22023'}});
	}

	return args.map(argument => formatArgument(name, argument)).join(', ');
}

function formatArgument(name: string, argument: SqlNode): string {
	const constant = argument.A_Const as SqlNode | undefined;
	if (!constant) {
		throw new StatementError('the stand-in supports only constants in SET', {props: {sqlState: '0A000'}});
	}

	const text = String(constant.sval?.sval ?? constant.fval?.fval ?? constant.boolval?.boolval ?? (constant.ival ? constant.ival.ival ?? 0 : ''));
	return QUOTED_LIST_NAMES.has(name) && !PLAIN_IDENTIFIER.test(text) ? `"${text.replaceAll('"', '""')}"` : text;
}
