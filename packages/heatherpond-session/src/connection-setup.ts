/** Synchronizes session variables and prepared statements of a pooled connection with those of the client session that uses it. */
import type {StepCommand} from './connection-handle.js';
import type {PooledConnection} from './pooled-handle.js';
import {createUpstreamError} from './session-error.js';
import type {StatementAccess} from './statement.js';
import {isNotRun, type UpstreamCommand, type UpstreamResponse} from './upstream-connection.js';

/** A statement that a client has prepared; `shape` is its text with placeholders for the arguments. */
export type PreparedStatement = {readonly access: StatementAccess; readonly shape: string};

/** Formats what identifies a prepared statement. It holds what a client wrote, so it is never sent as a name. */
export function formatStatementKey({access, shape}: PreparedStatement): string {
	return `${access} ${shape}`;
}

/** State that a connection must have before a session's statement is sent on it. */
export type RequiredConnectionState = {
	/** Session variables; the connection must have exactly these. */
	readonly variables: ReadonlyMap<string, string>;
	/** Prepared statement that is about to be executed. */
	readonly statement?: PreparedStatement;
	/** Whether to reset the connection in any case, to verify that it is alive before sending a command that cannot be retried. */
	readonly needsLivenessCheck?: boolean;
	/** Whether a transaction is open, in which a reset has to wait. */
	readonly isInTransaction?: boolean;
};

/** Number of statements that are prepared on a connection before it is reset. */
const MAX_CONNECTION_STATEMENTS = 100;
/** Length of the statements that are prepared on a connection before it is reset, in characters. */
const MAX_CONNECTION_STATEMENT_LENGTH = 16_384;

/** Collects the commands that bring a connection into the required state; empty when it is in that state. */
export function collectSetupCommands(connection: PooledConnection, needs: RequiredConnectionState): readonly UpstreamCommand[] {
	const mustReset = isResetRequired(connection, needs);
	const missing = [...needs.variables].filter(([name, value]) => mustReset || connection.variables.get(name) !== value);
	const {statement} = needs;
	const mustPrepare = statement !== undefined && (mustReset || !connection.statements.has(formatStatementKey(statement)));
	return [
		...(mustReset ? [{kind: 'reset'} as const] : []),
		...missing.map(([variable, value]) => ({kind: 'set', name: variable, value}) as const),
		...(mustPrepare
			? [{
				kind: 'prepare', name: formatNextName(connection), access: statement.access, shape: statement.shape,
			} as const]
			: []),
	];
}

function isResetRequired(connection: PooledConnection, needs: RequiredConnectionState): boolean {
	const hasForeignVariable = [...connection.variables.keys()].some(name => !needs.variables.has(name));
	return [needs.needsLivenessCheck === true, !connection.isSetupKnown, hasForeignVariable, hasTooManyStatements(connection, needs)].includes(true);
}

/** Whether a statement has to be prepared on a connection that has no room for another one. */
function hasTooManyStatements({statements, statementLength}: PooledConnection, {statement, isInTransaction = false}: RequiredConnectionState): boolean {
	if (!statement || isInTransaction || statements.size === 0 || statements.has(formatStatementKey(statement))) {
		return false;
	}

	return statements.size >= MAX_CONNECTION_STATEMENTS || statementLength + statement.shape.length > MAX_CONNECTION_STATEMENT_LENGTH;
}

/** Formats the name for the next statement prepared on a connection. It is unique there and holds nothing that a client chose. */
function formatNextName({preparedCount}: PooledConnection): string {
	return `p${preparedCount + 1}`;
}

/** Records that setup commands are about to be sent: a name that was sent once may be in use, whatever becomes of its command. */
export function recordSentCommands(connection: PooledConnection, commands: readonly UpstreamCommand[]): void {
	connection.preparedCount += commands.filter(({kind}) => kind === 'prepare').length;
}

/**
 * Creates the command of a step as the database gets it.
 *
 * @throws UpstreamError when it executes a statement that the step does not name, as a host of another version may send it
 */
export function createConnectionCommand(connection: PooledConnection, command: StepCommand, statement: PreparedStatement | undefined): UpstreamCommand {
	if (command.kind === 'forward') {
		return command;
	}

	const name = statement && connection.statements.get(formatStatementKey(statement));
	if (name === undefined) {
		throw createUpstreamError(`request ${command.id} executes a statement that its connection does not have`, 'unsendable', false);
	}

	return {...command, name};
}

/** Updates the recorded state of a connection with the responses to commands, in order. */
export function applySetupResponses(connection: PooledConnection, commands: readonly UpstreamCommand[], responses: readonly UpstreamResponse[]): void {
	commands.forEach((command, index) => {
		const {outcome} = responses[index]!;
		if (outcome.kind === 'complete') {
			applyCompletedCommand(connection, command);
		} else if (hasRecordedEffect(command) && !isNotRun(outcome.code)) {
			connection.isSetupKnown = false;
		}
	});
}

/** Whether a command changes what is recorded of a connection even if it was answered with an error; a name that may be taken is not sent again. */
function hasRecordedEffect({kind}: UpstreamCommand): boolean {
	return kind === 'set' || kind === 'reset';
}

function applyCompletedCommand(connection: PooledConnection, command: UpstreamCommand): void {
	switch (command.kind) {
		case 'reset': {
			connection.variables.clear();
			connection.statements.clear();
			connection.statementLength = 0;
			connection.isSetupKnown = true;
			break;
		}

		case 'set': {
			connection.variables.set(command.name, command.value);
			break;
		}

		case 'prepare': {
			connection.statements.set(formatStatementKey(command), command.name);
			connection.statementLength += command.shape.length;
			break;
		}

		default: {
			break;
		}
	}
}

/** Whether a connection has exactly the given session variables. */
export function hasSameVariables(connection: PooledConnection, variables: ReadonlyMap<string, string>): boolean {
	return connection.variables.size === variables.size && [...variables].every(([name, value]) => connection.variables.get(name) === value);
}
