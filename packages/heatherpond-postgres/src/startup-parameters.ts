/** Applies the parameters of a startup message: proxy settings and connection variables. */
import {
	applySetting, applyVariable, SETTING_NAMESPACE, type ClientSettings,
} from './client-settings.js';
import {classifyQueryText} from './classify.js';
import {createRequestError} from './postgres-error.js';
import {SQL_STATE} from './sql-states.js';

type Parameter = readonly [name: string, value: string];

/** Parameters that identify the client or are handled separately, and set no variable. */
const IDENTITY_PARAMETERS = new Set(['user', 'database', 'application_name', 'fallback_application_name', 'options']);

const ENCODING_PATTERN = /^utf-?8$|^unicode$/iv;
const NAME_PATTERN = /^[a-z_][\w.]*$/iv;
const OPTION_PATTERN = /(?:^|\s)(?:-c\s*|--)(?<name>[a-z_][\w.]*)=(?<value>\S*)/giv;

/** Variables that hold a list of names; SET with a single string would take the whole list for one name. */
const LIST_PARAMETERS = new Set(['search_path', 'temp_tablespaces']);

/**
 * Applies the parameters of a startup message.
 *
 * @throws RequestError for parameters that cannot be pooled, SettingError and TokenError for values that are not allowed
 */
export function applyStartupParameters(settings: ClientSettings, parameters: ReadonlyMap<string, string>): ClientSettings {
	const options = parameters.get('options') ?? '';
	const rest = options.replaceAll(OPTION_PATTERN, '').trim();
	if (rest !== '') {
		throw createRequestError(SQL_STATE.notSupported, `startup options ${JSON.stringify(rest)} cannot be used through transaction pooling`);
	}

	const optionParameters = [...options.matchAll(OPTION_PATTERN)].map<Parameter>(({groups}) => [groups!.name!, groups!.value!]);
	return [...parameters, ...optionParameters].reduce((current, parameter) => applyParameter(current, parameter), settings);
}

function applyParameter(settings: ClientSettings, [name, value]: Parameter): ClientSettings {
	if (IDENTITY_PARAMETERS.has(name) || (name === 'client_encoding' && ENCODING_PATTERN.test(value))) {
		return settings;
	}

	return name.startsWith(SETTING_NAMESPACE) ? applySetting(settings, name, value) : applyVariable(settings, createVariable(name, value));
}

/** Converts a parameter to a SET statement, or throws a RequestError if SET cannot express it. */
function createVariable(name: string, value: string) {
	const text = `SET ${name} TO '${value.replaceAll('\'', '\'\'')}'`;
	const [statement, ...others] = NAME_PATTERN.test(name) && !LIST_PARAMETERS.has(name.toLowerCase()) ? classifyQueryText(text) : [];
	if (statement?.kind !== 'variable' || others.length > 0) {
		throw createRequestError(SQL_STATE.notSupported, `startup parameter ${name}=${value} cannot be used through transaction pooling`);
	}

	return statement;
}
