/** Session of one client connection: runs its statements in order and produces one reply for each. */
import type {Instant} from 'heatherpond-core';
import {createAccessRefusal} from './access-refusal.js';
import {computeSpreadRetry} from './attempt-rules.js';
import {createKeyCheck, endTransactionOfOtherTeam} from './key-ownership.js';
import {createRefusal, type Refusal} from './refusal.js';
import {checkAcceptsWork, checkAdmission, checkPhaseUnchanged} from './operation-checks.js';
import type {RunningStatement} from './running-statement.js';
import {RefusedError} from './session-error.js';
import {isOrphaned, recordUnaskedEnd, removeKnownEnd} from './sent-statements.js';
import type {SessionReply} from './session-reply.js';
import type {SessionAccess, SessionServices} from './session-services.js';
import {
	applyStatement, createSessionState, readTransactionState, type OpenTransaction, type StatementPlan,
} from './session-state.js';
import {
	runFirstTransactionStatement, runSingleStatement, type AttemptContext,
} from './statement-attempts.js';
import {createObservation} from './statement-observation.js';
import type {StatementTarget} from './statement-target.js';
import type {Statement} from './statement.js';
import {
	applyTransactionResponse, createDatabaseReply, createLocalReply, endTransaction, failTransaction, runInTransaction, applySessionVariable, waitForPrimaryConfirmation, type SessionContext, type SessionClient,
} from './transaction-run.js';
import type {UpstreamResponse} from './upstream-connection.js';
import {findNewerPosition} from './log-order.js';

/** Session of one client connection. */
export type ClientSession = {
	/**
	 * Runs a statement and resolves to its reply. The caller must wait for the reply before it runs the next statement.
	 * Client and database errors are returned as replies; the promise does not reject for them.
	 */
	readonly run: (statement: Statement, arrivedAt: Instant) => Promise<SessionReply>;
	/** Whether no transaction is open, pending or failed. */
	readonly isIdle: () => boolean;
	/**
	 * Rolls back the open transaction, if any, unless its COMMIT is under way. The client learns of it from the reply to its next
	 * statement.
	 */
	readonly abort: (reason: string) => void;
	/** Refuses the statement in progress unless it has been sent to a database, and all later ones. */
	readonly stopWork: () => void;
	/** Ends the statement in progress even if it has been sent, so that its reply follows at once, and refuses all later ones. */
	readonly endStatement: () => void;
	/** Ends the session, cancels its waits and rolls back an open transaction. */
	readonly stop: () => void;
};

type AllowedAccess = Extract<SessionAccess, {kind: 'allow'}>;

/** Creates the session of a client that has just connected. */
export function createClientSession(caller: SessionClient, services: SessionServices): ClientSession {
	const session: SessionContext = {
		caller, services, state: createSessionState(services.memory), abortController: new AbortController(),
	};
	return {
		async run(statement, arrivedAt) {
			session.stopIdleTimer?.();
			const reply = await runStatementInOrder(session, statement, arrivedAt);
			services.recordStatement(createObservation(caller, reply, services.clock.readNow() - arrivedAt));
			registerIdleTimer(session);
			return reply;
		},
		isIdle: () => session.state.phase.kind === 'idle',
		abort(reason) {
			if (!session.state.isCommitting) {
				failTransaction(session, reason);
			}
		},
		stopWork() {
			session.abortController.abort();
		},
		endStatement() {
			session.abortController.abort();
			session.state.loanInUse?.release();
		},
		stop() {
			session.stopIdleTimer?.();
			session.abortController.abort();
			failTransaction(session, 'session ended');
			session.state.room.end();
		},
	};
}

/** Runs a statement, unless it belongs to a transaction that has ended without its client. */
async function runStatementInOrder(session: SessionContext, statement: Statement, arrivedAt: Instant): Promise<SessionReply> {
	const {services, state} = session;
	const isRefused = isOrphaned(state, statement, arrivedAt);
	removeKnownEnd(state, statement, arrivedAt);
	if (isRefused) {
		return refuse(session, statement, createRefusal('aborted', 'the transaction of the statement was rolled back before the statement ran'), {endsSession: false});
	}

	const wasOpen = state.phase.kind !== 'idle';
	const reply = await runStatement(session, statement, arrivedAt);
	recordUnaskedEnd(state, statement, {wasOpen, now: services.clock.readNow()});
	return reply;
}

async function runStatement(session: SessionContext, statement: Statement, arrivedAt: Instant): Promise<SessionReply> {
	const {services, caller, state} = session;
	const access = services.access.decideAccess(caller.database, caller.key);
	if (access.kind === 'refuse') {
		failTransaction(session, access.reason);
		state.phase = {kind: 'idle'};
		return refuse(session, statement, createAccessRefusal(access.reason), {endsSession: access.reason !== 'unverified'});
	}

	const refusal = endTransactionOfOtherTeam(session, access.team, statement);
	if (refusal) {
		return refuse(session, statement, refusal, {endsSession: false, access});
	}

	try {
		return await runStatementPlan(session, access, statement, arrivedAt);
	} catch (error) {
		if (!(error instanceof RefusedError)) {
			throw error;
		}

		return refuse(session, statement, error.refusal, {endsSession: false, access});
	}
}

/** Mean retry-after hint, in milliseconds, while messages under way take up all memory for them. */
const MEMORY_RETRY_AFTER_MS = 250;

async function runStatementPlan(session: SessionContext, access: AllowedAccess, statement: Statement, arrivedAt: Instant): Promise<SessionReply> {
	const {services, state} = session;
	const isOperationStart = state.phase.kind === 'idle' || state.phase.kind === 'begun';
	const plan = applyStatement(state, statement, arrivedAt);
	switch (plan.kind) {
		case 'done': {
			return createLocalReply(session);
		}

		case 'refused': {
			return refuse(session, statement, plan.refusal, {endsSession: false, access});
		}

		case 'dropped': {
			failTransaction(session, 'no memory for a statement');
			return refuse(session, statement, createRefusal('busy', 'messages under way take up all memory for them', computeSpreadRetry(MEMORY_RETRY_AFTER_MS, services.random)), {endsSession: false, access});
		}

		case 'rollback': {
			failTransaction(session, 'rollback');
			state.phase = {kind: 'idle'};
			return createLocalReply(session);
		}

		case 'variable': {
			return applySessionVariable(session, plan, access.route.timeoutMs);
		}

		case 'commit':
		case 'data': {
			checkAcceptsWork(session);
			if (isOperationStart) {
				const {phase} = state;
				await checkAdmission(services, access.team, state);
				checkPhaseUnchanged(session, phase);
			}

			const running = createRunningStatement(plan, {access, statement, arrivedAt});
			return state.phase.kind === 'open'
				? runInTransaction(session, running, state.phase)
				: runOutsideTransaction(session, running);
		}
	}
}

function createRunningStatement(
	plan: Extract<StatementPlan, {kind: 'data' | 'commit'}>,
	{access, statement, arrivedAt}: {access: AllowedAccess; statement: Statement; arrivedAt: Instant},
): RunningStatement {
	const data = plan.kind === 'data' ? plan : undefined;
	return {
		statement,
		access: data?.access ?? 'write',
		prepared: data?.prepared,
		arguments: data?.arguments,
		route: access.route,
		team: access.team,
		homes: access.homes,
		arrivedAt,
		deadline: arrivedAt + access.route.timeoutMs,
		failed: new Set(),
		attempts: 0,
		lastFailureReason: '',
	};
}

/** Runs a statement that has no connection yet: one outside a transaction, or the first one of a transaction. */
async function runOutsideTransaction(session: SessionContext, running: RunningStatement): Promise<SessionReply> {
	const {state, services, abortController, caller} = session;
	const {phase} = state;
	const {signal} = phase.kind === 'begun' ? phase.lifetime : abortController;
	const isReadOnly = phase.kind === 'begun' && phase.isReadOnly;
	const context: AttemptContext = {
		services, state, running, signal, hasKey: createKeyCheck(services, caller, running.team),
		needsPrimary: running.route.consistency === 'primary' || (phase.kind === 'begun' ? !isReadOnly : running.access === 'write'),
	};
	if (phase.kind !== 'begun') {
		const {answer, target, endWork} = await runSingleStatement(context);
		return applySingleResponse(session, running, answer, target).finally(endWork);
	}

	try {
		const {answer, target, loan} = await runFirstTransactionStatement(context, isReadOnly);
		const transaction: OpenTransaction = {
			loan, database: target.database, primary: target.primary, hasWritten: false, endWork: target.primary ? services.primacy.registerWork(target.primary) : () => undefined,
		};
		if (signal.aborted || state.phase !== phase) {
			endTransaction(transaction);
		}

		checkPhaseUnchanged(session, phase);
		state.phase = {
			kind: 'open', isReadOnly, transaction, lifetime: phase.lifetime,
		};
		return await applyTransactionResponse(session, running, transaction, answer);
	} catch (error) {
		if (state.phase.kind === 'begun') {
			state.phase = {kind: 'idle'};
		}

		throw error;
	}
}

async function applySingleResponse(session: SessionContext, running: RunningStatement, answer: UpstreamResponse, {primary, database}: StatementTarget): Promise<SessionReply> {
	if (running.access === 'write' && answer.outcome.kind === 'complete') {
		await waitForPrimaryConfirmation(session, running, primary!);
		session.state.lastCommitPosition = findNewerPosition(session.state.lastCommitPosition, answer.point);
	}

	return createDatabaseReply(session, running, answer, database);
}

/** Rolls back a transaction whose client sends nothing for too long, because it occupies one of few pooled connections. */
function registerIdleTimer(session: SessionContext): void {
	const {state, services} = session;
	if (state.phase.kind === 'open') {
		session.stopIdleTimer = services.clock.registerTimer(services.clock.readNow() + services.readIdleTransactionMs(), () => {
			failTransaction(session, 'idle transaction timeout');
		});
	}
}

function refuse(
	{state, services, caller}: SessionContext,
	statement: Statement,
	refusal: Refusal,
	{endsSession, access}: {readonly endsSession: boolean; readonly access?: AllowedAccess},
): SessionReply {
	services.writeEvent('statement_refused', {
		request: statement.id, session: caller.sessionId, route: caller.database,
		team: access?.team, group: access?.route.group, code: refusal.code, reason: refusal.reason, retry_after_ms: refusal.retryAfterMs,
	});
	return {
		kind: 'refused', refusal, state: readTransactionState(state), endsSession,
	};
}
