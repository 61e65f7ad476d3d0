/** Runs statements in a caller's open transaction, and settles what their answers mean for it. */
import type {Deadline, Teardown} from 'heatherpond-core';
import {findNewerPoint} from './log-order.js';
import {createRefusal} from './refusal.js';
import type {RunningStatement} from './running-statement.js';
import {createRefusedError} from './session-error.js';
import type {SessionReply} from './session-reply.js';
import type {Primary, SessionServices} from './session-services.js';
import {
	readTransactionState, type OpenTransaction, type SessionState,
} from './session-state.js';
import {endTransaction, exchangeInTransaction} from './statement-attempts.js';
import {exchangeStep, type ExchangeEnd} from './statement-exchange.js';
import type {UpstreamAnswer} from './upstream-connection.js';

/** Who calls. */
export type SessionCaller = {
	readonly sessionId: string;
	/** Logical database that the caller connected to. */
	readonly database: string;
	readonly key: string;
};

/** The parts of a session. */
export type Session = {
	readonly caller: SessionCaller;
	readonly services: SessionServices;
	readonly state: SessionState;
	readonly lifetime: AbortController;
	stopIdleTimer?: Teardown;
};

/** Runs a statement on the transaction's connection. */
export async function runInTransaction(session: Session, running: RunningStatement, transaction: OpenTransaction): Promise<SessionReply> {
	const {services, lifetime: {signal}} = session;
	const input = {
		services, loan: transaction.loan, primary: transaction.primary, deadline: running.deadline,
	};
	const needs = running.prepared && {variables: session.state.variables, statement: running.prepared};
	const end = await exchangeInTransaction({services, running, signal}, input, {needs});
	if (end.kind === 'answered') {
		return applyTransactionAnswer(session, running, transaction, end.answer);
	}

	return failInTransaction(session, running, transaction, end);
}

/** Settles what an answer means for the open transaction. */
export async function applyTransactionAnswer(session: Session, running: RunningStatement, transaction: OpenTransaction, answer: UpstreamAnswer): Promise<SessionReply> {
	const {state, services} = session;
	transaction.hasWritten ||= running.access === 'write' && running.statement.action.kind !== 'commit';
	if (answer.state === 'open') {
		return createAnswerReply(session, running, answer, transaction.database);
	}

	endTransaction(services, transaction, answer.state === 'idle');
	const isCommit = running.statement.action.kind === 'commit';
	state.phase = {kind: answer.state === 'failed' && !isCommit ? 'failed' : 'idle'};
	if (isCommit && transaction.hasWritten && answer.outcome.kind === 'complete') {
		await waitForProof(session, running, transaction.primary!);
		state.ownPoint = findNewerPoint(state.ownPoint, answer.point);
	}

	return createAnswerReply(session, running, answer, transaction.database);
}

/** A transaction that got no answer is over; only its commit can have left something. */
function failInTransaction(session: Session, running: RunningStatement, transaction: OpenTransaction, end: Exclude<ExchangeEnd, {kind: 'answered'}>): never {
	const {state, services} = session;
	const isCommit = running.statement.action.kind === 'commit';
	const isInDoubt = isCommit && transaction.hasWritten && end.kind === 'lost' && end.wasSent;
	endTransaction(services, transaction, false);
	state.phase = {kind: isCommit ? 'idle' : 'failed'};
	throw createRefusedError(isInDoubt
		? createRefusal('in_doubt', `the answer to a commit was lost: ${end.reason}`)
		: createRefusal('aborted', `the transaction was rolled back: ${end.reason}`));
}

/** Sets a value, also on the connection of an open transaction. */
export async function runVariable(session: Session, timeoutMs: number): Promise<SessionReply> {
	const {state, services} = session;
	if (state.phase.kind !== 'open') {
		return createDoneReply(session);
	}

	const {transaction} = state.phase;
	const deadline: Deadline = services.clock.readNow() + timeoutMs;
	const end = await exchangeStep({
		services, loan: transaction.loan, primary: transaction.primary, deadline,
	}, {needs: {variables: state.variables}});
	if (!end) {
		return createDoneReply(session);
	}

	endTransaction(services, transaction, false);
	state.phase = {kind: 'failed'};
	throw createRefusedError(createRefusal('aborted', 'the transaction was rolled back: its connection was lost'));
}

/** Holds the acknowledgement of a write until the database is proven to have been primary. */
export async function waitForProof({services, lifetime}: Session, running: RunningStatement, primary: Primary): Promise<void> {
	while (!services.primacy.isProven(primary)) {
		if (services.primacy.isReplaced(primary) || services.clock.readNow() >= running.deadline || lifetime.signal.aborted) {
			throw createRefusedError(createRefusal('in_doubt', 'the database may no longer have been primary when it committed'));
		}

		await services.primacy.waitForChange(running.deadline, lifetime.signal);
	}
}

/** Rolls an open transaction back; its caller is told at its next statement. */
export function failTransaction({state, services, caller}: Session, reason: string): void {
	const {phase} = state;
	if (phase.kind === 'idle' || phase.kind === 'failed') {
		return;
	}

	state.phase = {kind: 'failed'};
	if (phase.kind === 'open') {
		services.writeEvent('transaction_rolled_back', {session: caller.sessionId, database: phase.transaction.database, reason});
		endTransaction(services, phase.transaction, false);
	}
}

/** Creates the reply of a statement that no database has seen. */
export function createDoneReply({state}: Session): SessionReply {
	return {kind: 'done', state: readTransactionState(state)};
}

/** Creates the reply that passes a database's answer on. */
export function createAnswerReply({state, services, caller}: Session, running: RunningStatement, answer: UpstreamAnswer, database: string): SessionReply {
	if (answer.outcome.kind === 'error') {
		services.writeEvent('statement_failed', {
			request: running.statement.id, session: caller.sessionId, team: running.team, group: running.route.group, database, code: answer.outcome.code,
		});
	}

	return {
		kind: 'answer', body: answer.body, state: readTransactionState(state), point: answer.point, database, isError: answer.outcome.kind === 'error',
	};
}
