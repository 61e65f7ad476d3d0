/**
 * Tries a statement on one database after the other until one has answered. What was not run is tried again; a read is
 * tried again also when its answer was lost; a write that was sent is never sent twice.
 */
import {waitUntil, type Deadline} from 'heatherpond-core';
import type {Loan} from './loan.js';
import {createRefusal, type Refusal} from './refusal.js';
import {createStatementCommand, type RunningStatement} from './running-statement.js';
import {createRefusedError, UpstreamError} from './session-error.js';
import type {SessionServices} from './session-services.js';
import type {OpenTransaction, SessionState} from './session-state.js';
import {
	exchangeCommand, type ExchangeEnd, type ExchangeInput, type ExchangeStep,
} from './statement-exchange.js';
import {isTargetStanding, waitForTarget, type StatementTarget} from './statement-target.js';
import type {UpstreamAnswer} from './upstream-connection.js';

/** What all attempts at a statement share. */
export type AttemptContext = {
	readonly services: SessionServices;
	readonly state: SessionState;
	readonly running: RunningStatement;
	readonly needsPrimary: boolean;
	readonly signal: AbortSignal;
};

/** An answer, and where it came from. */
export type AnsweredStatement = {readonly answer: UpstreamAnswer; readonly target: StatementTarget; readonly loan: Loan};

/** The answer to a statement outside a transaction. */
export type AnsweredSingle = AnsweredStatement & {
	/** To be called once the statement is acknowledged: until then it is at work on the primary. */
	readonly endWork: () => void;
};

/** Bounds of the pause between two attempts, in milliseconds. */
const MIN_PAUSE_MS = 4;
const MAX_PAUSE_MS = 40;
/** Milliseconds after which a caller is told to return when the databases are busy. */
const BUSY_RETRY_MS = 250;
/** Milliseconds without an answer after which a read is asked for elsewhere. */
const READ_PATIENCE_MS = 350;
/** Attempts that a statement gets at the most. */
const MAX_ATTEMPTS = 12;

/**
 * Runs a statement outside a transaction; the connection is free again when it resolves.
 *
 * @throws RefusedError with what the caller is told instead of an answer
 */
export async function runSingleStatement(context: AttemptContext): Promise<AnsweredSingle> {
	const work = {end: (): void => undefined};
	const answered = await runAttempts(context, async (loan, target) => {
		work.end = registerWrite(context, target);
		const {running, state: {variables}} = context;
		const end = await exchangeCommand(createInput(context, loan, target), {
			needs: {variables, statement: running.prepared}, command: createStatementCommand(running, target.after), isSentOnce: running.access === 'write', isLast: true,
		});
		loan.release(end.kind !== 'lost' && end.answer.state === 'idle');
		if (end.kind !== 'answered') {
			work.end();
		}

		return end;
	});
	return {...answered, endWork: work.end};
}

/** A write counts as work on its primary, so that a planned replacement waits for it. */
function registerWrite({services, running}: AttemptContext, {primary}: StatementTarget): () => void {
	return running.access === 'write' && primary ? services.primacy.registerWork(primary) : () => undefined;
}

/**
 * Opens a transaction on a database and runs its first statement there.
 *
 * @throws RefusedError with what the caller is told instead of an answer; nothing of the transaction is kept then
 */
export async function runFirstStatement(context: AttemptContext, isReadOnly: boolean): Promise<AnsweredStatement> {
	return runAttempts(context, async (loan, target) => {
		const input = createInput(context, loan, target);
		const {running, state: {variables}} = context;
		const end = await exchangeInTransaction(context, input, {needs: {variables, statement: running.prepared}, begin: {isReadOnly, after: target.after}});
		if (end.kind === 'not_run' && end.answer.state === 'idle') {
			// The database has not opened the transaction.
			loan.release(true);
			return end;
		}

		if (end.kind !== 'answered') {
			releaseTransaction(context.services, loan);
			// It is rolled back, so nothing that was sent is kept.
			return end.kind === 'lost' && context.running.statement.action.kind !== 'commit' ? {...end, wasSent: false} : end;
		}

		return end;
	});
}

/** What a statement of an open transaction is run with, and what its connection needs first. */
export type StatementContext = Pick<AttemptContext, 'services' | 'running' | 'signal'>;
export type TransactionSetup = Pick<ExchangeStep, 'needs' | 'begin'>;

/** Runs a statement in an open transaction; one that the database was too busy for is repeated there. */
export async function exchangeInTransaction({services, running, signal}: StatementContext, input: ExchangeInput, {needs, begin}: TransactionSetup): Promise<ExchangeEnd> {
	const command = createStatementCommand(running);
	const isLast = running.statement.action.kind === 'commit';
	let isOpen = false;
	while (true) {
		const end = await exchangeCommand(input, {
			needs, begin: isOpen ? undefined : begin, command, isLast,
		});
		const isBusy = end.kind === 'not_run' && end.reason === 'busy' && end.answer.state === 'open';
		if (!isBusy || signal.aborted || services.clock.readNow() + MAX_PAUSE_MS >= running.deadline) {
			return end;
		}

		isOpen = true;
		await waitBeforeRetry(services, running, signal);
	}
}

/** Rolls a transaction back and gives its connection back; the caller does not wait for it. */
export function releaseTransaction(services: SessionServices, loan: Loan): void {
	const deadline: Deadline = services.clock.readNow() + READ_PATIENCE_MS;
	void loan.rollBack(deadline).catch((error: unknown) => {
		services.writeEvent('rollback_lost', {database: loan.database, reason: String(error)});
	});
}

/** Ends what an open transaction holds. */
export function endTransaction(services: SessionServices, {loan, endWork}: OpenTransaction, isEnded: boolean): void {
	endWork();
	if (isEnded) {
		loan.release(true);
	} else {
		releaseTransaction(services, loan);
	}
}

type RunAttempt = (loan: Loan, target: StatementTarget) => Promise<ExchangeEnd>;

async function runAttempts(context: AttemptContext, run: RunAttempt): Promise<AnsweredStatement> {
	const {services, running, signal} = context;
	while (true) {
		checkTimeLeft(context);
		running.attempts++;
		const target = await waitForTarget(services, {
			running, needsPrimary: context.needsPrimary, ownPoint: context.state.ownPoint, signal,
		});
		const loan = await acquireLoan(context, target);
		if (loan) {
			if (isTargetStanding(services, target)) {
				const end = await run(loan, target);
				if (end.kind === 'answered' && !isReadToRepeat(context, end.answer)) {
					return {answer: end.answer, target, loan};
				}

				handleFailedAttempt(context, target, end);
			} else {
				loan.release(true);
				continue;
			}
		}

		await waitBeforeRetry(services, running, signal);
	}
}

function createInput({services, running, state, needsPrimary}: AttemptContext, loan: Loan, {primary}: StatementTarget): ExchangeInput {
	const isRepeatable = running.access === 'read' && state.phase.kind !== 'open' && !(needsPrimary && running.failed.size > 0);
	const patienceEndsAt = isRepeatable ? services.clock.readNow() + READ_PATIENCE_MS : Number.POSITIVE_INFINITY;
	return {
		services, loan, primary, deadline: Math.min(running.deadline, patienceEndsAt),
	};
}

/** A read that failed while it ran may be run again elsewhere. */
function isReadToRepeat({running, needsPrimary}: AttemptContext, {outcome}: UpstreamAnswer): boolean {
	return outcome.kind === 'error' && (outcome.code === 'failed' || outcome.code === 'timeout')
		&& running.access === 'read' && running.attempts < 3 && !needsPrimary;
}

async function acquireLoan({services, running, state, signal}: AttemptContext, {database}: StatementTarget): Promise<Loan | undefined> {
	const endWork = services.upstreams.registerWork(database);
	try {
		return await services.upstreams.acquire(database, {
			team: running.team,
			priority: running.route.priority,
			deadline: running.deadline,
			signal,
			variables: state.variables,
		});
	} catch (error) {
		if (!(error instanceof UpstreamError)) {
			throw error;
		}

		running.failed.add(database);
		running.lastReason = error.failure;
		services.upstreams.applyFailure(database, error.failure, services.clock.readNow());
		services.writeEvent('connection_failed', {
			request: running.statement.id, database, reason: error.failure, attempt: running.attempts,
		});
		return undefined;
	} finally {
		endWork();
	}
}

/** Decides whether a statement may be tried again; throws with the caller's answer when it may not. */
function handleFailedAttempt({services, running}: AttemptContext, {database}: StatementTarget, end: ExchangeEnd): void {
	const reason = end.kind === 'answered' ? 'failed' : end.reason;
	running.failed.add(database);
	running.lastReason = reason;
	services.writeEvent('attempt_failed', {
		request: running.statement.id, database, outcome: end.kind, reason, attempt: running.attempts,
	});
	if (end.kind === 'lost' && end.wasSent && running.access === 'write') {
		throw createRefusedError(createRefusal('in_doubt', `the answer to a write was lost: ${reason}`));
	}
}

function checkTimeLeft({services, running, signal}: AttemptContext): void {
	if (signal.aborted || running.attempts >= MAX_ATTEMPTS || services.clock.readNow() >= running.deadline) {
		throw createRefusedError(createNotRunRefusal(running));
	}
}

/** The statement was not run, or all that was read of it is dropped. */
function createNotRunRefusal({lastReason}: RunningStatement): Refusal {
	return createRefusal('busy', `no database answered in time: ${lastReason || 'busy'}`, BUSY_RETRY_MS);
}

async function waitBeforeRetry(services: SessionServices, {deadline, attempts, lastReason}: RunningStatement, signal: AbortSignal): Promise<void> {
	if (lastReason === 'lagging') {
		return;
	}

	const longest = Math.min(MAX_PAUSE_MS, MIN_PAUSE_MS * (2 ** attempts));
	const pause = MIN_PAUSE_MS + (services.random() * (longest - MIN_PAUSE_MS));
	await waitUntil(services.clock, Math.min(deadline, services.clock.readNow() + pause), signal);
}
