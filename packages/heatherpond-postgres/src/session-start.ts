/** Starts a session: reads the settings from the startup message, and sends the messages that end the startup. */
import {
	createAuthenticationOk, createBackendKeyData, createParameterStatus, createReadyForQuery,
} from 'heatherpond-wire';
import type {ClientConnection} from './client-connection.js';
import {convertRequestError} from './client-error.js';
import type {ClientServices} from './client-services.js';
import {
	checkTokenGroups, EMPTY_SETTINGS, formatSetting, SETTING, type ClientSettings,
} from './client-settings.js';
import type {AcceptedClient} from './client-startup.js';
import type {CancelKey} from './cancel-registry.js';
import {RequestError} from './postgres-error.js';
import {applyStartupParameters} from './startup-parameters.js';

const CLIENT_ENCODING = 'UTF8'; // eslint-disable-line unicorn/text-encoding-identifier-case -- PostgreSQL's spelling

/**
 * Reads the initial settings from the startup parameters.
 *
 * @throws RequestError if one is not allowed
 */
export function readInitialSettings({parameters}: AcceptedClient, {blackboard}: ClientServices): ClientSettings {
	try {
		const settings = applyStartupParameters(EMPTY_SETTINGS, parameters);
		checkTokenGroups(settings, blackboard.read().view.groups);
		return settings;
	} catch (error) {
		throw createStartupError(error);
	}
}

/** Creates the RequestError of a session that cannot be started. */
function createStartupError(error: unknown): Error {
	const fields = convertRequestError(error, {
		isRead: true, wasDispatched: false, hasResponseStarted: false, isCanceled: false,
	});
	return new RequestError(fields.message, {cause: error, props: {fields}});
}

/** Completes the startup: sends AuthenticationOk, the parameter status, the cancellation key and ReadyForQuery. */
export function sendStartupCompletion({output}: ClientConnection, settings: ClientSettings, key: CancelKey): void {
	output.write(createAuthenticationOk());
	output.write(createParameterStatus('server_version', '16.0'));
	output.write(createParameterStatus('server_encoding', CLIENT_ENCODING));
	output.write(createParameterStatus('client_encoding', CLIENT_ENCODING));
	output.write(createParameterStatus('DateStyle', 'ISO, MDY'));
	output.write(createParameterStatus('integer_datetimes', 'on'));
	output.write(createParameterStatus('standard_conforming_strings', 'on'));
	output.write(createParameterStatus(SETTING.session, formatSetting(settings, SETTING.session)));
	output.write(createBackendKeyData(key.processId, key.secret));
	output.write(createReadyForQuery('I'));
	output.flush();
}
