/** Checks before a statement is given to a database: whether its session, its transaction and its team still may run it. */
import {BUSY_RETRY_AFTER_MS, computeSpreadRetry} from './attempt-rules.js';
import {createRefusal} from './refusal.js';
import {createRefusedError} from './session-error.js';
import type {SessionServices} from './session-services.js';
import type {SessionPhase, SessionState} from './session-state.js';
import type {SessionContext} from './transaction-run.js';

/**
 * Checks that the team may start another operation.
 *
 * @throws RefusedError when it is over its rate
 */
export async function checkAdmission({admission}: SessionServices, team: string, state: SessionState): Promise<void> {
	const retryAfterMs = await admission.admit(team);
	if (retryAfterMs > 0) {
		state.phase = {kind: 'idle'};
		throw createRefusedError(createRefusal('busy', 'the team is over its rate', retryAfterMs));
	}
}

/**
 * Checks that the session may still use databases; only a transaction that is open goes on.
 *
 * @throws RefusedError when the host stops
 */
export function checkAcceptsWork({state, services, abortController}: SessionContext): void {
	if (abortController.signal.aborted && state.phase.kind !== 'open') {
		state.phase = {kind: 'idle'};
		throw createRefusedError(createRefusal('busy', 'the host is shutting down', computeSpreadRetry(BUSY_RETRY_AFTER_MS, services.random)));
	}
}

/**
 * Checks that neither the session nor its transaction was ended while a statement waited for admission or a connection.
 *
 * @throws RefusedError when one was
 */
export function checkPhaseUnchanged({state, abortController}: SessionContext, phase: SessionPhase): void {
	if (abortController.signal.aborted || state.phase !== phase) {
		throw createRefusedError(createRefusal('aborted', 'the transaction was rolled back before its first statement completed'));
	}
}
