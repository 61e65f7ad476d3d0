/**
 * Statements that a client has sent before it learned that its transaction has ended. They belong to that transaction, so they
 * must not run outside of it.
 */
import type {Instant} from 'heatherpond-core';
import type {SessionState} from './session-state.js';
import type {Statement} from './statement.js';

function isSentBeforeEnd({endedAt}: SessionState, arrivedAt: Instant): boolean {
	return endedAt !== undefined && arrivedAt <= endedAt;
}

/** Whether a statement belongs to a transaction that has ended without its client; BEGIN starts the next one, and ROLLBACK has no effect. */
export function isOrphaned(state: SessionState, {action}: Statement, arrivedAt: Instant): boolean {
	return isSentBeforeEnd(state, arrivedAt) && action.kind !== 'begin' && action.kind !== 'rollback';
}

/** Removes the record of an unasked end once the client has ended that transaction too, has begun the next one, or knows of the end. */
export function removeKnownEnd(state: SessionState, {action}: Statement, arrivedAt: Instant): void {
	const isBoundary = action.kind === 'begin' || action.kind === 'commit' || action.kind === 'rollback';
	if (isBoundary || !isSentBeforeEnd(state, arrivedAt)) {
		state.endedAt = undefined;
	}
}

/** Records the end of a transaction that its client has not asked for, once the reply that tells it is known. */
export function recordUnaskedEnd(state: SessionState, statement: Statement, {wasOpen, now}: {readonly wasOpen: boolean; readonly now: Instant}): void {
	const isUnasked = statement.action.kind !== 'commit' && statement.action.kind !== 'rollback';
	if (isUnasked && (wasOpen || statement.action.kind === 'begin') && state.phase.kind === 'idle') {
		state.endedAt = now;
	}
}
