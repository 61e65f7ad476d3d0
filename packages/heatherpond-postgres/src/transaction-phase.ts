/** Transaction state of a session, as a reducer: decides the status reported to the client, and whether a connection is held. */
import {fromTransition} from 'xstate';
import type {TransactionStatus} from 'heatherpond-wire';

/** Transaction state of a session between two requests. */
export type TransactionPhase
	/** No connection is held. */
	= | {readonly kind: 'none'}
	/** A connection is held for a transaction, or for the messages between Flush and Sync. */
		| {readonly kind: 'open'; readonly status: TransactionStatus}
	/** The connection was lost and the client has not ended the transaction yet. */
		| {readonly kind: 'lost'};

/** Event that changes the transaction state. */
export type TransactionEvent
	/** The database has responded; `status` is absent after a Flush. */
	= | {readonly type: 'answered'; readonly status?: TransactionStatus}
	/** The connection was destroyed. */
		| {readonly type: 'connectionLost'; readonly mayHaveCommitted: boolean}
	/** The proxy refused a request without sending it to the database. */
		| {readonly type: 'refused'}
	/** The client has ended a transaction whose connection was lost. */
		| {readonly type: 'ended'};

export const NO_TRANSACTION: TransactionPhase = {kind: 'none'};

/**
 * Applies an event. A transaction whose connection was lost is reported as failed until the client ends it; one that may
 * have committed has ended.
 */
export function applyTransactionEvent(phase: TransactionPhase, event: TransactionEvent): TransactionPhase {
	switch (event.type) {
		case 'answered': {
			return event.status === 'I' ? NO_TRANSACTION : {kind: 'open', status: event.status ?? readTransactionStatus(phase)};
		}

		case 'connectionLost': {
			return phase.kind === 'open' && !event.mayHaveCommitted ? {kind: 'lost'} : NO_TRANSACTION;
		}

		case 'refused': {
			return phase.kind === 'open' ? {kind: 'lost'} : phase;
		}

		case 'ended': {
			return NO_TRANSACTION;
		}
	}
}

/** Returns the transaction status that is reported to the client. */
export function readTransactionStatus(phase: TransactionPhase): TransactionStatus {
	switch (phase.kind) {
		case 'none': {
			return 'I';
		}

		case 'open': {
			return phase.status;
		}

		case 'lost': {
			return 'E';
		}
	}
}

/** The reducer as XState actor logic, for inspection and model exploration. */
export const transactionActorLogic = fromTransition(applyTransactionEvent, NO_TRANSACTION);
