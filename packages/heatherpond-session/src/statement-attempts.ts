/**
 * Runs a statement with retries, on other databases where possible. A statement that was not run is retried. A read is
 * retried even if its response was lost; a write that may have been committed is never sent again.
 */
import {
	BUSY_RETRY_AFTER_MS, checkRetryAllowed, checkSendable, computeSpreadRetry, computeAttemptTimeout, isRetryableRead, MAX_RETRY_DELAY_MS, waitBeforeRetry,
} from './attempt-rules.js';
import type {ConnectionHandle} from './connection-handle.js';
import {checkKeyOwnership} from './key-ownership.js';
import {createRefusal} from './refusal.js';
import {createStatementCommand, type RunningStatement} from './running-statement.js';
import {createRefusedError, UpstreamError} from './session-error.js';
import type {SessionServices} from './session-services.js';
import type {SessionState} from './session-state.js';
import {
	exchangeCommand, type ExchangeResult, type ExchangeContext, type ExchangeStep,
} from './statement-exchange.js';
import {hasBudget, waitForBudget} from './statement-budget.js';
import {isTargetCurrent, waitForTarget, type StatementTarget} from './statement-target.js';
import type {UpstreamResponse} from './upstream-connection.js';

/** Context shared by all attempts of a statement. */
export type AttemptContext = {
	readonly services: SessionServices;
	readonly state: SessionState;
	readonly running: RunningStatement;
	/** Whether only the primary may run the statement. */
	readonly needsPrimary: boolean;
	readonly signal: AbortSignal;
	/** Whether the team of the statement still has the client's key. */
	readonly hasKey: () => boolean;
};

/** A response, with the database and the connection that it came from. */
export type AnsweredStatement = {readonly answer: UpstreamResponse; readonly target: StatementTarget; readonly loan: ConnectionHandle};

/** The response to a statement outside a transaction. */
export type AnsweredSingleStatement = AnsweredStatement & {
	/** Ends the registration of the write as in flight on the primary; call it once the write is acknowledged. */
	readonly endWork: () => void;
};

/**
 * Runs a statement outside a transaction. Its connection has been released when the promise resolves.
 *
 * @throws RefusedError with the reply to the client when no database could run the statement
 */
export async function runSingleStatement(context: AttemptContext): Promise<AnsweredSingleStatement> {
	const work = {end: (): void => undefined};
	function endWork(): void {
		work.end();
		work.end = () => undefined;
	}

	const answered = await runAttempts(context, async (loan, target) => {
		work.end = registerPrimaryWrite(context, target);
		const {running, state: {variables}} = context;
		const result = await exchangeCommand(createExchangeContext(context, loan, target), {
			needs: {variables, statement: running.prepared}, command: createStatementCommand(running, target.after), isSentOnce: running.access === 'write', isLast: true,
		});
		if (result.kind !== 'answered') {
			endWork();
		}

		return result;
	}).catch((error: unknown) => {
		endWork();
		throw error;
	});
	answered.loan.release();
	return {...answered, endWork};
}

/** Registers a write as in flight on its primary, so that a planned switchover waits for it. */
function registerPrimaryWrite({services, running}: AttemptContext, {primary}: StatementTarget): () => void {
	return running.access === 'write' && primary ? services.primacy.registerWork(primary) : () => undefined;
}

/**
 * Opens a transaction on a database and runs its first statement there.
 *
 * @throws RefusedError with the reply to the client; the transaction has been rolled back then
 */
export async function runFirstTransactionStatement(context: AttemptContext, isReadOnly: boolean): Promise<AnsweredStatement> {
	return runAttempts(context, async (loan, target) => {
		const input = createExchangeContext(context, loan, target);
		const {running, state: {variables}} = context;
		const result = await exchangeInTransaction(context, input, {needs: {variables, statement: running.prepared}, begin: {isReadOnly, after: target.after}});
		// The transaction is rolled back, so a statement that was sent has no effect and may be retried.
		return result.kind === 'lost' && running.statement.action.kind !== 'commit' ? {...result, wasSent: false} : result;
	});
}

/** Context of a statement in an open transaction. */
export type StatementContext = Pick<AttemptContext, 'services' | 'running' | 'signal'>;
/** Connection state and transaction to set up before the statement. */
export type TransactionSetup = Pick<ExchangeStep, 'needs' | 'begin'>;

/** Runs a statement in an open transaction; while the database rejects it as busy, it is retried on the same connection. */
export async function exchangeInTransaction({services, running, signal}: StatementContext, input: ExchangeContext, {needs, begin}: TransactionSetup): Promise<ExchangeResult> {
	const command = createStatementCommand(running);
	const isLast = running.statement.action.kind === 'commit';
	let isOpen = false;
	while (true) {
		if ((!begin || isOpen) && !await waitForBudget({services, running, signal}, input.loan.database)) {
			return {kind: 'lost', wasSent: false, reason: 'cold'};
		}

		const result = await exchangeCommand(input, {
			needs, begin: isOpen ? undefined : begin, command, isLast,
		});
		const isBusy = result.kind === 'not_run' && result.reason === 'busy' && result.answer.state === 'open';
		if (!isBusy || signal.aborted || services.clock.readNow() + MAX_RETRY_DELAY_MS >= running.deadline) {
			return result;
		}

		isOpen = true;
		await waitBeforeRetry(services, running, signal);
	}
}

/** Runs one attempt on a connection, which it leaves to be released by its caller. */
type RunAttempt = (loan: ConnectionHandle, target: StatementTarget) => Promise<ExchangeResult>;

/** Runs attempts until one is answered for good. The connection of that one is handed over in use; all others are released here. */
async function runAttempts(context: AttemptContext, run: RunAttempt): Promise<AnsweredStatement> {
	const {services, running, signal} = context;
	while (true) {
		checkRetryAllowed(context);
		running.attempts++;
		const target = await waitForTarget(services, {
			running, needsPrimary: context.needsPrimary, lastCommitPosition: context.state.lastCommitPosition, signal,
		});
		if (!await hasBudget(context, target.database)) {
			await waitBeforeRetry(services, running, signal);
			continue;
		}

		const loan = await acquireLoan(context, target);
		if (loan && (signal.aborted || !isTargetCurrent(services, target))) {
			loan.release();
			continue;
		}

		const answer = loan && await runOnLoan(context, {loan, target}, run);
		if (answer) {
			return {answer, target, loan};
		}

		await waitBeforeRetry(services, running, signal);
	}
}

/**
 * Runs one attempt. Without a final answer the connection has been released.
 *
 * @throws RefusedError when there is nothing left to try
 */
async function runOnLoan(context: AttemptContext, {loan, target}: Pick<AnsweredStatement, 'loan' | 'target'>, run: RunAttempt): Promise<UpstreamResponse | undefined> {
	let isAnswered = false;
	try {
		checkKeyOwnership(context);
		context.state.loanInUse = loan;
		const result = await run(loan, target);
		if (result.kind === 'answered' && !isRetryableRead(context, result.answer)) {
			isAnswered = true;
			return result.answer;
		}

		handleFailedAttempt(context, target, result);
		return undefined;
	} finally {
		context.state.loanInUse = undefined;
		if (!isAnswered) {
			loan.release();
		}
	}
}

function createExchangeContext({services, running, state, needsPrimary}: AttemptContext, loan: ConnectionHandle, target: StatementTarget): ExchangeContext {
	const isRetryable = running.access === 'read' && state.phase.kind !== 'open' && !(needsPrimary && running.failed.size > 0);
	const attemptDeadline = isRetryable ? services.clock.readNow() + computeAttemptTimeout(running, target) : Number.POSITIVE_INFINITY;
	return {
		services, loan, primary: target.primary, deadline: Math.min(running.deadline, attemptDeadline),
	};
}

async function acquireLoan(context: AttemptContext, {database}: StatementTarget): Promise<ConnectionHandle | undefined> {
	const {services, running, state, signal} = context;
	const endWork = services.upstreams.registerWork(database);
	try {
		return await services.upstreams.acquire(database, {
			team: running.team,
			priority: running.route.priority,
			homes: running.homes,
			deadline: running.deadline,
			objective: running.arrivedAt + running.route.targetLatencyMs,
			signal,
			variables: state.variables,
		});
	} catch (error) {
		if (!(error instanceof UpstreamError)) {
			throw error;
		}

		running.failed.add(database);
		running.lastFailureReason = error.failure;
		services.upstreams.recordFailure(database, error.failure, services.clock.readNow());
		services.writeEvent('connection_failed', {
			request: running.statement.id, database, reason: error.failure, attempt: running.attempts,
		});
		checkAlternatives(context, error.failure, error.retryAfterMs);
		return undefined;
	} finally {
		endWork();
	}
}

/**
 * Checks whether a failed attempt leaves another one to try.
 *
 * @throws RefusedError when the statement cannot be sent to any database, and with the time at which room is expected when every
 * database that could run it is overloaded
 */
function checkAlternatives({services, running, needsPrimary}: AttemptContext, failure: string, retryAfterMs: number): void {
	checkSendable(failure);
	const {route: {group}, team, homes, failed} = running;
	const isTriedEverywhere = (): boolean => services.upstreams.findCandidates(group, {team, homes}).every(({id}) => failed.has(id));
	if (failure === 'overloaded' && (needsPrimary || isTriedEverywhere())) {
		throw createRefusedError(createRefusal('busy', 'too many statements wait for the database', Math.max(1, Math.round(retryAfterMs))));
	}
}

/** Records a failed attempt; throws a RefusedError if a write may have been applied, so that it must not be retried. */
function handleFailedAttempt(context: AttemptContext, {database}: StatementTarget, result: ExchangeResult): void {
	const {services, running} = context;
	const reason = result.kind === 'answered' ? 'failed' : result.reason;
	running.failed.add(database);
	running.lastFailureReason = reason;
	services.writeEvent('attempt_failed', {
		request: running.statement.id, database, outcome: result.kind, reason, attempt: running.attempts,
	});
	const mayHaveRun = result.kind === 'misplaced' || (result.kind === 'lost' && result.wasSent);
	if (mayHaveRun && running.access === 'write') {
		throw createRefusedError(createRefusal('in_doubt', `the outcome of the write is unknown, it got no valid response: ${reason}`));
	}

	if (reason === 'no_memory') {
		throw createRefusedError(createRefusal('busy', 'the response does not fit into the memory that is left for messages', computeSpreadRetry(BUSY_RETRY_AFTER_MS, services.random)));
	}

	checkAlternatives(context, reason, result.kind === 'lost' ? result.retryAfterMs ?? 0 : 0);
}
