/** State of a client session, and the statements that the session handles without a database. */
import type {Instant, LogPosition} from 'heatherpond-core';
import type {PreparedStatement} from './connection-setup.js';
import type {ConnectionHandle} from './connection-handle.js';
import {createConnectionMemory, type ConnectionMemory, type MessageMemory} from './message-memory.js';
import {createRefusal, type Refusal} from './refusal.js';
import type {Primary} from './session-services.js';
import type {Statement, StatementAccess, TransactionState} from './statement.js';

/** A transaction that has been opened on a database. */
export type OpenTransaction = {
	readonly loan: ConnectionHandle;
	readonly database: string;
	/** The primary and its term, when the transaction runs on it as the primary. */
	readonly primary?: Primary;
	/** Ends the registration of the transaction as in flight on the primary. */
	readonly endWork: () => void;
	/** Whether a write has been run, so that the outcome of a lost commit matters. */
	hasWritten: boolean;
};

/** Transaction phase of a session. The lifetime of a transaction is aborted when it is rolled back, which ends everything that waits on its behalf. */
export type SessionPhase
	= | {readonly kind: 'idle'}
	/** BEGIN has been acknowledged; the transaction is opened on a database with its first statement. */
		| {readonly kind: 'begun'; readonly isReadOnly: boolean; readonly arrivedAt: Instant; readonly lifetime: AbortController}
	/** The transaction is open on a database. */
		| {readonly kind: 'open'; readonly isReadOnly: boolean; readonly transaction: OpenTransaction; readonly lifetime: AbortController}
	/** The transaction has been rolled back; the client has not ended it yet. */
		| {readonly kind: 'failed'};

/** State of a session. */
export type SessionState = {
	phase: SessionPhase;
	readonly variables: Map<string, string>;
	readonly statements: Map<string, PreparedStatement>;
	/** Room for the variables and statements. */
	readonly room: ConnectionMemory;
	/** Length of the variables and statements, with their names. */
	heldLength: number;
	/** Connection that the statement in progress uses, so that it can be ended from outside. */
	loanInUse?: ConnectionHandle;
	/** Whether the COMMIT of the open transaction is under way. */
	isCommitting: boolean;
	/** When a transaction ended without its client; absent once the client has been seen to know. */
	endedAt?: Instant;
	/** Log position of the session's newest commit. */
	lastCommitPosition?: LogPosition;
};

export function createSessionState(memory: MessageMemory): SessionState {
	return {
		phase: {kind: 'idle'}, variables: new Map(), statements: new Map(), room: createConnectionMemory(memory), heldLength: 0, isCommitting: false,
	};
}

const TRANSACTION_STATES: Readonly<Record<SessionPhase['kind'], TransactionState>> = {
	idle: 'idle', begun: 'open', open: 'open', failed: 'failed',
};

/** Reads the transaction state to report to the client. */
export function readTransactionState({phase}: SessionState): TransactionState {
	return TRANSACTION_STATES[phase.kind];
}

/** How a session handles a statement. */
export type StatementPlan
	/** The session has handled the statement and updated its state. */
	= | {readonly kind: 'done'}
		| {readonly kind: 'refused'; readonly refusal: Refusal}
	/** The host had no memory for the statement; an open transaction ends with it. */
		| {readonly kind: 'dropped'}
	/** The statement has to run on a database. */
		| {readonly kind: 'data'; readonly access: StatementAccess; readonly prepared?: PreparedStatement; readonly arguments?: string}
		| {readonly kind: 'commit'}
		| {readonly kind: 'rollback'}
	/** The session variable has been updated, and has to be set on the connection of an open transaction as well. */
		| {readonly kind: 'variable'; readonly name: string; readonly previous?: string};

/** Decides how to handle a statement, and updates the session state if no database is needed. */
export function applyStatement(state: SessionState, {action}: Statement, now: Instant): StatementPlan {
	if (state.phase.kind === 'failed') {
		return applyInFailedTransaction(state, action.kind);
	}

	switch (action.kind) {
		case 'begin': {
			return applyBegin(state, action.isReadOnly, now);
		}

		case 'commit': {
			return state.phase.kind === 'idle' ? refuseMalformed('no transaction is open') : {kind: 'commit'};
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
				: {kind: 'refused', refusal: createRefusal('unknown_statement', 'no prepared statement has this name')};
		}

		case 'set': {
			const held = state.variables.get(action.name);
			if (!reserveRoom(state, countLength(action.name, action.value) - countLength(action.name, held))) {
				return refuseForMemory();
			}

			state.variables.set(action.name, action.value);
			return {kind: 'variable', name: action.name, previous: held};
		}

		case 'prepare': {
			const held = state.statements.get(action.name)?.shape;
			if (!reserveRoom(state, countLength(action.name, action.shape) - countLength(action.name, held))) {
				return refuseForMemory();
			}

			state.statements.set(action.name, {access: action.access, shape: action.shape});
			return {kind: 'done'};
		}

		case 'deallocate': {
			reserveRoom(state, -countLength(action.name, state.statements.get(action.name)?.shape));
			state.statements.delete(action.name);
			return {kind: 'done'};
		}

		case 'dropped': {
			return {kind: 'dropped'};
		}

		case 'unreadable': {
			return refuseMalformed('the statement could not be parsed');
		}
	}
}

/** Gives a variable the value that it had before a statement that was refused. */
export function applyPreviousValue(state: SessionState, {name, previous}: Extract<StatementPlan, {readonly kind: 'variable'}>): void {
	reserveRoom(state, countLength(name, previous) - countLength(name, state.variables.get(name)));
	if (previous === undefined) {
		state.variables.delete(name);
	} else {
		state.variables.set(name, previous);
	}
}

/** Counts the characters of a named text; none when there is no such text. */
function countLength(name: string, text: string | undefined): number {
	return text === undefined ? 0 : name.length + text.length;
}

/** Takes room for so many more characters of variables and statements, or gives it back; returns whether there is any. */
function reserveRoom(state: SessionState, change: number): boolean {
	const hasRoom = state.room.update(state.heldLength + change);
	state.heldLength += hasRoom ? change : 0;
	return hasRoom;
}

function refuseForMemory(): StatementPlan {
	return {kind: 'refused', refusal: createRefusal('busy', 'variables and prepared statements of sessions take up all memory for them')};
}

function refuseMalformed(reason: string): StatementPlan {
	return {kind: 'refused', refusal: createRefusal('malformed', reason)};
}

function applyBegin(state: SessionState, isReadOnly: boolean, now: Instant): StatementPlan {
	if (state.phase.kind !== 'idle') {
		return refuseMalformed('a transaction is already open');
	}

	state.phase = {
		kind: 'begun', isReadOnly, arrivedAt: now, lifetime: new AbortController(),
	};
	return {kind: 'done'};
}

/** Handles a statement in a failed transaction: only commit and rollback are accepted, and a commit is refused as rolled back. */
function applyInFailedTransaction(state: SessionState, kind: Statement['action']['kind']): StatementPlan {
	if (kind !== 'commit' && kind !== 'rollback') {
		return refuseMalformed('the transaction has failed; send ROLLBACK before other statements');
	}

	state.phase = {kind: 'idle'};
	return kind === 'rollback' ? {kind: 'done'} : {kind: 'refused', refusal: createRefusal('aborted', 'the transaction was rolled back')};
}
