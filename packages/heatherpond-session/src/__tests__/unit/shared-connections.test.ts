/** Sessions that share pooled connections: whatever becomes of setup commands, each statement runs as its client prepared it. */
import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {
	createClientSession, type ClientSession, type SessionRoute, type StatementAccess, type StatementAction, type UpstreamCommand,
} from '../../index.js';
import {
	answerCommand, createConnectionState, parseFirstField, type CommandFate, type FakeConnectionState,
} from '../support/fake-connection-state.js';
import {
	createRoute, createStatement, createTestServices, runUntilSettled, type ScriptedResponse, type TestServices,
} from '../support/test-services.js';

const SEED = 20_261_206;
const RUNS = 500;
const SESSIONS = 3;
/** Longer than the idle time after which connections are checked before a write. */
const IDLE_MS = 600;

const LONG_SHAPE_LENGTH = 9000;

/** What has been acknowledged to a client. */
type Acknowledged = {readonly variables: Map<string, string>; readonly statements: Map<string, {readonly access: StatementAccess; readonly shape: string}>};

type Client = {session: ClientSession; acknowledged: Acknowledged};

/** What a database has to see of a statement. */
type Expectation = {readonly variables: ReadonlyMap<string, string>; readonly statement?: string; readonly values: string};

type Operation = StatementAction | {readonly kind: 'reconnect'};

const TEXTS = ['q', 'q write t', 'q  write q', 't', 'write q', 'p1', 'p2 write q'];
const name = fc.constantFrom('s1', 's2');
const access = fc.constantFrom<StatementAccess>('read', 'write');
const text = fc.constantFrom(...TEXTS);
/** Two long shapes do not fit on a connection. */
const shape = fc.oneof({weight: 5, arbitrary: text}, {weight: 1, arbitrary: text.map(start => start.padEnd(LONG_SHAPE_LENGTH, '.'))});
const operation: fc.Arbitrary<Operation> = fc.oneof(
	{weight: 2, arbitrary: fc.record({kind: fc.constant('set' as const), name: fc.constantFrom('zone', 'mode'), value: text})},
	{
		weight: 3, arbitrary: fc.record({
			kind: fc.constant('prepare' as const), name, access, shape,
		}),
	},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('deallocate' as const), name})},
	{weight: 8, arbitrary: fc.record({kind: fc.constant('execute' as const), name, arguments: text})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('data' as const), access})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('begin' as const), isReadOnly: fc.constant(false)})},
	{weight: 1, arbitrary: fc.constantFrom<Operation>({kind: 'commit'}, {kind: 'rollback'}, {kind: 'reconnect'})},
);
/** Operations that run at once, at most one of each session; sometimes after a time in which nothing was sent. */
const round = fc.record({operations: fc.array(fc.option(operation), {minLength: SESSIONS, maxLength: SESSIONS}), isAfterIdleTime: fc.integer({min: 0, max: 4}).map(value => value === 0)});
const fate = fc.oneof(
	{weight: 6, arbitrary: fc.constant<CommandFate>('completes')},
	{weight: 4, arbitrary: fc.constantFrom<CommandFate>('isBusy', 'failsWithEffect', 'failsWithoutEffect', 'timesOutWithEffect', 'isLostWithEffect', 'isLost', 'isSilent')},
);

/** Sessions, a database that keeps what it is told, and what it saw that differs from what was acknowledged. */
type Deployment = {
	readonly fixture: TestServices;
	readonly clients: readonly Client[];
	readonly expectations: Map<string, Expectation>;
	readonly differences: unknown[];
	executions: number;
};

function createDeployment(consistency: SessionRoute['consistency'], fates: readonly CommandFate[]): Deployment {
	const fixture = createTestServices(createRoute(consistency));
	const connections = new Map<number, FakeConnectionState>();
	const queue = [...fates];
	const deployment: Deployment = {
		fixture, clients: Array.from({length: SESSIONS}, () => createClient(fixture)), expectations: new Map(), differences: [], executions: 0,
	};
	fixture.script = ({connection, command}): ScriptedResponse => {
		const state = connections.get(connection) ?? createConnectionState();
		connections.set(connection, state);
		checkStatement(deployment, state, command);
		const isSetup = command.kind === 'set' || command.kind === 'prepare' || command.kind === 'reset' || command.kind === 'begin';
		return answerCommand(state, command, isSetup ? queue.shift() ?? 'completes' : 'completes');
	};

	return deployment;
}

function createClient({services}: TestServices): Client {
	return {
		session: createClientSession({sessionId: 's', database: 'shop', key: 'key'}, services), acknowledged: {variables: new Map(), statements: new Map()},
	};
}

/** Compares a statement that runs with what its client expects. */
function checkStatement(deployment: Deployment, {transaction, variables, statements}: FakeConnectionState, command: UpstreamCommand): void {
	const expected = 'id' in command ? deployment.expectations.get(command.id) : undefined;
	if (!expected || transaction === 'failed') {
		return;
	}

	deployment.executions++;
	const [known, values] = command.kind === 'execute' ? parseFirstField(`${command.name} ${command.arguments}`) : ['', ''];
	const seen: Expectation = {variables: new Map(variables), statement: statements.get(known), values};
	if (!isSame(seen, expected)) {
		deployment.differences.push({seen, expected});
	}
}

function isSame(left: Expectation, right: Expectation): boolean {
	const hasSameVariables = left.variables.size === right.variables.size && [...left.variables].every(([key, value]) => right.variables.get(key) === value);
	return hasSameVariables && left.statement === right.statement && left.values === right.values;
}

function readExpectation({variables, statements}: Acknowledged, action: StatementAction): Expectation | undefined {
	switch (action.kind) {
		case 'data': {
			return {variables: new Map(variables), values: ''};
		}

		case 'execute': {
			const statement = statements.get(action.name);
			return {variables: new Map(variables), statement: statement && `${statement.access} ${statement.shape}`, values: action.arguments};
		}

		default: {
			return undefined;
		}
	}
}

/** Runs an operation as clients do: one that is refused a change of its session reconnects. */
async function runOperation(deployment: Deployment, client: Client, action: Operation): Promise<void> {
	const {fixture, expectations} = deployment;
	if (action.kind === 'reconnect') {
		client.session.stop();
		Object.assign(client, createClient(fixture));
		return;
	}

	const statement = createStatement(action, action.kind === 'commit' ? 'COMMIT' : 'text');
	const expected = readExpectation(client.acknowledged, action);
	if (expected) {
		expectations.set(statement.id, expected);
	}

	const reply = await client.session.run(statement, fixture.clock.readNow());
	if (reply.kind === 'done') {
		recordAcknowledged(client.acknowledged, action);
	} else if (action.kind === 'set' || action.kind === 'prepare' || action.kind === 'deallocate') {
		await runOperation(deployment, client, {kind: 'reconnect'});
	}
}

function recordAcknowledged({variables, statements}: Acknowledged, action: StatementAction): void {
	switch (action.kind) {
		case 'set': {
			variables.set(action.name, action.value);
			break;
		}

		case 'prepare': {
			statements.set(action.name, {access: action.access, shape: action.shape});
			break;
		}

		case 'deallocate': {
			statements.delete(action.name);
			break;
		}

		default: {
			break;
		}
	}
}

async function waitMs({clock}: TestServices, ms: number): Promise<void> {
	await new Promise<void>(resolve => {
		clock.registerTimer(clock.readNow() + ms, resolve);
	});
}

describe('sessions that share connections', () => {
	// Guards against statements that run in the shape or with the values of another client after a failed setup.
	test.each(['primary', 'bounded_staleness'] as const)('on a route of consistency %s have their shapes, arguments and values in every statement', async consistency => {
		let executions = 0;
		let databases = new Set<string>();
		await fc.assert(fc.asyncProperty(fc.array(round, {minLength: 4, maxLength: 20}), fc.array(fate, {maxLength: 30}), async (rounds, fates) => {
			const deployment = createDeployment(consistency, fates);
			const {fixture, clients} = deployment;
			for (const {operations, isAfterIdleTime} of rounds) {
				fixture.positions.recordPrimaryPosition('g', 1, {term: 1, position: 50n}, fixture.clock.readNow());
				await runUntilSettled(fixture.clock, isAfterIdleTime ? waitMs(fixture, IDLE_MS) : Promise.resolve());
				await runUntilSettled(fixture.clock, Promise.all(operations.map(async (action, index) => action && runOperation(deployment, clients[index]!, action))));
			}

			executions += deployment.executions;
			databases = new Set([...databases, ...fixture.seen.map(({database}) => database)]);
			expect(deployment.differences).toEqual([]);
		}), {seed: SEED, numRuns: RUNS});
		expect(executions).toBeGreaterThan(RUNS);
		expect(databases.size > 1).toBe(consistency !== 'primary');
	});
});
