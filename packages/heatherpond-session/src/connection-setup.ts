/** Brings a connection to the session values and prepared statements that a caller's session expects. */
import type {PooledConnection} from './pooled-loan.js';
import type {StatementAccess} from './statement.js';
import type {UpstreamCommand} from './upstream-connection.js';

/** A statement that a caller has prepared. */
export type PreparedStatement = {readonly access: StatementAccess; readonly shape: string};

/** Names a prepared statement upstream after its shape, so that sessions share it. */
export function formatUpstreamName({access, shape}: PreparedStatement): string {
	return `${access === 'read' ? 'r' : 'w'}${shape}`;
}

/** What a session expects of a connection. */
export type SessionNeeds = {
	readonly variables: ReadonlyMap<string, string>;
	/** The prepared statement that is about to be executed. */
	readonly statement?: PreparedStatement;
	/** Whether the connection has to prove that it still works, because what follows cannot be sent twice. */
	readonly isChecked?: boolean;
};

/** Collects the commands that bring a connection to what a session expects. */
export function collectSetup(connection: PooledConnection, needs: SessionNeeds): readonly UpstreamCommand[] {
	const mustReset = needs.isChecked === true || [...connection.variables.keys()].some(name => !needs.variables.has(name));
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

/** Records commands that the database has accepted. */
export function applySetup(connection: PooledConnection, commands: readonly UpstreamCommand[]): void {
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

/** Decides whether a connection needs no setup for a session's values. */
export function hasSameVariables(connection: PooledConnection, variables: ReadonlyMap<string, string>): boolean {
	return connection.variables.size === variables.size && [...variables].every(([name, value]) => connection.variables.get(name) === value);
}
