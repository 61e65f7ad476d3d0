/** The settings that a client changes with SET or in its startup message. */
import {
	applyPointToToken, EMPTY_TOKEN, findEntry, formatSessionToken, parseSessionToken, type FleetView, type SessionToken,
} from 'heatherpond-core';
import type {StatementClass} from './classify.js';
import {createRequestError} from './postgres-error.js';
import {SettingError} from './setting-error.js';
import {SQL_STATE} from './sql-states.js';

/** Settings of one session. */
export type ClientSettings = {
	readonly token: SessionToken;
	/** Largest staleness of reads in milliseconds; if absent, the route decides. */
	readonly maxStalenessMs?: number;
	/** Idempotency key of the next write, which then runs at most once. */
	readonly once?: string;
	/** Whether the next write may be retried after its response was lost. */
	readonly isIdempotent?: boolean;
	/** SET statements of connection variables, by variable name. */
	readonly variables?: Readonly<Record<string, string>>;
	/** All of these statements, joined into one query text. */
	readonly variablesText?: string;
};

export const EMPTY_SETTINGS: ClientSettings = {token: EMPTY_TOKEN};

/** Prefix of the names of all settings. */
export const SETTING_NAMESPACE = 'heatherpond.';

/** Names of the settings, as clients write them. */
export const SETTING = {
	session: 'heatherpond.session',
	maxStaleness: 'heatherpond.max_staleness',
	once: 'heatherpond.once',
	idempotent: 'heatherpond.idempotent',
} as const;

/**
 * Checks that the session token names only groups of this deployment.
 *
 * @throws RequestError if it names another one
 */
export function checkTokenGroups({token}: ClientSettings, groups: FleetView['groups']): void {
	const unknownGroup = Object.keys(token).find(name => findEntry(groups, name) === undefined);
	if (unknownGroup !== undefined) {
		throw createRequestError(SQL_STATE.unknownTokenGroup, `the session token names the group ${JSON.stringify(unknownGroup)}, which does not exist in this deployment`);
	}
}

const DURATION_PATTERN = /^(?<amount>\d{1,9}(?:\.\d{1,3})?)\s*(?<unit>ms|s|min)?$/v;
const UNIT_MS = new Map([['ms', 1], ['s', 1000], ['min', 60_000]]);
const MAX_ONCE_LENGTH = 200;

/**
 * Sets one setting.
 *
 * @throws SettingError if the name is unknown or the value is not allowed, TokenError if a session token is not valid
 */
export function applySetting(settings: ClientSettings, name: string, value: string): ClientSettings {
	switch (name) {
		case SETTING.session: {
			return {...settings, token: Object.entries(parseSessionToken(value)).reduce((token, [group, position]) => applyPointToToken(token, group, position), settings.token)};
		}

		case SETTING.maxStaleness: {
			return {...settings, maxStalenessMs: parseDuration(name, value)};
		}

		case SETTING.once: {
			if (value.length > MAX_ONCE_LENGTH) {
				throw new SettingError(`${name} has ${value.length} characters, at most ${MAX_ONCE_LENGTH} are allowed`);
			}

			return {...settings, once: value === '' ? undefined : value};
		}

		case SETTING.idempotent: {
			return {...settings, isIdempotent: parseSwitch(name, value)};
		}

		default: {
			throw new SettingError(`unknown setting ${JSON.stringify(name)}; allowed: ${Object.values(SETTING).join(', ')}`);
		}
	}
}

const ON = new Set(['on', 'true', 'yes', '1']);
const OFF = new Set(['off', 'false', 'no', '0', '']);

function parseSwitch(name: string, value: string): boolean {
	const text = value.toLowerCase();
	if (!ON.has(text) && !OFF.has(text)) {
		throw new SettingError(`${name} has the value ${JSON.stringify(value)}; allowed: on, off`);
	}

	return ON.has(text);
}

/**
 * Resets one setting to its default. Resetting the session token is how a client continues after a failover has lost a
 * write that the token covers.
 *
 * @throws SettingError if the name is unknown
 */
export function applyReset(settings: ClientSettings, name: string): ClientSettings {
	switch (name) {
		case SETTING.session: {
			return {...settings, token: EMPTY_TOKEN};
		}

		case SETTING.maxStaleness: {
			return {...settings, maxStalenessMs: undefined};
		}

		default: {
			return applySetting(settings, name, '');
		}
	}
}

/** Limit for the joined SET statements of one session, in characters. */
const MAX_VARIABLES_LENGTH = 8192;

function updateVariables(settings: ClientSettings, variables: Readonly<Record<string, string>>): ClientSettings {
	// The line end also ends a comment in the text before it.
	const variablesText = Object.values(variables).join('\n;');
	if (variablesText.length > MAX_VARIABLES_LENGTH) {
		throw new SettingError(`the SET statements of the session have ${variablesText.length} characters, at most ${MAX_VARIABLES_LENGTH} are allowed`);
	}

	return {...settings, variables, variablesText};
}

/** Records a SET of a connection variable, which is replayed on each connection that the session uses later. */
export function applyVariable(settings: ClientSettings, {settingName: name = '', settingText: text = ''}: StatementClass): ClientSettings {
	return updateVariables(settings, {...settings.variables, [name]: text});
}

/** Records a RESET of a connection variable. */
export function applyVariableReset(settings: ClientSettings, name: string): ClientSettings {
	const {[name]: removed, ...variables} = settings.variables ?? {};
	return removed === undefined ? settings : updateVariables(settings, variables);
}

/** Resets all settings and variables except the session token. */
export function applyResetAll({token}: ClientSettings): ClientSettings {
	return {token};
}

/** Clears `once` and `idempotent`, which apply to a single write, after that write. */
export function removeWriteOptions(settings: ClientSettings): ClientSettings {
	const hasChange = settings.once !== undefined || settings.isIdempotent;
	return hasChange ? {...settings, once: undefined, isIdempotent: false} : settings;
}

function parseDuration(name: string, value: string): number {
	const groups = DURATION_PATTERN.exec(value.trim())?.groups;
	if (!groups) {
		throw new SettingError(`${name} has the value ${JSON.stringify(value)}; allowed: a number with ms, s or min, such as '5s'`);
	}

	return Number(groups.amount) * UNIT_MS.get(groups.unit ?? 'ms')!;
}

/** Formats the current value of a setting for SHOW. */
export function formatSetting(settings: ClientSettings, name: string): string {
	switch (name) {
		case SETTING.session: {
			return formatSessionToken(settings.token);
		}

		case SETTING.maxStaleness: {
			return `${settings.maxStalenessMs ?? 0}ms`;
		}

		case SETTING.idempotent: {
			return settings.isIdempotent ? 'on' : 'off';
		}

		case SETTING.once: {
			return settings.once ?? '';
		}

		default: {
			throw new SettingError(`unknown setting ${JSON.stringify(name)}; allowed: ${Object.values(SETTING).join(', ')}`);
		}
	}
}
