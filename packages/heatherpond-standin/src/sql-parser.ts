/** Parses SQL with PostgreSQL's own parser and caches the syntax trees. */
import {loadModule, parseSync} from 'libpg-query';
import {StatementError} from './standin-error.js';
import type {SqlNode} from './sql-expression.js';

/** Number of query strings whose syntax trees are cached; further ones are parsed on every use. */
const MAX_CACHED_QUERIES = 1000;
/** A text without a statement; only these characters are blanks to PostgreSQL. */
const BLANK_PATTERN = /^[ \t\n\r\f]*$/v;
const cache = new Map<string, readonly SqlNode[]>();

/** Loads the parser module. Must complete before the first call of `parseStatements`. */
export async function startSqlParser(): Promise<void> {
	await loadModule();
}

/**
* Parses a query string into its statements.
 *
* @throws StatementError with SQLSTATE 42601 on a syntax error
 */
export function parseStatements(text: string): readonly SqlNode[] {
	const cached = cache.get(text);
	if (cached) {
		return cached;
	}

	if (BLANK_PATTERN.test(text)) {
		return [];
	}

	try {
		const tree = parseSync(text) as {stmts?: ReadonlyArray<{stmt: SqlNode}>};
		const statements = (tree.stmts ?? []).map(item => item.stmt);
		if (cache.size < MAX_CACHED_QUERIES) {
			cache.set(text, statements);
		}

		return statements;
	} catch (error) {
		throw new StatementError((error as Error).message, {cause: error, props: {sqlState: '42601'}});
	}
}
