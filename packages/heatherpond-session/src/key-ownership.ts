/**
 * Work in progress of a client whose key a configuration withdraws, or gives to another team. A database is told the team when
 * a connection is opened, so neither a transaction nor a statement that has waited may use a connection of the former team.
 */
import type {AttemptContext} from './statement-attempts.js';
import {createRefusal, type Refusal} from './refusal.js';
import {createRefusedError} from './session-error.js';
import type {SessionServices} from './session-services.js';
import type {SessionState} from './session-state.js';
import type {Statement} from './statement.js';
import {failTransaction, type SessionClient, type SessionContext} from './transaction-run.js';

/** Finds the team whose connection the open transaction uses, if one is open. */
function findTransactionTeam({phase}: SessionState): string | undefined {
	return phase.kind === 'open' ? phase.transaction.loan.team : undefined;
}

/**
 * Rolls back the open transaction before a statement if the client's key belongs to another team by now; returns the refusal of
 * the statement then.
 *
 * @param team - team to which the key belongs now
 */
export function endTransactionOfOtherTeam(session: SessionContext, team: string, {action}: Statement): Refusal | undefined {
	const {services, caller, state} = session;
	const formerTeam = findTransactionTeam(state);
	if (formerTeam === undefined || formerTeam === team || action.kind === 'rollback') {
		return undefined;
	}

	services.writeEvent('transaction_team_changed', {session: caller.sessionId, team: formerTeam, key_team: team});
	failTransaction(session, 'the key of the client was given to another team');
	state.phase = {kind: action.kind === 'commit' ? 'idle' : 'failed'};
	return createRefusal('aborted', 'the transaction was rolled back: the key belongs to another team now');
}

/**
 * Creates the check whether a team still has the client's key. Contracts that can no longer be verified are no reason to drop a
 * statement that was admitted by verified ones: that verification allows for the wait.
 */
export function createKeyCheck({access}: Pick<SessionServices, 'access'>, {database, key}: Pick<SessionClient, 'database' | 'key'>, team: string): () => boolean {
	return () => {
		const decided = access.decideAccess(database, key);
		return decided.kind === 'allow' ? decided.team === team : decided.reason !== 'unknown_key';
	};
}

/**
 * Checks right before a statement is sent that the team still has the client's key.
 *
 * @throws RefusedError when it has not; the statement was not run
 */
export function checkKeyOwnership({services, running, hasKey}: Pick<AttemptContext, 'services' | 'running' | 'hasKey'>): void {
	if (hasKey()) {
		return;
	}

	services.writeEvent('statement_team_changed', {request: running.statement.id, team: running.team});
	throw createRefusedError(createRefusal('aborted', 'the key was withdrawn or given to another team while the statement waited'));
}
