/** One caller's session: statements in, replies out, one after the other. */
import type {Instant} from 'heatherpond-core';
import {createRefusal, type Refusal} from './refusal.js';
import type {RunningStatement} from './running-statement.js';
import {createRefusedError, RefusedError} from './session-error.js';
import type {SessionReply} from './session-reply.js';
import type {SessionAccess, SessionServices, StatementObservation} from './session-services.js';
import {
	applyStatement, createSessionState, readTransactionState, type OpenTransaction, type SessionPhase, type SessionState, type StatementPlan,
} from './session-state.js';
import {
	endTransaction, runFirstStatement, runSingleStatement, type AttemptContext,
} from './statement-attempts.js';
import type {StatementTarget} from './statement-target.js';
import type {Statement} from './statement.js';
import {
	applyTransactionAnswer, createAnswerReply, createDoneReply, failTransaction, runInTransaction, runVariable, waitForProof, type Session, type SessionCaller,
} from './transaction-run.js';
import type {UpstreamAnswer} from './upstream-connection.js';
import {findNewerPoint} from './log-order.js';

/** A caller's session. */
export type CallerSession = {
	/** Runs a statement; statements are run one after the other. It never rejects for a fault of caller or database. */
	readonly run: (statement: Statement, arrivedAt: Instant) => Promise<SessionReply>;
	/** Whether the session is outside of transactions. */
	readonly isIdle: () => boolean;
	/** Rolls back an open transaction, whose caller is told at its next statement. */
	readonly abort: (reason: string) => void;
	/** Ends the session and rolls back what is open. */
	readonly stop: () => void;
};

type AllowedAccess = Extract<SessionAccess, {kind: 'allow'}>;

/** Creates a session. */
export function createCallerSession(caller: SessionCaller, services: SessionServices): CallerSession {
	const session: Session = {
		caller, services, state: createSessionState(), lifetime: new AbortController(),
	};
	return {
		async run(statement, arrivedAt) {
			session.stopIdleTimer?.();
			const reply = await runStatement(session, statement, arrivedAt);
			services.recordStatement(createObservation(caller, reply, services.clock.readNow() - arrivedAt));
			registerIdleTimer(session);
			return reply;
		},
		isIdle: () => session.state.phase.kind === 'idle',
		abort(reason) {
			failTransaction(session, reason);
		},
		stop() {
			session.stopIdleTimer?.();
			session.lifetime.abort();
			failTransaction(session, 'session ended');
		},
	};
}

function createObservation({database}: SessionCaller, reply: SessionReply, elapsedMs: number): StatementObservation {
	switch (reply.kind) {
		case 'answer': {
			return {
				route: database, outcome: reply.isError ? 'failed' : 'served', database: reply.database, elapsedMs,
			};
		}

		case 'done': {
			return {route: database, outcome: 'done', elapsedMs};
		}

		case 'refused': {
			return {route: database, outcome: reply.refusal.code, elapsedMs};
		}
	}
}

async function runStatement(session: Session, statement: Statement, arrivedAt: Instant): Promise<SessionReply> {
	const {services, caller, state} = session;
	const access = services.access.decideAccess(caller.database, caller.key);
	if (access.kind === 'refuse') {
		failTransaction(session, access.reason);
		state.phase = {kind: 'idle'};
		return refuse(session, statement, createAccessRefusal(access.reason), {endsSession: access.reason !== 'unverified'});
	}

	try {
		return await runPlan(session, access, statement, arrivedAt);
	} catch (error) {
		if (!(error instanceof RefusedError)) {
			throw error;
		}

		return refuse(session, statement, error.refusal, {endsSession: false, access});
	}
}

/** Milliseconds after which a caller is told to return to a host that has lost touch with the contracts. */
const UNVERIFIED_RETRY_MS = 200;

function createAccessRefusal(reason: Extract<SessionAccess, {kind: 'refuse'}>['reason']): Refusal {
	switch (reason) {
		case 'unknown_database': {
			return createRefusal('unknown_database', 'no route has this name');
		}

		case 'unknown_key': {
			return createRefusal('unknown_key', 'the key is not good');
		}

		case 'unverified':
		case 'unverified_here': {
			return createRefusal('busy', 'the contracts cannot be verified at the moment', UNVERIFIED_RETRY_MS);
		}
	}
}

async function runPlan(session: Session, access: AllowedAccess, statement: Statement, arrivedAt: Instant): Promise<SessionReply> {
	const {services, state} = session;
	const isOperationStart = state.phase.kind === 'idle' || state.phase.kind === 'begun';
	const plan = applyStatement(state, statement, arrivedAt);
	switch (plan.kind) {
		case 'done': {
			return createDoneReply(session);
		}

		case 'refused': {
			return refuse(session, statement, plan.refusal, {endsSession: false, access});
		}

		case 'rollback': {
			failTransaction(session, 'rollback');
			state.phase = {kind: 'idle'};
			return createDoneReply(session);
		}

		case 'variable': {
			return runVariable(session, access.route.timeoutMs);
		}

		case 'commit':
		case 'data': {
			if (isOperationStart) {
				const {phase} = state;
				await checkAdmission(services, access.team, state);
				checkPhase(session, phase);
			}

			const running = createRunning(plan, {access, statement, arrivedAt});
			return state.phase.kind === 'open'
				? runInTransaction(session, running, state.phase.transaction)
				: runOutside(session, running);
		}
	}
}

function createRunning(plan: Extract<StatementPlan, {kind: 'data' | 'commit'}>, {access, statement, arrivedAt}: {access: AllowedAccess; statement: Statement; arrivedAt: Instant}): RunningStatement {
	const data = plan.kind === 'data' ? plan : undefined;
	return {
		statement,
		access: data?.access ?? 'write',
		prepared: data?.prepared,
		arguments: data?.arguments,
		route: access.route,
		team: access.team,
		arrivedAt,
		deadline: arrivedAt + access.route.timeoutMs,
		failed: new Set(),
		attempts: 0,
		lastReason: '',
	};
}

async function checkAdmission({admission}: SessionServices, team: string, state: SessionState): Promise<void> {
	const retryAfterMs = await admission.admit(team);
	if (retryAfterMs > 0) {
		state.phase = {kind: 'idle'};
		throw createRefusedError(createRefusal('busy', 'the team is over its rate', retryAfterMs));
	}
}

/** What ended the transaction while its statement waited has the last word. */
function checkPhase({state, lifetime}: Session, phase: SessionPhase): void {
	if (lifetime.signal.aborted || state.phase !== phase) {
		throw createRefusedError(createRefusal('aborted', 'the transaction was rolled back before its first statement'));
	}
}

/** Runs a statement that has no connection yet: a single one, or the first of a transaction. */
async function runOutside(session: Session, running: RunningStatement): Promise<SessionReply> {
	const {state, services, lifetime: {signal}} = session;
	const {phase} = state;
	const isReadOnly = phase.kind === 'begun' && phase.isReadOnly;
	const context: AttemptContext = {
		services, state, running, signal,
		needsPrimary: running.route.consistency === 'primary' || (phase.kind === 'begun' ? !isReadOnly : running.access === 'write'),
	};
	if (phase.kind !== 'begun') {
		const {answer, target, endWork} = await runSingleStatement(context);
		return endSingle(session, running, answer, target).finally(endWork);
	}

	try {
		const {answer, target, loan} = await runFirstStatement(context, isReadOnly);
		const transaction: OpenTransaction = {
			loan, database: target.database, primary: target.primary, hasWritten: false, endWork: target.primary ? services.primacy.registerWork(target.primary) : () => undefined,
		};
		if (signal.aborted || state.phase !== phase) {
			endTransaction(services, transaction, false);
		}

		checkPhase(session, phase);
		state.phase = {kind: 'open', isReadOnly, transaction};
		return await applyTransactionAnswer(session, running, transaction, answer);
	} catch (error) {
		if (state.phase.kind === 'begun') {
			state.phase = {kind: 'idle'};
		}

		throw error;
	}
}

async function endSingle(session: Session, running: RunningStatement, answer: UpstreamAnswer, {primary, database}: StatementTarget): Promise<SessionReply> {
	if (running.access === 'write' && answer.outcome.kind === 'complete') {
		await waitForProof(session, running, primary!);
		session.state.ownPoint = findNewerPoint(session.state.ownPoint, answer.point);
	}

	return createAnswerReply(session, running, answer, database);
}

/** A transaction holds a scarce connection; it may not wait for its caller for ever. */
function registerIdleTimer(session: Session): void {
	const {state, services} = session;
	if (state.phase.kind === 'open') {
		session.stopIdleTimer = services.clock.registerTimer(services.clock.readNow() + services.readIdleTransactionMs(), () => {
			failTransaction(session, 'idle for too long');
		});
	}
}

function refuse({state, services, caller}: Session, statement: Statement, refusal: Refusal, {endsSession, access}: {readonly endsSession: boolean; readonly access?: AllowedAccess}): SessionReply {
	services.writeEvent('statement_refused', {
		request: statement.id, session: caller.sessionId, route: caller.database,
		team: access?.team, group: access?.route.group, code: refusal.code, reason: refusal.reason, retry_after_ms: refusal.retryAfterMs,
	});
	return {
		kind: 'refused', refusal, state: readTransactionState(state), endsSession,
	};
}
