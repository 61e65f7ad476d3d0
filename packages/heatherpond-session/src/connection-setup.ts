/** Synchronizes session variables and prepared statements of a pooled connection with those of the client session that uses it. */
import type {PooledConnection} from './pooled-handle.js';
import type {StatementAccess} from './statement.js';
import type {UpstreamCommand} from './upstream-connection.js';

/** A statement that a client has prepared; `shape` is its text with placeholders for the arguments. */
export type PreparedStatement = {readonly access: StatementAccess; readonly shape: string};

/** Derives the name of a prepared statement upstream from its access and shape, so that all sessions share it. */
export function formatUpstreamName({access, shape}: PreparedStatement): string {
	return `${access === 'read' ? 'r' : 'w'}${shape}`;
}

/** State that a connection must have before a session's statement is sent on it. */
export type RequiredConnectionState = {
	/** Session variables; the connection must have exactly these. */
	readonly variables: ReadonlyMap<string, string>;
	/** Prepared statement that is about to be executed. */
	readonly statement?: PreparedStatement;
	/** Whether to reset the connection in any case, to verify that it is alive before sending a command that cannot be retried. */
	readonly needsLivenessCheck?: boolean;
};

/** Collects the commands that bring a connection into the required state; empty when it is in that state. */
export function collectSetupCommands(connection: PooledConnection, needs: RequiredConnectionState): readonly UpstreamCommand[] {
	const mustReset = needs.needsLivenessCheck === true || [...connection.variables.keys()].some(name => !needs.variables.has(name));
	const missing = [...needs.variables].filter(([name, value]) => mustReset || connection.variables.get(name) !== value);
	const {statement} = needs;
	const name = statement ? formatUpstreamName(statement) : undefined;
	const mustPrepare = name !== undefined && (mustReset || !connection.statements.has(name));
	return [
		...(mustReset ? [{kind: 'reset'} as const] : []),
		...missing.map(([variable, value]) => ({kind: 'set', name: variable, value}) as const),
		...(mustPrepare
			? [{
				kind: 'prepare', name, access: statement!.access, shape: statement!.shape,
			} as const]
			: []),
	];
}

/** Updates the recorded state of a connection with commands that the database has completed. */
export function applySetupCommands(connection: PooledConnection, commands: readonly UpstreamCommand[]): void {
	commands.forEach(command => {
		switch (command.kind) {
			case 'reset': {
				connection.variables.clear();
				connection.statements.clear();
				break;
			}

			case 'set': {
				connection.variables.set(command.name, command.value);
				break;
			}

			case 'prepare': {
				connection.statements.add(command.name);
				break;
			}

			default: {
				break;
			}
		}
	});
}

/** Whether a connection has exactly the given session variables. */
export function hasSameVariables(connection: PooledConnection, variables: ReadonlyMap<string, string>): boolean {
	return connection.variables.size === variables.size && [...variables].every(([name, value]) => connection.variables.get(name) === value);
}
