/** The database side of a connection: it reads commands from lines, and keeps variables and prepared statements until it is reset. */
import type {PreparedStatement, UpstreamCommand} from 'heatherpond-session';

/** What a database keeps for a connection. */
export type DatabaseSession = {
	readonly variables: Readonly<Record<string, string>>;
	/** Access and shape of the prepared statements, by name. */
	readonly statements: Readonly<Record<string, string>>;
};

/** What becomes of a command that is prepared under a name in use: databases may do either, and the proxy relies on neither. */
export type NameCollision = 'replaces' | 'keeps';

/** A new connection. */
export const EMPTY_DATABASE_SESSION: DatabaseSession = {variables: {}, statements: {}};

/** Formats a command as the line that a database reads. */
export function formatSetupLine(command: UpstreamCommand): string {
	switch (command.kind) {
		case 'set': {
			return `set ${command.name} ${command.value}`;
		}

		case 'prepare': {
			return `prepare ${command.name} ${formatStatement(command)}`;
		}

		case 'execute': {
			return `execute ${command.name} ${command.arguments}`;
		}

		default: {
			return command.kind;
		}
	}
}

/** Formats a statement as databases keep it. */
export function formatStatement({access, shape}: PreparedStatement): string {
	return `${access} ${shape}`;
}

/** Splits a line into a word, a name and what follows the name. */
export function parseSetupLine(line: string): {readonly word: string; readonly name: string; readonly rest: string} {
	const [word = '', name = '', ...rest] = line.split(' ');
	return {word, name, rest: rest.join(' ')};
}

/** Applies the line of a setup command that takes effect. */
export function applySetupLine({variables, statements}: DatabaseSession, line: string, collision: NameCollision): DatabaseSession {
	const {word, name, rest} = parseSetupLine(line);
	switch (word) {
		case 'set': {
			return {variables: {...variables, [name]: rest}, statements};
		}

		case 'prepare': {
			const isKept = collision === 'keeps' && name in statements;
			return {variables, statements: isKept ? statements : {...statements, [name]: rest}};
		}

		case 'reset': {
			return EMPTY_DATABASE_SESSION;
		}

		default: {
			return {variables, statements};
		}
	}
}
