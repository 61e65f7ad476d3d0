/** Classifies SET and RESET statements. Names of variables are case-insensitive, also when they are quoted. */
import type {StatementClass, Tree} from './classify.js';
import {isTemporarySchema} from './connection-state-use.js';

/** Prefix of the names of the proxy's own settings. */
const SETTING_PREFIX = 'heatherpond.';

/** Variables that change the privileges of a connection, or that RESET ALL does not reset. */
const REFUSED_VARIABLES = new Set(['role', 'session_authorization', 'session_replication_role', 'default_transaction_read_only', 'client_encoding', 'session characteristics']);

/** Variables that change how a database reads the bytes of a statement, which would no longer be as the proxy reads them. */
const GRAMMAR_VARIABLES = new Set(['client_encoding', 'standard_conforming_strings']);

/** The values of `standard_conforming_strings` that stand for the grammar that the proxy reads. */
const ON_VALUES = new Set(['on', 'true', 'yes', '1']);

/** Returns the name in SET, RESET or SHOW in lower case; PostgreSQL folds only the letters A to Z. */
function convertSettingName(body: Tree): string {
	return String(body.name ?? '').replaceAll(/[A-Z]/gv, letter => letter.toLowerCase());
}

/** Classifies a SHOW statement. */
export function classifyShow(body: Tree): StatementClass {
	const settingName = convertSettingName(body);
	return {kind: settingName.startsWith(SETTING_PREFIX) ? 'showSetting' : 'read', settingName};
}

/** Classifies a SET or RESET statement. */
export function classifySet(body: Tree): StatementClass {
	const name = convertSettingName(body);
	if (body.kind === 'VAR_RESET_ALL') {
		return {kind: 'resetAll'};
	}

	return name.startsWith(SETTING_PREFIX) ? classifySetting(body, name) : classifyVariable(body, name);
}

function classifySetting(body: Tree, name: string): StatementClass {
	if (body.is_local) {
		return {kind: 'unsupported', reason: `SET LOCAL ${name}`};
	}

	if (body.kind !== 'VAR_SET_VALUE') {
		return {kind: 'setting', settingName: name};
	}

	const [argument, ...others] = body.args as readonly Tree[];
	if (others.length > 0) {
		return {kind: 'unsupported', reason: `a list as the value of ${name}`};
	}

	return {kind: 'setting', settingName: name, settingValue: readConstant(argument)};
}

/** Returns the value of a constant as text; the parser leaves out the number zero. */
function readConstant(argument: Tree | undefined): string {
	const constant = argument?.A_Const as Tree | undefined;
	const integer = constant?.ival ? constant.ival.ival ?? 0 : undefined;
	return String(constant?.sval?.sval ?? integer ?? constant?.fval?.fval ?? '');
}

/** Names that the parser gives to SET TRANSACTION. */
const TRANSACTION_NAMES = new Set(['transaction', 'transaction snapshot']);

/** Whether SET or SET LOCAL would make the database read SQL differently, or put new objects among the temporary ones. */
function isRefused(body: Tree, name: string): boolean {
	const values = ((body.args ?? []) as readonly Tree[]).map(argument => readConstant(argument));
	const isStandard = name === 'standard_conforming_strings' && body.kind === 'VAR_SET_VALUE' && values.every(value => ON_VALUES.has(value.toLowerCase()));
	return (GRAMMAR_VARIABLES.has(name) && !isStandard) || (name === 'search_path' && values.some(value => isTemporarySchema(value)));
}

function classifyVariable(body: Tree, name: string): StatementClass {
	const isTransactional = Boolean(body.is_local) || TRANSACTION_NAMES.has(name);
	if (isRefused(body, name) || (!isTransactional && REFUSED_VARIABLES.has(name))) {
		return {kind: 'unsupported', reason: `SET ${name}`};
	}

	if (isTransactional) {
		return {kind: 'write', isLocalSetting: Boolean(body.is_local)};
	}

	if (body.kind === 'VAR_SET_CURRENT') {
		return {kind: 'unsupported', reason: 'SET FROM CURRENT'};
	}

	return {kind: body.kind === 'VAR_SET_VALUE' ? 'variable' : 'resetVariable', settingName: name};
}
