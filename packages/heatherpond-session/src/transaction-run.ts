/** Runs statements in the open transaction of a session, and updates the transaction by their responses. */
import type {Deadline, Teardown} from 'heatherpond-core';
import {findNewerPosition} from './log-order.js';
import {createRefusal} from './refusal.js';
import type {RunningStatement} from './running-statement.js';
import {createRefusedError} from './session-error.js';
import type {SessionReply} from './session-reply.js';
import type {Primary, SessionServices} from './session-services.js';
import {
	applyPreviousValue, readTransactionState, type OpenTransaction, type SessionPhase, type SessionState, type StatementPlan,
} from './session-state.js';
import {exchangeInTransaction} from './statement-attempts.js';
import {exchangeStep, type ExchangeResult} from './statement-exchange.js';
import type {UpstreamResponse} from './upstream-connection.js';

/** The client of a session. */
export type SessionClient = {
	readonly sessionId: string;
	/** Logical database that the client connected to. */
	readonly database: string;
	/** API key presented by the client. */
	readonly key: string;
};

/** Client, services and mutable state of a session. */
export type SessionContext = {
	readonly caller: SessionClient;
	readonly services: SessionServices;
	readonly state: SessionState;
	/** Aborted when the session ends. */
	readonly abortController: AbortController;
	/** Cancels the idle transaction timeout. */
	stopIdleTimer?: Teardown;
};

type OpenPhase = Extract<SessionPhase, {readonly kind: 'open'}>;

/** Runs a statement on the connection of the open transaction. */
export async function runInTransaction(session: SessionContext, running: RunningStatement, {transaction, lifetime: {signal}}: OpenPhase): Promise<SessionReply> {
	const {services} = session;
	const input = {
		services, loan: transaction.loan, primary: transaction.primary, deadline: running.deadline,
	};
	const needs = running.prepared && {variables: session.state.variables, statement: running.prepared};
	const isCommit = running.statement.action.kind === 'commit';
	session.state.isCommitting = isCommit;
	session.state.loanInUse = transaction.loan;
	const result = await exchangeInTransaction({services, running, signal}, input, {needs}).finally(() => {
		session.state.isCommitting = false;
		session.state.loanInUse = undefined;
	});
	if (signal.aborted && !isCommit) {
		throw createRefusedError(createRefusal('aborted', 'the transaction was rolled back while the statement ran'));
	}

	if (result.kind === 'answered') {
		return applyTransactionResponse(session, running, transaction, result.answer);
	}

	return handleFailedExchange(session, running, transaction, result);
}

/** Updates the open transaction by a response, and creates the reply; a commit with writes waits for confirmation of the primary. */
export async function applyTransactionResponse(session: SessionContext, running: RunningStatement, transaction: OpenTransaction, answer: UpstreamResponse): Promise<SessionReply> {
	const {state} = session;
	transaction.hasWritten ||= running.access === 'write' && running.statement.action.kind !== 'commit';
	if (answer.state === 'open') {
		return createDatabaseReply(session, running, answer, transaction.database);
	}

	endTransaction(transaction);
	const isCommit = running.statement.action.kind === 'commit';
	state.phase = {kind: answer.state === 'failed' && !isCommit ? 'failed' : 'idle'};
	if (isCommit && transaction.hasWritten && answer.outcome.kind === 'complete') {
		await waitForPrimaryConfirmation(session, running, transaction.primary!);
		state.lastCommitPosition = findNewerPosition(state.lastCommitPosition, answer.point);
	}

	return createDatabaseReply(session, running, answer, transaction.database);
}

/** Ends a transaction whose statement got no response. Its effects are lost, except that a commit that was sent may have succeeded. */
function handleFailedExchange(session: SessionContext, running: RunningStatement, transaction: OpenTransaction, result: Exclude<ExchangeResult, {kind: 'answered'}>): never {
	const {state} = session;
	const isCommit = running.statement.action.kind === 'commit';
	const hasWritten = transaction.hasWritten || (running.access === 'write' && !isCommit);
	const isInDoubt = hasWritten && (result.kind === 'misplaced' || (isCommit && result.kind === 'lost' && result.wasSent));
	endTransaction(transaction);
	state.phase = {kind: isCommit ? 'idle' : 'failed'};
	throw createRefusedError(isInDoubt
		? createRefusal('in_doubt', `the outcome of the transaction is unknown, its last statement got no valid response: ${result.reason}`)
		: createRefusal('aborted', `the transaction was rolled back: ${result.reason}`));
}

/** Sets the session variables on the connection of the open transaction, if there is one. */
export async function applySessionVariable(session: SessionContext, plan: Extract<StatementPlan, {readonly kind: 'variable'}>, timeoutMs: number): Promise<SessionReply> {
	const {state, services} = session;
	if (state.phase.kind !== 'open') {
		return createLocalReply(session);
	}

	const {transaction} = state.phase;
	const deadline: Deadline = services.clock.readNow() + timeoutMs;
	const result = await exchangeStep({
		services, loan: transaction.loan, primary: transaction.primary, deadline,
	}, {needs: {variables: state.variables}});
	if (!result) {
		return createLocalReply(session);
	}

	applyPreviousValue(state, plan);
	endTransaction(transaction);
	state.phase = {kind: 'failed'};
	throw createRefusedError(createRefusal('aborted', 'the transaction was rolled back: a session variable could not be set on its connection'));
}

/**
 * Waits until the database is confirmed to have been primary when it committed; a write is acknowledged only then.
 *
 * @throws RefusedError with `in_doubt` when no confirmation comes before the deadline
 */
export async function waitForPrimaryConfirmation({services, abortController}: SessionContext, running: RunningStatement, primary: Primary): Promise<void> {
	while (!services.primacy.isConfirmed(primary)) {
		if (services.primacy.isReplaced(primary) || services.clock.readNow() >= running.deadline || abortController.signal.aborted) {
			throw createRefusedError(createRefusal('in_doubt', 'the outcome of the write is unknown: the database may no longer have been primary when it committed'));
		}

		await services.primacy.waitForChange(running.deadline, abortController.signal);
	}
}

/** Ends the use of the connection of a transaction, which is rolled back if the database still has it open. */
export function endTransaction({loan, endWork}: OpenTransaction): void {
	endWork();
	loan.release();
}

/** Marks a begun or open transaction as failed and rolls it back. The client learns of it from the reply to its next statement. */
export function failTransaction({state, services, caller}: SessionContext, reason: string): void {
	const {phase} = state;
	if (phase.kind === 'idle' || phase.kind === 'failed') {
		return;
	}

	state.phase = {kind: 'failed'};
	phase.lifetime.abort();
	if (phase.kind === 'open') {
		services.writeEvent('transaction_rolled_back', {session: caller.sessionId, database: phase.transaction.database, reason});
		endTransaction(phase.transaction);
	}
}

/** Creates the reply to a statement that was handled without a database. */
export function createLocalReply({state}: SessionContext): SessionReply {
	return {kind: 'done', state: readTransactionState(state)};
}

/** Creates the reply that forwards a database response, and logs an error response. */
export function createDatabaseReply({state, services, caller}: SessionContext, running: RunningStatement, answer: UpstreamResponse, database: string): SessionReply {
	if (answer.outcome.kind === 'error') {
		services.writeEvent('statement_failed', {
			request: running.statement.id, session: caller.sessionId, team: running.team, group: running.route.group, database, code: answer.outcome.code,
		});
	}

	return {
		kind: 'answer', body: answer.body, state: readTransactionState(state), point: answer.point, database, isError: answer.outcome.kind === 'error',
	};
}
