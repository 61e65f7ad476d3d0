/**
 * Handle of a connection that belongs to a pool of this process. This is the one place that decides whether a connection may
 * change hands: only after the database itself has reported that no transaction is open on it.
 */
import type {Clock, Deadline, Instant} from 'heatherpond-core';
import {
	applySetupResponses, collectSetupCommands, createConnectionCommand, recordSentCommands, type PreparedStatement,
} from './connection-setup.js';
import type {ConnectionHandle, StepResult, ConnectionStep} from './connection-handle.js';
import {createUpstreamError, UpstreamError} from './session-error.js';
import type {WriteEvent} from './session-services.js';
import type {TransactionState} from './statement.js';
import type {UpstreamResponse, UpstreamCommand, UpstreamConnection} from './upstream-connection.js';

/** A pooled connection with the session variables and prepared statements known to exist on it. */
export type PooledConnection = {
	readonly upstream: UpstreamConnection;
	readonly variables: Map<string, string>;
	/** Names of the prepared statements, by `formatStatementKey`. */
	readonly statements: Map<string, string>;
	/** Length of the shapes of the prepared statements, in characters. */
	statementLength: number;
	/** Whether variables and statements are as recorded here; if not, the connection is reset before its next use. */
	isSetupKnown: boolean;
	/** Number of statements that have been prepared on the connection, or may have been. */
	preparedCount: number;
	/** When the connection last became idle. */
	idleSince: Instant;
};

/** Options of a handle. */
export type PooledHandleOptions = {
	readonly clock: Clock;
	readonly connection: PooledConnection;
	/** Called once when the use of the connection has ended, before the connection is returned or closed. */
	readonly handleEnd: () => void;
	/** Returns a clean connection to the pool. */
	readonly handleRelease: (connection: PooledConnection) => void;
	readonly writeEvent: WriteEvent;
};

/** Response timeout, in milliseconds, of setup commands, which cost the database next to nothing. */
const SETUP_TIMEOUT_MS = 300;
/** Response timeout, in milliseconds, of the rollback of a transaction that its owner has left open. */
const ROLLBACK_TIMEOUT_MS = 350;
/** Idle time, in milliseconds, after which a connection is checked before a command that cannot be retried: it may have failed unnoticed. */
const LIVENESS_CHECK_IDLE_MS = 500;

/** The connection may already serve another client, so nothing is sent on behalf of an owner that has released it. */
export function createReleasedError(): Error {
	return createUpstreamError('the connection has been released', 'closed', false);
}

/** Creates the handle of a connection that has been taken out of the pool, where every connection is idle. */
export function createPooledHandle({clock, connection, handleEnd, handleRelease, writeEvent}: PooledHandleOptions): ConnectionHandle {
	const {upstream} = connection;
	let isReleased = false;
	/** What the database reported last; unknown while a response is outstanding, and after one was lost. */
	let state: TransactionState | 'unknown' = 'idle';

	async function exchange(commands: readonly UpstreamCommand[], deadline: Deadline): Promise<readonly UpstreamResponse[]> {
		const before = state;
		state = 'unknown';
		try {
			const answers = await upstream.exchange(commands, deadline);
			state = answers.at(-1)?.state ?? before;
			return answers;
		} catch (error) {
			state = error instanceof UpstreamError && (error.failure === 'expired' || error.failure === 'unsendable') ? before : 'unknown';
			throw error;
		}
	}

	/** Checks that the owner may still send: after the release, its commands could reach the next owner's transaction. */
	function checkInUse(): void {
		if (isReleased || state === 'unknown') {
			throw createReleasedError();
		}
	}

	/** Runs the setup commands of a step and opens its transaction; returns the first error response, if any. */
	async function runSetup(step: ConnectionStep): Promise<UpstreamResponse | undefined> {
		const commands = collectStepCommands(connection, step, {now: clock.readNow(), isInTransaction: state !== 'idle'});
		if (commands.length === 0) {
			return undefined;
		}

		checkInUse();
		recordSentCommands(connection, commands);
		const answers = await exchange(commands, Math.min(step.deadline, clock.readNow() + SETUP_TIMEOUT_MS)).catch((error: unknown) => {
			throw createUnsentError(error);
		});
		applySetupResponses(connection, commands, answers);
		return answers.find(({outcome}) => outcome.kind === 'error');
	}

	/** Records that the database lacks a statement that was prepared on this connection. */
	function recordUnknownStatement(command: UpstreamCommand, statement: PreparedStatement | undefined, {outcome}: UpstreamResponse): void {
		if (command.kind === 'execute' && outcome.kind === 'error' && outcome.code === 'unknown_statement') {
			connection.isSetupKnown = false;
			writeEvent('prepared_statement_unknown', {
				database: upstream.database, request: command.id, name: command.name, access: statement?.access, shape: statement?.shape,
			});
		}
	}

	function stopUse(isClean: boolean): void {
		handleEnd();
		if (isClean) {
			handleRelease(connection);
		} else {
			upstream.destroy();
		}
	}

	/** Rolls back what the owner has left open; resolves to whether the connection is idle then. */
	async function endTransaction(): Promise<boolean> {
		try {
			await exchange([{kind: 'rollback'}], clock.readNow() + ROLLBACK_TIMEOUT_MS);
		} catch (error) {
			writeEvent('rollback_lost', {database: upstream.database, reason: String(error)});
		}

		return state === 'idle';
	}

	return {
		database: upstream.database,
		team: upstream.team,
		async run(step) {
			const refused = await runSetup(step);
			if (refused) {
				return {kind: 'refused', answer: refused};
			}

			if (!step.command) {
				return {kind: 'prepared'};
			}

			checkInUse();
			const sentAt = clock.readNow();
			const command = createConnectionCommand(connection, step.command, step.needs?.statement);
			const [answer] = await exchange([command], step.deadline);
			recordUnknownStatement(command, step.needs?.statement, answer!);
			return {kind: 'answered', answer: answer!, timing: {ranMs: clock.readNow() - sentAt}} satisfies StepResult;
		},
		release() {
			if (isReleased) {
				return;
			}

			isReleased = true;
			if (state === 'idle' || state === 'unknown' || !upstream.isOpen()) {
				stopUse(state === 'idle');
			} else {
				void endTransaction().then(stopUse);
			}
		},
	};
}

function collectStepCommands(connection: PooledConnection, {needs, begin, isSentOnce}: ConnectionStep, {now, isInTransaction}: {readonly now: Instant; readonly isInTransaction: boolean}): readonly UpstreamCommand[] {
	const needsLivenessCheck = isSentOnce && now - connection.idleSince > LIVENESS_CHECK_IDLE_MS;
	return [
		...(needs ? collectSetupCommands(connection, {...needs, needsLivenessCheck, isInTransaction}) : []),
		...(begin ? [{kind: 'begin', ...begin} as const] : []),
	];
}

/** Converts the error of setup commands: the command of the step has not been sent yet. */
function createUnsentError(error: unknown): unknown {
	return error instanceof UpstreamError ? createUpstreamError(error.message, error.failure, false) : error;
}
