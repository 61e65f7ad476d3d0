/** What a step does to a connection: its setup commands with their outcomes, and the statement that runs when they have succeeded. */
import type {
	PreparedStatement, RequiredConnectionState, UpstreamCommand, UpstreamResponse,
} from 'heatherpond-session';
import {
	applySetupLine, formatSetupLine, formatStatement, parseSetupLine,
} from './setup-database.js';
import type {SetupRules} from './setup-rules.js';
import {
	createConnection, createPooledCopy, SETUP_INVARIANTS, type ClientState, type CommandOutcome, type ConnectionState, type SetupOutcome, type SetupScope,
} from './setup-state.js';

/** Arguments of every execution; they look like a shape, and hold two blanks in a row. */
const ARGUMENTS = 'item write  t';

const RESPONSES: Readonly<Record<CommandOutcome, UpstreamResponse>> = {
	completes: {body: '', outcome: {kind: 'complete'}, state: 'idle'},
	isRefused: {body: '', outcome: {kind: 'error', code: 'busy'}, state: 'idle'},
	failsWithEffect: {body: '', outcome: {kind: 'error', code: 'failed'}, state: 'idle'},
	failsWithoutEffect: {body: '', outcome: {kind: 'error', code: 'failed'}, state: 'idle'},
};

/** The client's name of the statement, if it is a prepared one, and the state of the connection on which it runs. */
type NeedsOptions = {readonly name?: string; readonly needsLivenessCheck: boolean; readonly isInTransaction: boolean};

/** Reads what a connection must have before a client's statement runs on it. */
export function readNeeds({statements}: SetupScope, client: ClientState, {name, needsLivenessCheck, isInTransaction}: NeedsOptions): RequiredConnectionState {
	return {
		variables: new Map(Object.entries(client.variables)),
		statement: name === undefined ? undefined : statements[client.statements[name]!],
		needsLivenessCheck,
		isInTransaction,
	};
}

/** Collects what may become of so many setup commands while so many faults are left. */
export function collectOutcomes(commands: number, faultsLeft: number): readonly SetupOutcome[] {
	return [...collectAnswered(commands, faultsLeft), ...(commands > 0 && faultsLeft > 0 ? ['lost' as const] : [])];
}

function collectAnswered(commands: number, faultsLeft: number): ReadonlyArray<readonly CommandOutcome[]> {
	if (commands === 0) {
		return [[]];
	}

	const faults: readonly CommandOutcome[] = faultsLeft > 0 ? ['isRefused', 'failsWithEffect', 'failsWithoutEffect'] : [];
	return [
		...collectAnswered(commands - 1, faultsLeft).map(rest => ['completes' as const, ...rest]),
		...faults.flatMap(fault => collectAnswered(commands - 1, faultsLeft - 1).map(rest => [fault, ...rest])),
	];
}

/** Counts the faults of an outcome. */
export function countFaults(outcome: SetupOutcome): number {
	return outcome === 'lost' ? 1 : outcome.filter(command => command !== 'completes').length;
}

/** What the setup of a step is to reach, and what becomes of its commands. */
type SetupOptions = {readonly needs: RequiredConnectionState; readonly outcome: SetupOutcome; readonly scope: SetupScope};

/** Runs the setup commands of a step. */
export function applySetup(rules: SetupRules, connection: ConnectionState, {needs, outcome, scope}: SetupOptions): ConnectionState {
	const pooled = createPooledCopy(connection.pooled);
	const commands = rules.collectSetupCommands(pooled, needs);
	rules.recordSentCommands(pooled, commands);
	const effective = commands.filter((_, index) => outcome === 'lost' || outcome[index] === 'completes' || outcome[index] === 'failsWithEffect');
	const database = effective.reduce((session, command) => applySetupLine(session, formatSetupLine(command), scope.collision), connection.database);
	if (outcome === 'lost') {
		return rules.closesAfterLoss ? createConnection() : {...connection, pooled, database};
	}

	if (commands.length > 0) {
		rules.applySetupResponses(pooled, commands, outcome.map(command => RESPONSES[command]));
	}

	return {...connection, pooled, database};
}

/** Finds a reset of a connection on which a transaction is open. */
export function findResetViolation(rules: SetupRules, {pooled, holder}: ConnectionState, needs: RequiredConnectionState): string | undefined {
	const isReset = holder !== undefined && rules.collectSetupCommands(pooled, needs).some(({kind}) => kind === 'reset');
	return isReset ? SETUP_INVARIANTS.transaction : undefined;
}

/** Finds what a database violates that runs a client's statement. */
export function findRunViolation(rules: SetupRules, {pooled, database}: ConnectionState, client: ClientState, statement: PreparedStatement | undefined): string | undefined {
	const hasSameValues = formatEntries(database.variables) === formatEntries(client.variables);
	const values = hasSameValues ? undefined : SETUP_INVARIANTS.values;
	if (!statement) {
		return values;
	}

	const command: UpstreamCommand = rules.createConnectionCommand(pooled, {kind: 'execute', id: 'id', arguments: ARGUMENTS}, statement);
	const {name, rest} = parseSetupLine(formatSetupLine(command));
	if (!(name in database.statements)) {
		return SETUP_INVARIANTS.known;
	}

	if (database.statements[name] !== formatStatement(statement)) {
		return SETUP_INVARIANTS.shape;
	}

	return rest === ARGUMENTS ? values : SETUP_INVARIANTS.arguments;
}

function formatEntries(entries: Readonly<Record<string, string>>): string {
	return JSON.stringify(Object.entries(entries).toSorted(([left], [right]) => left < right ? -1 : 1));
}
