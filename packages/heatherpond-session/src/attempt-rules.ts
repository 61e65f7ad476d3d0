/** Rules of attempts: how long one may take, when another is allowed, and how long to wait before it. */
import {waitUntil} from 'heatherpond-core';
import type {AttemptContext} from './statement-attempts.js';
import {createRefusal, type Refusal} from './refusal.js';
import type {RunningStatement} from './running-statement.js';
import {createRefusedError} from './session-error.js';
import type {SessionServices} from './session-services.js';
import type {StatementTarget} from './statement-target.js';
import type {UpstreamResponse} from './upstream-connection.js';

/** Bounds of the randomized exponential backoff between attempts, in milliseconds. */
const MIN_RETRY_DELAY_MS = 4;
export const MAX_RETRY_DELAY_MS = 40;
/** Mean retry-after hint, in milliseconds, when all attempts have failed. */
export const BUSY_RETRY_AFTER_MS = 250;
/** Least time, in milliseconds, after which an attempt of a retryable read is abandoned. */
const ATTEMPT_TIMEOUT_MS = 350;
/** Number of expected statement times that an attempt may take, and the fraction of the target latency that it may use up. */
const ATTEMPT_STATEMENTS = 16;
const ATTEMPT_OBJECTIVE_SHARE = 0.5;
/** Maximum number of attempts of a statement. */
const MAX_ATTEMPTS = 12;

/** A read that is abandoned may still be running, so slow statements get more time, as long as the objective leaves some for another attempt. */
export function computeAttemptTimeout({route}: RunningStatement, {statementMs = 0}: StatementTarget): number {
	return Math.max(ATTEMPT_TIMEOUT_MS, Math.min(route.targetLatencyMs * ATTEMPT_OBJECTIVE_SHARE, statementMs * ATTEMPT_STATEMENTS));
}

/** Whether a read that failed during execution may be retried on another database. */
export function isRetryableRead({running, needsPrimary}: AttemptContext, {outcome}: UpstreamResponse): boolean {
	return outcome.kind === 'error' && (outcome.code === 'failed' || outcome.code === 'timeout')
		&& running.access === 'read' && running.attempts < 3 && !needsPrimary;
}

/**
 * Checks whether a statement may be tried, or tried again.
 *
 * @throws RefusedError when its caller has left, its deadline has passed, or it has been tried often enough
 */
export function checkRetryAllowed({services, running, signal}: AttemptContext): void {
	if (signal.aborted || running.attempts >= MAX_ATTEMPTS || services.clock.readNow() >= running.deadline) {
		const retryAfterMs = computeSpreadRetry(BUSY_RETRY_AFTER_MS, services.random);
		throw createRefusedError(signal.aborted ? createRefusal('busy', 'the session or its host ends', retryAfterMs) : createNotRunRefusal(running, retryAfterMs));
	}
}

/**
 * Checks that a failed attempt may succeed elsewhere or later.
 *
 * @throws RefusedError when a name or value cannot be sent to any database
 */
export function checkSendable(failure: string): void {
	if (failure === 'unsendable') {
		throw createRefusedError(createRefusal('malformed', 'a name or value of the statement, its session or its team cannot be sent to databases'));
	}
}

/** Creates the refusal of a statement that had no effect: it was not run, or it was a read whose results are discarded. */
function createNotRunRefusal({lastFailureReason}: RunningStatement, retryAfterMs: number): Refusal {
	return createRefusal('busy', `no database responded in time; last failure: ${lastFailureReason || 'busy'}`, retryAfterMs);
}

/** Spreads a retry time by half in both directions, so that clients that are refused together do not return together. */
export function computeSpreadRetry(meanMs: number, random: () => number): number {
	return Math.round(meanMs * (0.5 + random()));
}

/** Waits before the next attempt; a replica that lags is replaced by another one at once. */
export async function waitBeforeRetry(services: SessionServices, {deadline, attempts, lastFailureReason}: RunningStatement, signal: AbortSignal): Promise<void> {
	if (lastFailureReason === 'lagging') {
		return;
	}

	const maxDelay = Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * (2 ** attempts));
	const delay = MIN_RETRY_DELAY_MS + (services.random() * (maxDelay - MIN_RETRY_DELAY_MS));
	await waitUntil(services.clock, Math.min(deadline, services.clock.readNow() + delay), signal);
}
