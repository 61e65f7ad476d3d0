/** Finds parts of statements that use or change state of their connection beyond the transaction. */
import type {Tree} from './classify.js';

/** Functions that use or change connection state beyond the transaction. */
const CONNECTION_FUNCTIONS = new Set([
	'pg_advisory_lock', 'pg_advisory_lock_shared', 'pg_try_advisory_lock', 'pg_try_advisory_lock_shared', 'currval', 'lastval', 'set_config', 'pg_listening_channels', 'pg_prepared_statement',
]);

/** Schema of the temporary objects of a connection, also under its own name such as `pg_temp_3`. */
const TEMPORARY_SCHEMA = /^pg_temp(?:_\d+)?$/v;

/** View of the prepared statements of a connection, which are those of all sessions that have used it. */
const PREPARED_STATEMENTS_VIEW = 'pg_prepared_statements';

/** View whose rows set a variable when they are updated. */
const SETTINGS_VIEW = 'pg_settings';

/** Tells whether a name is that of the schema of temporary objects. */
export function isTemporarySchema(name: unknown): boolean {
	return typeof name === 'string' && TEMPORARY_SCHEMA.test(name);
}

/** Returns a description of the first part of a statement that depends on connection state. */
export function findConnectionStateUse(node: unknown): string | undefined {
	if (typeof node !== 'object' || node === null) {
		return undefined;
	}

	const tree = node as Tree;
	return findOwnUse(tree) ?? Object.values(tree).map(value => findConnectionStateUse(value)).find(reason => reason !== undefined);
}

function findOwnUse(tree: Tree): string | undefined {
	const {relpersistence, schemaname, relname} = tree;
	const [identifier, update, call] = [tree.String, tree.UpdateStmt, tree.FuncCall] as ReadonlyArray<Tree | undefined>;
	if (relpersistence === 't' || isTemporarySchema(schemaname) || isTemporarySchema(identifier?.sval)) {
		return 'a temporary object';
	}

	if (tree.ExecuteStmt ?? tree.PrepareStmt) {
		return 'EXECUTE';
	}

	if (relname === PREPARED_STATEMENTS_VIEW) {
		return PREPARED_STATEMENTS_VIEW;
	}

	if ((update?.relation as Tree | undefined)?.relname === SETTINGS_VIEW) {
		return `UPDATE of ${SETTINGS_VIEW}`;
	}

	const names = call?.funcname as readonly Tree[] | undefined;
	const name = (names?.at(-1)?.String as Tree | undefined)?.sval as string | undefined;
	return name !== undefined && CONNECTION_FUNCTIONS.has(name) ? `function ${name}` : undefined;
}
