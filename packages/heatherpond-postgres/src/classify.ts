/** Classifies SQL statements with PostgreSQL's own parser; results are cached by query text. */
import {loadModule, parseSync} from 'libpg-query';
import {LRUCache} from 'lru-cache';
import {findConnectionStateUse} from './connection-state-use.js';
import {classifySet, classifyShow} from './classify-setting.js';

/** How the proxy handles a statement. */
export type StatementKind
	= | 'read' | 'write' | 'begin' | 'beginReadOnly' | 'commit' | 'rollback' | 'setting' | 'showSetting' | 'variable' | 'resetVariable' | 'resetAll' | 'discardAll' | 'deallocateAll' | 'unsupported';

/** Class of one statement. */
export type StatementClass = {
	readonly kind: StatementKind;
	/** Name of the setting or variable in lower case, for the kinds that set, reset or show one. */
	readonly settingName?: string;
	/** Whole query text, for `variable`. */
	readonly settingText?: string;
	/** New value, for `setting`; absent to reset it to its default. */
	readonly settingValue?: string;
	/** Whether the statement is SET LOCAL. */
	readonly isLocalSetting?: boolean;
	/** Whether the parser could not read the text, which a database with another grammar may run all the same. */
	readonly isUnreadable?: boolean;
	/** What transaction pooling does not support, for `unsupported`. */
	readonly reason?: string;
};

/**
 * Classes of the statements of a query text, in order. Invalid SQL counts as one write, so that the database reports the
 * error.
 */
export type StatementClasses = readonly StatementClass[];

/** Node of the untyped syntax tree. */
export type Tree = Readonly<Record<string, any>>;

/** A text without a statement; only these characters are blanks to PostgreSQL. */
const BLANK_PATTERN = /^[ \t\n\r\f]*$/v;

const MAX_CACHED_QUERIES = 5000;
const MAX_CACHED_QUERY_LENGTH = 16_384;
const cache = new LRUCache<string, StatementClasses>({max: MAX_CACHED_QUERIES});
const WRITE: StatementClass = {kind: 'write'};
const UNREADABLE: StatementClass = {kind: 'write', isUnreadable: true};

/** Functions that are known not to write; a call of any other function makes a statement a write. */
const READ_ONLY_FUNCTIONS = new Set([
	'count', 'sum', 'min', 'max', 'avg', 'coalesce', 'lower', 'upper', 'length', 'round', 'abs', 'now', 'date_trunc', 'to_char', 'array_agg', 'string_agg', 'version', 'current_database',
]);

/** Loads the parser, which is required once before the first call of `classifyQueryText`. */
export async function startClassifier(): Promise<void> {
	await loadModule();
}

/** Classifies all statements of a query text. */
export function classifyQueryText(text: string): StatementClasses {
	const known = cache.get(text);
	if (known) {
		return known;
	}

	const result = parseQueryText(text);
	if (text.length <= MAX_CACHED_QUERY_LENGTH) {
		cache.set(text, result);
	}

	return result;
}

function parseQueryText(text: string): StatementClasses {
	if (BLANK_PATTERN.test(text)) {
		return [];
	}

	try {
		const tree = parseSync(text) as Tree;
		const statements = ((tree.stmts ?? []) as Tree[]).map(item => classifyStatement(item.stmt));
		return statements.map(statement => statement.kind === 'variable' ? {...statement, settingText: text} : statement);
	} catch {
		return [UNREADABLE];
	}
}

function classifyStatement(statement: Tree): StatementClass {
	const [kind, body] = Object.entries(statement)[0] as [string, Tree];
	switch (kind) {
		case 'SelectStmt': {
			return classifyOther(statement, isReadOnlyTree(body) ? 'read' : 'write');
		}

		case 'TransactionStmt': {
			return classifyTransaction(body);
		}

		case 'VariableSetStmt': {
			return classifySet(body);
		}

		case 'VariableShowStmt': {
			return classifyShow(body);
		}

		case 'DiscardStmt': {
			return {kind: body.target === 'DISCARD_ALL' ? 'discardAll' : 'unsupported', reason: 'DISCARD of a part'};
		}

		case 'DeallocateStmt': {
			return {kind: body.name === undefined ? 'deallocateAll' : 'unsupported', reason: 'DEALLOCATE'};
		}

		case 'DeclareCursorStmt': {
			return body.options & CURSOR_HOLD ? {kind: 'unsupported', reason: 'DECLARE CURSOR WITH HOLD'} : classifyOther(statement, 'write'); // eslint-disable-line no-bitwise -- the parser returns options as a bit mask
		}

		// The effects of a DO block on its connection cannot be determined from its text.
		case 'DoStmt':
		case 'CopyStmt':
		case 'ListenStmt':
		case 'UnlistenStmt':
		case 'NotifyStmt':
		case 'LoadStmt':
		case 'PrepareStmt':
		case 'ExecuteStmt': {
			return {kind: 'unsupported', reason: kind.replace('Stmt', '').toUpperCase()};
		}

		default: {
			return classifyOther(statement, 'write');
		}
	}
}

/** Option bit of a cursor declared WITH HOLD, which outlives its transaction. */
const CURSOR_HOLD = 0x20;

/** Classifies a statement that is not a transaction command or a setting; one that depends on its connection is unsupported. */
function classifyOther(statement: Tree, kind: StatementKind): StatementClass {
	const reason = findConnectionStateUse(statement);
	return reason === undefined ? {kind} : {kind: 'unsupported', reason};
}

function classifyTransaction(body: Tree): StatementClass {
	switch (body.kind) {
		case 'TRANS_STMT_BEGIN':
		case 'TRANS_STMT_START': {
			const isReadOnly = ((body.options ?? []) as Tree[]).some(option => option.DefElem.defname === 'transaction_read_only' && option.DefElem.arg?.A_Const?.ival?.ival === 1);
			return {kind: isReadOnly ? 'beginReadOnly' : 'begin'};
		}

		case 'TRANS_STMT_COMMIT': {
			return {kind: 'commit'};
		}

		case 'TRANS_STMT_ROLLBACK': {
			return {kind: 'rollback'};
		}

		case 'TRANS_STMT_PREPARE':
		case 'TRANS_STMT_COMMIT_PREPARED':
		case 'TRANS_STMT_ROLLBACK_PREPARED': {
			return {kind: 'unsupported', reason: 'two-phase commit'};
		}

		default: {
			return WRITE;
		}
	}
}

const LOCAL_KINDS = new Set<StatementKind>(['setting', 'showSetting', 'resetVariable', 'resetAll', 'discardAll', 'deallocateAll']);

/** Whether the proxy answers the statement without a database. */
export function isLocalStatement(statement: StatementClass): boolean {
	return LOCAL_KINDS.has(statement.kind);
}

/** Whether a replica may run the statements, that is, only reads, outside a transaction block or in one declared READ ONLY. */
export function isReplicaEligible(statements: StatementClasses): boolean {
	const {isReadOnly} = statements.reduce(({isReadOnly, isInBlock}, {kind}) => {
		const isEnd = kind === 'commit' || kind === 'rollback';
		return {
			isReadOnly: isReadOnly && (kind === 'read' || kind === 'variable' || kind === 'beginReadOnly' || (isEnd && isInBlock)),
			isInBlock: kind === 'beginReadOnly' || (isInBlock && !isEnd),
		};
	}, {isReadOnly: true, isInBlock: false});
	return isReadOnly;
}

/** Whether a SELECT, including all nested expressions and queries, may run on a replica. */
function isReadOnlyTree(node: unknown): boolean {
	if (Array.isArray(node)) {
		return node.every(item => isReadOnlyTree(item));
	}

	if (typeof node !== 'object' || node === null) {
		return true;
	}

	return Object.entries(node).every(([key, value]) => isReadOnlyMember(key, value as Tree));
}

/** Node keys that stand for a lock or a write. */
const WRITING_NODE_KEYS = new Set(['lockingClause', 'intoClause', 'InsertStmt', 'UpdateStmt', 'DeleteStmt', 'MergeStmt']);

function isReadOnlyMember(key: string, value: Tree): boolean {
	if (WRITING_NODE_KEYS.has(key)) {
		return false;
	}

	if (key === 'FuncCall' && !READ_ONLY_FUNCTIONS.has(value.funcname.at(-1).String.sval)) {
		return false;
	}

	return isReadOnlyTree(value);
}
