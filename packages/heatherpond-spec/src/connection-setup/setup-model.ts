/**
 * The model of connection setup: clients with variables and prepared statements, whose statements run on pooled connections that
 * change hands; setup commands that complete, are refused, fail after a run, or lose their responses.
 */
import type {RequiredConnectionState} from 'heatherpond-session';
import type {Model} from '../model.js';
import {formatSetupState, formatSetupStep} from './format-setup.js';
import {
	applySetup, collectOutcomes, countFaults, findResetViolation, findRunViolation, readNeeds,
} from './setup-exchange.js';
import type {SetupRules} from './setup-rules.js';
import {
	createConnection, EMPTY_CLIENT, findHeldConnection, releaseConnection, updateClient, updateConnection, type ClientState, type SetupOutcome, type SetupScope, type SetupState, type SetupStep,
} from './setup-state.js';

type RunStep = Extract<SetupStep, {readonly kind: 'run'}>;
type VariableStep = Extract<SetupStep, {readonly kind: 'set'}>;

/** A scope and the rules that apply in it. */
type Setting = {readonly scope: SetupScope; readonly rules: SetupRules};

/** Creates the model for a scope and a set of rules. */
export function createSetupModel(name: string, scope: SetupScope, rules: SetupRules): Model<SetupState, SetupStep> {
	return {
		name,
		initial: {
			clients: Object.fromEntries(scope.clients.map(client => [client, EMPTY_CLIENT])), connections: Array.from({length: scope.connections}, createConnection), faults: 0,
		},
		collectSteps: state => scope.clients.flatMap(client => collectClientSteps({scope, rules}, state, client)),
		applyStep: (state, step) => applyStep({scope, rules}, state, step),
		findViolation: state => state.violation,
		formatState: formatSetupState,
		formatStep: formatSetupStep,
	};
}

function collectClientSteps(setting: Setting, state: SetupState, client: string): readonly SetupStep[] {
	const {scope} = setting;
	const known = Object.keys(state.clients[client]!.statements);
	return [
		...scope.variables.flatMap(name => scope.values.flatMap(value => collectVariableSteps(setting, state, {client, name, value}))),
		...scope.names.flatMap(name => scope.statements.flatMap((_, statement) => state.clients[client]!.statements[name] === statement
			? []
			: [{
				kind: 'prepare', client, name, statement,
			} as const])),
		...known.map(name => ({kind: 'deallocate', client, name} as const)),
		...[undefined, ...known].flatMap(name => collectRunSteps(setting, state, client, name)),
		...(findHeldConnection(state, client) === -1 ? [] : [{kind: 'endTransaction', client} as const]),
		{kind: 'reconnect', client},
	];
}

/** Collects the settings of a variable; one inside a transaction is set on its connection before it is acknowledged. */
function collectVariableSteps(setting: Setting, state: SetupState, step: Pick<VariableStep, 'client' | 'name' | 'value'>): readonly VariableStep[] {
	const connection = findHeldConnection(state, step.client);
	if (state.clients[step.client]!.variables[step.name] === step.value) {
		return [];
	}

	const needs = readNeeds(setting.scope, createClientWithVariable(state, step), {needsLivenessCheck: false, isInTransaction: true});
	const outcomes = connection === -1 ? [[]] : collectStepOutcomes(setting, state, connection, needs);
	return outcomes.map(outcome => ({kind: 'set', ...step, outcome}));
}

function collectRunSteps(setting: Setting, state: SetupState, client: string, name: string | undefined): readonly RunStep[] {
	const held = findHeldConnection(state, client);
	if (held !== -1) {
		const step = {
			client, connection: held, name, needsLivenessCheck: false, opensTransaction: false,
		};
		return collectStepOutcomes(setting, state, held, readRunNeeds(setting.scope, state, step)).map(outcome => ({kind: 'run', ...step, outcome}));
	}

	const free = state.connections.flatMap(({holder}, index) => holder === undefined ? [index] : []);
	return free.flatMap(connection => [[false, false], [true, false], [false, true]].flatMap(([needsLivenessCheck, opensTransaction]) => {
		const step = {
			client, connection, name, needsLivenessCheck: needsLivenessCheck!, opensTransaction: opensTransaction!,
		};
		return collectStepOutcomes(setting, state, connection, readRunNeeds(setting.scope, state, step)).map(outcome => ({kind: 'run' as const, ...step, outcome}));
	}));
}

function collectStepOutcomes({rules, scope}: Setting, {connections, faults}: SetupState, connection: number, needs: RequiredConnectionState | undefined): readonly SetupOutcome[] {
	const commands = needs ? rules.collectSetupCommands(connections[connection]!.pooled, needs) : [];
	return collectOutcomes(commands.length, scope.maxFaults - faults);
}

/** Reads what a run needs; a plain statement inside a transaction relies on what its connection has. */
function readRunNeeds(scope: SetupScope, state: SetupState, {client, name, needsLivenessCheck}: Pick<RunStep, 'client' | 'name' | 'needsLivenessCheck'>): RequiredConnectionState | undefined {
	const isInTransaction = findHeldConnection(state, client) !== -1;
	return isInTransaction && name === undefined ? undefined : readNeeds(scope, state.clients[client]!, {name, needsLivenessCheck, isInTransaction});
}

function createClientWithVariable({clients}: SetupState, {client, name, value}: Pick<VariableStep, 'client' | 'name' | 'value'>): ClientState {
	const known = clients[client]!;
	return {...known, variables: {...known.variables, [name]: value}};
}

function applyStep(setting: Setting, state: SetupState, step: SetupStep): SetupState {
	const client = state.clients[step.client]!;
	switch (step.kind) {
		case 'set': {
			return applyVariable(setting, state, step);
		}

		case 'prepare': {
			return updateClient(state, step.client, {...client, statements: {...client.statements, [step.name]: step.statement}});
		}

		case 'deallocate': {
			return updateClient(state, step.client, {...client, statements: Object.fromEntries(Object.entries(client.statements).filter(([name]) => name !== step.name))});
		}

		case 'run': {
			return applyRun(setting, state, step);
		}

		case 'endTransaction': {
			return releaseConnection(state, step.client);
		}

		case 'reconnect': {
			return updateClient(releaseConnection(state, step.client), step.client, EMPTY_CLIENT);
		}
	}
}

/** Sets a variable. A client that is refused one inside a transaction closes its connection. */
function applyVariable({rules, scope}: Setting, state: SetupState, step: VariableStep): SetupState {
	const client = createClientWithVariable(state, step);
	const index = findHeldConnection(state, step.client);
	if (index === -1) {
		return updateClient(state, step.client, client);
	}

	const needs = readNeeds(scope, client, {needsLivenessCheck: false, isInTransaction: true});
	const before = state.connections[index]!;
	const connection = applySetup(rules, before, {needs, outcome: step.outcome, scope});
	const faults = countFaults(step.outcome);
	const next = {...updateConnection(state, index, connection), faults: state.faults + faults, violation: findResetViolation(rules, before, needs)};
	return faults === 0 ? updateClient(next, step.client, client) : updateClient(releaseConnection(next, step.client), step.client, EMPTY_CLIENT);
}

/** Runs a statement, if the setup of its connection succeeds. */
function applyRun({rules, scope}: Setting, state: SetupState, step: RunStep): SetupState {
	const {outcome, name} = step;
	const needs = readRunNeeds(scope, state, step);
	const before = state.connections[step.connection]!;
	const connection = needs ? applySetup(rules, before, {needs, outcome, scope}) : before;
	const faults = countFaults(outcome);
	const next = {...updateConnection(state, step.connection, connection), faults: state.faults + faults, violation: needs && findResetViolation(rules, before, needs)};
	if (faults > 0) {
		// A transaction that has failed ends; one whose command was refused without a run may go on.
		return outcome !== 'lost' && outcome.every(command => command === 'completes' || command === 'isRefused') ? next : releaseConnection(next, step.client);
	}

	const client = state.clients[step.client]!;
	const violation = findRunViolation(rules, connection, client, name === undefined ? undefined : scope.statements[client.statements[name]!]);
	return {...(step.opensTransaction ? updateConnection(next, step.connection, {...connection, holder: step.client}) : next), violation: next.violation ?? violation};
}
