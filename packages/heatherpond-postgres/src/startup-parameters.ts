/** Applies the parameters of a startup message: proxy settings and connection variables. */
import {
	applySetting, applyVariable, SETTING_NAMESPACE, type ClientSettings,
} from './client-settings.js';
import {classifyQueryText} from './classify.js';
import {createRequestError} from './postgres-error.js';
import {parseStartupOptions} from './startup-options.js';
import {SQL_STATE} from './sql-states.js';

/** Parameters that identify the client or are handled separately, and set no variable. */
const IDENTITY_PARAMETERS = new Set(['user', 'database', 'application_name', 'fallback_application_name', 'options']);

const ENCODING_PATTERN = /^utf-?8$|^unicode$/iv;
const NAME_PATTERN = /^[a-z_][\w.]*$/iv;

/** Variables that hold a list of names; SET with a single string would take the whole list for one name. */
const LIST_PARAMETERS = new Set(['search_path', 'temp_tablespaces']);

/**
 * Applies the parameters of a startup message.
 *
 * @throws RequestError for parameters that cannot be pooled, SettingError and TokenError for values that are not allowed
 */
export function applyStartupParameters(settings: ClientSettings, parameters: ReadonlyMap<string, string>): ClientSettings {
	// PostgreSQL applies the options first, so that a parameter of its own wins.
	const options = parseStartupOptions(parameters.get('options') ?? '');
	return [...options, ...parameters].reduce((current, parameter) => applyParameter(current, parameter), settings);
}

function applyParameter(settings: ClientSettings, [name, value]: readonly [name: string, value: string]): ClientSettings {
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
