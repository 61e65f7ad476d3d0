/** Classifies SET and RESET statements. Names of variables are case-insensitive, also when they are quoted. */
import type {StatementClass, Tree} from './classify.js';

/** Prefix of the names of the proxy's own settings. */
const SETTING_PREFIX = 'heatherpond.';

/** Variables that change the privileges of a connection, or that RESET ALL does not reset. */
const REFUSED_VARIABLES = new Set(['role', 'session_authorization', 'session_replication_role', 'default_transaction_read_only', 'client_encoding', 'session characteristics']);

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

function classifyVariable(body: Tree, name: string): StatementClass {
	if (Boolean(body.is_local) || name === 'transaction') {
		return {kind: 'write'};
	}

	if (REFUSED_VARIABLES.has(name)) {
		return {kind: 'unsupported', reason: `SET ${name}`};
	}

	return {kind: body.kind === 'VAR_SET_VALUE' ? 'variable' : 'resetVariable', settingName: name};
}
