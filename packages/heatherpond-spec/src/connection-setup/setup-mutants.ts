/** The mutants of connection setup. */
import {formatStatementKey, type PooledConnection, type UpstreamCommand} from 'heatherpond-session';
import type {Mutant} from '../model.js';
import {createSetupModel} from './setup-model.js';
import {SETUP_RULES, type SetupRules} from './setup-rules.js';
import {
	ACCESS_SCOPE, KEEPING_SCOPE, LONG_SCOPE, SHARED_SCOPE, VARIABLES_SCOPE,
} from './setup-scopes.js';
import type {SetupScope} from './setup-state.js';

type MutantDescription = Pick<Mutant, 'name' | 'rule' | 'code'>;

const SETUP_CODE = 'session/connection-setup.ts';

function createMutant(text: MutantDescription, change: Partial<SetupRules>, scope: SetupScope = SHARED_SCOPE): Mutant {
	return {...text, createModel: () => createSetupModel(`connection setup, ${text.name}`, scope, {...SETUP_RULES, ...change})};
}

type CommandsChange = (commands: readonly UpstreamCommand[], connection: PooledConnection) => readonly UpstreamCommand[];

/** Changes the commands that the production code collects. */
function createCollectMutant(text: MutantDescription, change: CommandsChange, scope?: SetupScope): Mutant {
	return createMutant(text, {collectSetupCommands: (connection, needs) => change(SETUP_RULES.collectSetupCommands(connection, needs), connection)}, scope);
}

/** Counts a prepared statement once it has been prepared, and not when it is sent. */
function createCountingRules(count: (connection: PooledConnection, completed: readonly UpstreamCommand[]) => void): Partial<SetupRules> {
	return {
		recordSentCommands: () => undefined,
		applySetupResponses(connection, commands, responses) {
			SETUP_RULES.applySetupResponses(connection, commands, responses);
			count(connection, commands.filter((_, index) => responses[index]!.outcome.kind === 'complete'));
		},
	};
}

export const SETUP_MUTANTS: readonly Mutant[] = [
	createCollectMutant({
		name: 'name-from-text',
		rule: 'a name on a database holds nothing that a client wrote',
		code: `${SETUP_CODE} formatNextName`,
	}, commands => commands.map(command => command.kind === 'prepare' ? {...command, name: `${command.access.at(0)}${command.shape}`} : command)),
	createCollectMutant({
		name: 'name-shared-by-statements',
		rule: 'each statement has a name of its own on a connection',
		code: `${SETUP_CODE} formatNextName`,
	}, commands => commands.map(command => command.kind === 'prepare' ? {...command, name: 'p1'} : command)),
	createMutant({
		name: 'name-reused-after-failure',
		rule: 'a name that was sent once is not used again',
		code: `${SETUP_CODE} recordSentCommands`,
	}, createCountingRules((connection, completed) => {
		connection.preparedCount += completed.filter(({kind}) => kind === 'prepare').length;
	}), KEEPING_SCOPE),
	createMutant({
		name: 'names-restart-at-reset',
		rule: 'a reset that is sent does not make names free',
		code: `${SETUP_CODE} recordSentCommands`,
	}, {
		recordSentCommands(connection, commands) {
			connection.preparedCount = commands.some(({kind}) => kind === 'reset') ? 0 : connection.preparedCount;
			SETUP_RULES.recordSentCommands(connection, commands);
		},
		collectSetupCommands(connection, needs) {
			const commands = SETUP_RULES.collectSetupCommands(connection, needs);
			const isReset = commands.some(({kind}) => kind === 'reset');
			return commands.map(command => isReset && command.kind === 'prepare' ? {...command, name: 'p1'} : command);
		},
	}),
	createMutant({
		name: 'statement-without-access',
		rule: 'a statement is identified by its access and its shape',
		code: `${SETUP_CODE} formatStatementKey`,
	}, {
		collectSetupCommands(connection, needs) {
			const commands = SETUP_RULES.collectSetupCommands(connection, needs);
			const isReset = commands.some(({kind}) => kind === 'reset');
			return commands.filter(command => isReset || command.kind !== 'prepare' || findNameByShape(connection, command.shape) === undefined);
		},
		createConnectionCommand(connection, command, statement) {
			const name = statement && findNameByShape(connection, statement.shape);
			return command.kind === 'execute' && name !== undefined ? {...command, name} : SETUP_RULES.createConnectionCommand(connection, command, statement);
		},
	}, ACCESS_SCOPE),
	createMutant({
		name: 'arguments-split-at-blanks',
		rule: 'arguments are passed on unchanged',
		code: `${SETUP_CODE} createConnectionCommand`,
	}, {
		createConnectionCommand(connection, command, statement) {
			const created = SETUP_RULES.createConnectionCommand(connection, command, statement);
			return created.kind === 'execute' ? {...created, arguments: created.arguments.split(/ +/v).join(' ')} : created;
		},
	}),
	createMutant({
		name: 'reset-keeps-record',
		rule: 'a reset clears what is recorded of a connection',
		code: `${SETUP_CODE} applyCompletedCommand`,
	}, {
		applySetupResponses(connection, commands, responses) {
			const isReset = (index: number): boolean => commands[index]!.kind === 'reset';
			SETUP_RULES.applySetupResponses(connection, commands.filter((_, index) => !isReset(index)), responses.filter((_, index) => !isReset(index)));
		},
	}),
	createMutant({
		name: 'setup-done-after-error',
		rule: 'only a command that the database has completed is recorded as done',
		code: `${SETUP_CODE} applySetupResponses`,
	}, {
		applySetupResponses(connection, commands, responses) {
			SETUP_RULES.applySetupResponses(connection, commands, responses.map(response => ({...response, outcome: {kind: 'complete'}})));
		},
	}),
	createMutant({
		name: 'failure-taken-for-no-effect',
		rule: 'a change of variables that failed after a run makes the state of the connection unknown',
		code: `${SETUP_CODE} applySetupResponses`,
	}, {
		applySetupResponses(connection, commands, responses) {
			SETUP_RULES.applySetupResponses(connection, commands, responses);
			connection.isSetupKnown = true;
		},
	}, VARIABLES_SCOPE),
	createMutant({
		name: 'failed-reset-taken-for-no-effect',
		rule: 'a reset that failed after a run makes the state of the connection unknown',
		code: `${SETUP_CODE} hasRecordedEffect`,
	}, {
		applySetupResponses(connection, commands, responses) {
			const wasKnown = connection.isSetupKnown;
			SETUP_RULES.applySetupResponses(connection, commands, responses);
			const hasFailed = (kind: UpstreamCommand['kind']): boolean => commands.some((command, index) => command.kind === kind && responses[index]!.outcome.kind === 'error');
			connection.isSetupKnown ||= wasKnown && hasFailed('reset') && !hasFailed('set');
		},
	}),
	createMutant({
		name: 'unknown-until-any-success',
		rule: 'only a completed reset makes the state of a connection known again',
		code: `${SETUP_CODE} applyCompletedCommand`,
	}, {
		applySetupResponses(connection, commands, responses) {
			SETUP_RULES.applySetupResponses(connection, commands, responses);
			connection.isSetupKnown ||= responses.at(-1)?.outcome.kind === 'complete';
		},
	}, VARIABLES_SCOPE),
	createMutant({
		name: 'reset-inside-transaction',
		rule: 'a connection without room for a statement is reset after the transaction',
		code: `${SETUP_CODE} hasTooManyStatements`,
	}, {
		collectSetupCommands: (connection, needs) => SETUP_RULES.collectSetupCommands(connection, {...needs, isInTransaction: false}),
	}, LONG_SCOPE),
	createMutant({
		name: 'statement-run-after-lost-setup',
		rule: 'a connection is closed when responses to its setup are lost',
		code: 'session/pooled-handle.ts release',
	}, {
		closesAfterLoss: false,
	}),
	createCollectMutant({
		name: 'variables-of-others-left',
		rule: 'a connection that has a variable which the client lacks is reset',
		code: `${SETUP_CODE} collectSetupCommands`,
	}, commands => commands.filter(({kind}) => kind !== 'reset'), VARIABLES_SCOPE),
	createCollectMutant({
		name: 'only-missing-variables-set',
		rule: 'a variable with another value is set',
		code: `${SETUP_CODE} collectSetupCommands`,
	}, (commands, connection) => commands.filter(command => command.kind !== 'set' || !connection.variables.has(command.name)), VARIABLES_SCOPE),
	createCollectMutant({
		name: 'variables-not-set-after-reset',
		rule: 'all variables are set after a reset',
		code: `${SETUP_CODE} collectSetupCommands`,
	}, (commands, connection) => commands.filter(command => command.kind !== 'set' || connection.variables.get(command.name) !== command.value), VARIABLES_SCOPE),
	createMutant({
		name: 'statement-not-prepared-after-reset',
		rule: 'a statement is prepared again after a reset',
		code: `${SETUP_CODE} collectSetupCommands`,
	}, {
		collectSetupCommands(connection, needs) {
			const commands = SETUP_RULES.collectSetupCommands(connection, needs);
			return commands.filter(command => command.kind !== 'prepare' || !connection.statements.has(formatStatementKey(command)));
		},
		applySetupResponses(connection, commands, responses) {
			const before = new Map(connection.statements);
			SETUP_RULES.applySetupResponses(connection, commands, responses);
			before.forEach((name, key) => {
				connection.statements.set(key, name);
			});
		},
	}),
];

function findNameByShape({statements}: PooledConnection, shape: string): string | undefined {
	return [...statements].find(([key]) => key.slice(key.indexOf(' ') + 1) === shape)?.[1];
}
