/** Sets the session variables of a client on a pooled connection, when another session left different ones. */
import {createRequestError} from './postgres-error.js';
import {runQueryText} from './query-text.js';
import type {RunningRequest, ConnectionAssignment} from './running-request.js';

/**
 * Sets the session's variables on a connection that is outside a transaction. All other variables are reset.
 *
 * @param variablesText - SQL text of the SET statements; empty for none
 * @throws RequestError when the database rejects one of the statements
 */
export async function applyConnectionVariables({handle: {connection}}: ConnectionAssignment, running: RunningRequest, variablesText: string): Promise<void> {
	const {statements} = connection;
	if (statements.readVariables() === variablesText) {
		return;
	}

	statements.updateVariables(undefined);
	running.cancellation.updateDestroyer(connection.destroy);
	const {error} = await runQueryText(connection, variablesText === '' ? 'RESET ALL' : `RESET ALL; ${variablesText}`, running.deadline);
	running.cancellation.updateDestroyer(undefined);
	if (error) {
		throw createRequestError(error.code, error.message);
	}

	statements.updateVariables(variablesText);
}
