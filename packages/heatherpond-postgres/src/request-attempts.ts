/** Runs a request outside of a transaction and retries it, on another database if possible, when that is safe. */
import type {ClientContext} from './client-context.js';
import {applyConnectionVariables} from './connection-variables.js';
import {exchangeOnce} from './once-request.js';
import {createRequestError, UpstreamError} from './postgres-error.js';
import {exchangeRequest, type ExchangeOutcome} from './request-exchange.js';
import {readRetryDelay} from './retry-budget.js';
import type {RunningRequest, ConnectionAssignment} from './running-request.js';
import {SQL_STATE} from './sql-states.js';
import {waitForNextAttempt, waitForOtherPrimary} from './state-waits.js';
import {acquireAssignment} from './request-routing.js';

/** Decides whether the session keeps the connection after a response, and sends the rest of the response. */
export type EndExchange = (assignment: ConnectionAssignment, running: RunningRequest, outcome: ExchangeOutcome) => Promise<void>;

/** A failed attempt. */
type Attempt = {
	/** Number of the attempt, starting at 1. */
	readonly number: number;
	/** Absent when no connection could be acquired. */
	readonly assignment?: ConnectionAssignment;
};

/** Runs a request until an attempt succeeds; rejects with the error of the attempt after which no retry is allowed. */
export async function runAttempts(context: ClientContext, running: RunningRequest, endExchange: EndExchange): Promise<ExchangeOutcome> {
	for (let number = 1; ; number++) {
		const outcome = await runAttempt(context, running, {number, endExchange});
		if (outcome) {
			return outcome;
		}
	}
}

/** Makes one attempt; resolves to `undefined` when another one is to follow. */
async function runAttempt(context: ClientContext, running: RunningRequest, {number, endExchange}: {readonly number: number; readonly endExchange: EndExchange}): Promise<ExchangeOutcome | undefined> {
	let assignment: ConnectionAssignment | undefined;
	try {
		assignment = await acquireAssignment(context, running);
		await applyConnectionVariables(assignment, running, context.settings.variablesText ?? '');
		const isOnce = context.settings.once !== undefined && !running.request.isRead;
		const outcome = isOnce ? await exchangeOnce(context, assignment, running) : await exchangeRequest(context, assignment, running, 'alone');
		if (!outcome.discardReason) {
			await endExchange(assignment, running, outcome);
			return outcome;
		}

		await handleDiscard(context, running, assignment, outcome);
	} catch (error) {
		// These calls have no effect when the connection was released before the error.
		assignment?.handle.release(false);
		assignment?.permit.release(error instanceof UpstreamError && error.isTimeout ? 'timed_out' : 'failed');
		await waitForRetry(context, running, error, {number, assignment});
		context.services.recordEvent('requestRetried', {
			request: running.requestId, session: context.sessionId, database: assignment?.member.name, reason: (error as Error).message,
		});
	}

	return undefined;
}

/**
 * Handles a discarded response: returns once the request may be sent to another database, or throws the error for the
 * client.
 */
async function handleDiscard(context: ClientContext, running: RunningRequest, assignment: ConnectionAssignment, outcome: ExchangeOutcome): Promise<void> {
	assignment.handle.release(outcome.status === 'I');
	assignment.permit.release('answered');
	const isStale = outcome.discardReason === 'behind';
	if (running.hasResponseStarted || (isStale && assignment.isPrimary)) {
		throw createRequestError(SQL_STATE.readUnanswered, 'the database returned data older than the session\'s last known position; retry the read');
	}

	if (isStale) {
		running.needsPrimary = true;
		return;
	}

	const term = context.services.blackboard.read().view.groups[assignment.group]?.term ?? 0;
	const hasChanged = await waitForOtherPrimary(context, running, {database: assignment.member.name, term});
	if (!hasChanged) {
		throw createRequestError(SQL_STATE.readOnlyTransaction, 'the database rejected the write because it is no longer the primary, and no new primary was known in time');
	}
}

/** Waits for the delay before the next attempt, or rethrows the error when the request must not be retried. */
async function waitForRetry(context: ClientContext, running: RunningRequest, error: unknown, {number, assignment}: Attempt): Promise<void> {
	const {services, settings} = context;
	const isFinal = running.hasResponseStarted || running.cancellation.isCanceled() || services.clock.readNow() >= running.deadline;
	if (!(error instanceof UpstreamError) || error.isTooLarge || isFinal) {
		throw error;
	}

	const isRepeatable = running.request.isRead || settings.isIdempotent === true || settings.once !== undefined;
	if (running.wasDispatched && !(isRepeatable && services.retryBudget.take())) {
		throw error;
	}

	if (assignment) {
		running.failed.add(assignment.member.name);
	}

	await waitForNextAttempt(context, running, services.clock.readNow() + readRetryDelay(number, services.random()));
}
