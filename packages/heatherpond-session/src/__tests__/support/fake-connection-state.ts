/** What a fake database keeps for each connection: variables, prepared statements and the transaction, read from the lines of commands. */
import type {UpstreamCommand} from '../../index.js';
import type {ScriptedResponse} from './test-services.js';

/** What becomes of a command. */
export type CommandFate = 'completes' | 'isBusy' | 'failsWithEffect' | 'failsWithoutEffect' | 'timesOutWithEffect' | 'isLostWithEffect' | 'isLost' | 'isSilent';

/** A connection as its database sees it. */
export type FakeConnectionState = {
	variables: Map<string, string>;
	/** Access and shape of the prepared statements, by name. */
	statements: Map<string, string>;
	transaction: 'idle' | 'open' | 'failed';
};

export function createConnectionState(): FakeConnectionState {
	return {variables: new Map(), statements: new Map(), transaction: 'idle'};
}

/** Splits a line at its first blank. */
export function parseFirstField(line: string): readonly [string, string] {
	const at = line.indexOf(' ');
	return at === -1 ? [line, ''] : [line.slice(0, at), line.slice(at + 1)];
}

/** Applies a command, and returns the response; a transaction that has failed runs nothing until it is ended. */
export function answerCommand(connection: FakeConnectionState, command: UpstreamCommand, fate: CommandFate): ScriptedResponse {
	const isEnd = command.kind === 'rollback' || (command.kind === 'forward' && command.text === 'COMMIT');
	if (connection.transaction === 'failed' && !isEnd) {
		return {kind: 'error', code: 'malformed', state: 'failed'};
	}

	switch (fate) {
		case 'completes': {
			applyCommand(connection, command);
			connection.transaction = isEnd ? 'idle' : connection.transaction;
			return {kind: 'complete', state: connection.transaction};
		}

		case 'isBusy': {
			return {kind: 'error', code: 'busy', state: connection.transaction};
		}

		case 'failsWithEffect':
		case 'failsWithoutEffect':
		case 'timesOutWithEffect': {
			if (fate !== 'failsWithoutEffect') {
				applyCommand(connection, command);
			}

			connection.transaction = connection.transaction === 'open' && command.kind !== 'begin' ? 'failed' : connection.transaction;
			connection.transaction = isEnd ? 'idle' : connection.transaction;
			return {kind: 'error', code: fate === 'timesOutWithEffect' ? 'timeout' : 'failed', state: connection.transaction};
		}

		case 'isLostWithEffect': {
			applyCommand(connection, command);
			return {kind: 'lost'};
		}

		case 'isLost': {
			return {kind: 'lost'};
		}

		case 'isSilent': {
			return {kind: 'silent'};
		}
	}
}

function applyCommand(connection: FakeConnectionState, command: UpstreamCommand): void {
	switch (command.kind) {
		case 'begin': {
			connection.transaction = 'open';
			break;
		}

		case 'reset': {
			connection.variables = new Map();
			connection.statements = new Map();
			break;
		}

		case 'set': {
			connection.variables.set(...parseFirstField(`${command.name} ${command.value}`));
			break;
		}

		case 'prepare': {
			connection.statements.set(...parseFirstField(`${command.name} ${command.access} ${command.shape}`));
			break;
		}

		default: {
			break;
		}
	}
}
