/**
 * Statements that a client has sent before it learned that its transaction has ended. They belong to that transaction, so they
 * must not run outside of it.
 */
import type {Instant} from 'heatherpond-core';
import type {SessionState} from './session-state.js';
import type {Statement} from './statement.js';

/** Whether a statement begins or ends a transaction on the client's behalf. */
function isBoundary({action}: Statement): boolean {
	return action.kind === 'begin' || action.kind === 'commit' || action.kind === 'rollback';
}

/**
 * Decides whether a statement belongs to a transaction that has ended without its client. The client ends that transaction too, or
 * begins the next one; what it sends later belongs to no transaction.
 */
export function isSentTooEarly(state: SessionState, statement: Statement, arrivedAt: Instant): boolean {
	const wasSentBefore = state.endedAt !== undefined && arrivedAt <= state.endedAt;
	if (!wasSentBefore || isBoundary(statement)) {
		state.endedAt = undefined;
	}

	return wasSentBefore && (!isBoundary(statement) || statement.action.kind === 'commit');
}

/** Records the end of a transaction that its client has not asked for, once the reply that tells it is known. */
export function recordUnaskedEnd(state: SessionState, statement: Statement, {wasOpen, now}: {readonly wasOpen: boolean; readonly now: Instant}): void {
	const isUnasked = statement.action.kind !== 'commit' && statement.action.kind !== 'rollback';
	if (isUnasked && (wasOpen || statement.action.kind === 'begin') && state.phase.kind === 'idle') {
		state.endedAt = now;
	}
}
