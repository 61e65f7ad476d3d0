/**
 * The prepared statements of an upstream connection, which all sessions that use it share. The connection numbers them;
 * nothing that a client wrote is part of a name, and a number is not used again. A statement is the same if its content
 * is and if it was prepared under the same session variables, since PostgreSQL reads some literals, such as dates, when
 * it prepares a statement.
 */
import type {PreparedStatement} from './prepared-statements.js';

/** A name that was assigned to a statement. */
export type NameAssignment = {
	readonly name: string;
	/** Withdraws the name; called if the statement was not prepared. */
	readonly revert: () => void;
};

/** Prepared statements and session variables of a connection, as the database holds them. */
export type ConnectionStatements = {
	/** Identity of the current unnamed statement. */
	unnamed: unknown;
	/** Finds the name under which a statement is prepared; `undefined` if it is not. */
	readonly findName: (statement: PreparedStatement) => string | undefined;
	/** Assigns a new name to a statement that is being prepared. */
	readonly insertName: (statement: PreparedStatement) => NameAssignment;
	/** Removes the oldest names above a maximum, and returns them. */
	readonly removeOldest: (maxCount: number) => readonly string[];
	readonly countNames: () => number;
	/** Returns the SQL text that set the session variables; `undefined` when their state is unknown. */
	readonly readVariables: () => string | undefined;
	/** Records the SQL text that set the session variables; `undefined` while their state is unknown. */
	readonly updateVariables: (variables: string | undefined) => void;
	/** Records that variables may have been set for the rest of the transaction. */
	readonly startLocalVariables: () => void;
	/** Records that no transaction is open. */
	readonly endLocalVariables: () => void;
};

/** Creates the state of a new connection. */
export function createConnectionStatements(): ConnectionStatements {
	const names = new Map<string, string>();
	let statementCount = 0;
	let stateCount = 0;
	let variables: string | undefined = '';
	/** State of the variables that is not known by its text; no two of them are the same. */
	let unknownState: string | undefined;

	function formatKey({contentHash}: PreparedStatement): string {
		return `${contentHash} ${unknownState ?? `set ${variables}`}`;
	}

	function startUnknownState(): void {
		stateCount++;
		unknownState = `unknown ${stateCount}`;
	}

	return {
		unnamed: undefined,
		findName: statement => names.get(formatKey(statement)),
		insertName(statement) {
			const key = formatKey(statement);
			const previous = names.get(key);
			statementCount++;
			const name = `hp_${statementCount}`;
			names.set(key, name);
			return {
				name, revert() {
					if (previous === undefined) {
						names.delete(key);
					} else {
						names.set(key, previous);
					}
				},
			};
		},
		removeOldest(maxCount) {
			const oldest = [...names].slice(0, Math.max(0, names.size - maxCount));
			return oldest.map(([key, name]) => {
				names.delete(key);
				return name;
			});
		},
		countNames: () => names.size,
		readVariables: () => variables,
		updateVariables(text) {
			variables = text;
			unknownState = undefined;
			if (text === undefined) {
				startUnknownState();
			}
		},
		startLocalVariables: startUnknownState,
		endLocalVariables() {
			unknownState = variables === undefined ? unknownState : undefined;
		},
	};
}
