/** State of one caller's session, and how statements that no database sees change it. */
import type {Instant, LogPoint} from 'heatherpond-core';
import type {PreparedStatement} from './connection-setup.js';
import type {Loan} from './loan.js';
import {createRefusal, type Refusal} from './refusal.js';
import type {Primary} from './session-services.js';
import type {Statement, StatementAccess, TransactionState} from './statement.js';

/** A transaction that runs on a database. */
export type OpenTransaction = {
	readonly loan: Loan;
	readonly database: string;
	/** Set when it runs on the primary. */
	readonly primary?: Primary;
	readonly endWork: () => void;
	hasWritten: boolean;
};

/** Where the session stands. */
export type SessionPhase
	= | {readonly kind: 'idle'}
	/** BEGIN was answered; no database has seen it yet. */
		| {readonly kind: 'begun'; readonly isReadOnly: boolean; readonly arrivedAt: Instant}
		| {readonly kind: 'open'; readonly isReadOnly: boolean; readonly transaction: OpenTransaction}
	/** The transaction was rolled back; its end is still to come. */
		| {readonly kind: 'failed'};

/** State of a session. */
export type SessionState = {
	phase: SessionPhase;
	readonly variables: Map<string, string>;
	readonly statements: Map<string, PreparedStatement>;
	/** Newest commit of the session. */
	ownPoint?: LogPoint;
};

/** Creates the state of a new session. */
export function createSessionState(): SessionState {
	return {phase: {kind: 'idle'}, variables: new Map(), statements: new Map()};
}

const STATES: Readonly<Record<SessionPhase['kind'], TransactionState>> = {
	idle: 'idle', begun: 'open', open: 'open', failed: 'failed',
};

/** Reads the transaction state that is reported to the caller. */
export function readTransactionState({phase}: SessionState): TransactionState {
	return STATES[phase.kind];
}

/** What a statement means to a session. */
export type StatementPlan
	/** The session has answered it; its state has changed. */
	= | {readonly kind: 'done'}
		| {readonly kind: 'refused'; readonly refusal: Refusal}
	/** A database has to run it. */
		| {readonly kind: 'data'; readonly access: StatementAccess; readonly prepared?: PreparedStatement; readonly arguments?: string}
		| {readonly kind: 'commit'}
		| {readonly kind: 'rollback'}
	/** It is answered here, and the transaction's connection must follow. */
		| {readonly kind: 'variable'; readonly name: string; readonly value: string};

/** Decides what a statement means, and applies those that concern the session alone. */
export function applyStatement(state: SessionState, {action}: Statement, now: Instant): StatementPlan {
	if (state.phase.kind === 'failed') {
		return applyToFailed(state, action.kind);
	}

	switch (action.kind) {
		case 'begin': {
			return applyBegin(state, action.isReadOnly, now);
		}

		case 'commit': {
			return state.phase.kind === 'idle' ? refuseMalformed('there is no transaction') : {kind: 'commit'};
		}

		case 'rollback': {
			return {kind: 'rollback'};
		}

		case 'data': {
			return {kind: 'data', access: action.access};
		}

		case 'execute': {
			const prepared = state.statements.get(action.name);
			return prepared
				? {
					kind: 'data', access: prepared.access, prepared, arguments: action.arguments,
				}
				: {kind: 'refused', refusal: createRefusal('unknown_statement', 'no statement of that name is prepared')};
		}

		case 'set': {
			state.variables.set(action.name, action.value);
			return {kind: 'variable', name: action.name, value: action.value};
		}

		case 'prepare': {
			state.statements.set(action.name, {access: action.access, shape: action.shape});
			return {kind: 'done'};
		}

		case 'deallocate': {
			state.statements.delete(action.name);
			return {kind: 'done'};
		}

		case 'unreadable': {
			return refuseMalformed('the statement cannot be read');
		}
	}
}

function refuseMalformed(reason: string): StatementPlan {
	return {kind: 'refused', refusal: createRefusal('malformed', reason)};
}

function applyBegin(state: SessionState, isReadOnly: boolean, now: Instant): StatementPlan {
	if (state.phase.kind !== 'idle') {
		return refuseMalformed('a transaction is open');
	}

	state.phase = {kind: 'begun', isReadOnly, arrivedAt: now};
	return {kind: 'done'};
}

/** A failed transaction takes nothing but its end; a commit is told that nothing was kept. */
function applyToFailed(state: SessionState, kind: Statement['action']['kind']): StatementPlan {
	if (kind !== 'commit' && kind !== 'rollback') {
		return refuseMalformed('the transaction has failed; end it first');
	}

	state.phase = {kind: 'idle'};
	return kind === 'rollback' ? {kind: 'done'} : {kind: 'refused', refusal: createRefusal('aborted', 'the transaction was rolled back')};
}
