/** What a connection is believed to hold after commands that set it up were answered with an error. */
import {describe, expect, test} from '@jest/globals';
import {
	createClientSession, type SessionReply, type StatementAction, type UpstreamErrorCode,
} from '../../index.js';
import {
	createStatement, createTestServices, runUntilSettled, type TestServices,
} from '../support/test-services.js';

const READ: StatementAction = {kind: 'data', access: 'read'};
const PREPARE: Extract<StatementAction, {readonly kind: 'prepare'}> = {
	kind: 'prepare', name: 's1', access: 'read', shape: 'q2c',
};
const EXECUTE: StatementAction = {kind: 'execute', name: 's1', arguments: '1a4'};
const SET: StatementAction = {kind: 'set', name: 'zone', value: 'x'};

function startSession({clock, services}: TestServices): (action: StatementAction) => Promise<SessionReply> {
	const session = createClientSession({sessionId: 's-1', database: 'shop', key: 'key'}, services);
	return async action => runUntilSettled(clock, session.run(createStatement(action), clock.readNow()));
}

/** Answers the first command of a kind with an error. */
function failFirst(fixture: TestServices, kind: string, code: UpstreamErrorCode): void {
	let hasFailed = false;
	fixture.script = ({command}) => {
		const isFirst = command.kind === kind && !hasFailed;
		hasFailed ||= isFirst;
		return isFirst ? {kind: 'error', code} : undefined;
	};
}

function readKinds({seen}: TestServices): readonly string[] {
	return seen.map(({command}) => command.kind);
}

describe('a connection whose setup ended in an error', () => {
	// Guards against statements that run with another client's session values.
	test.each<UpstreamErrorCode>(['failed', 'timeout', 'other'])('is reset before its next use when a variable may have been set (%s)', async code => {
		const fixture = createTestServices();
		const first = startSession(fixture);
		failFirst(fixture, 'set', code);
		await first(SET);
		await first(READ);
		const before = fixture.seen.length;
		await startSession(fixture)(READ);
		expect(readKinds(fixture).slice(0, 2)).toEqual(['set', 'reset']);
		expect(readKinds(fixture).slice(before)).toEqual(['reset', 'forward']);
	});

	// Guards against statements that run without values that their client had set.
	test('sets its variables again when a reset may have taken place', async () => {
		const fixture = createTestServices();
		const first = startSession(fixture);
		await first(SET);
		await first(READ);
		fixture.script = ({command}) => command.kind === 'reset' ? {kind: 'error', code: 'failed'} : undefined;
		expect(await startSession(fixture)(READ)).toMatchObject({kind: 'refused'});
		fixture.script = () => undefined;
		const before = fixture.seen.length;
		await first(READ);
		expect(readKinds(fixture).slice(before)).toEqual(['reset', 'set', 'forward']);
	});

	test('never gives a name twice, also when its statement may not have been prepared', async () => {
		const fixture = createTestServices();
		const run = startSession(fixture);
		failFirst(fixture, 'prepare', 'failed');
		await run(PREPARE);
		await run(EXECUTE);
		const names = fixture.seen.flatMap(({command}) => command.kind === 'prepare' ? [command.name] : []);
		expect(names).toEqual(['p1', 'p2']);
	});

	test('is kept as it is when the database did not run the command', async () => {
		const fixture = createTestServices();
		const run = startSession(fixture);
		failFirst(fixture, 'prepare', 'busy');
		await run(PREPARE);
		await run(EXECUTE);
		expect(readKinds(fixture)).toEqual(['prepare', 'prepare', 'execute']);
	});
});

describe('a connection whose database lacks a statement that was prepared on it', () => {
	// Guards against a connection on which a prepared statement stays unknown for as long as it lives.
	test('is set up anew', async () => {
		const fixture = createTestServices();
		const run = startSession(fixture);
		failFirst(fixture, 'execute', 'unknown_statement');
		await run(PREPARE);
		expect(await run(EXECUTE)).toMatchObject({kind: 'answer', isError: false});
		expect(readKinds(fixture)).toEqual(['prepare', 'execute', 'reset', 'prepare', 'execute']);
		expect(fixture.events).toContain('prepared_statement_unknown');
	});
});

/** Prepares a shape and executes it. */
async function executeShape(run: (action: StatementAction) => Promise<SessionReply>, shape: string): Promise<void> {
	await run({...PREPARE, shape});
	await run(EXECUTE);
}

describe('a connection on which many or long statements have been prepared', () => {
	// Guards against databases and hosts that keep every statement that was ever prepared.
	test('is reset before further ones are prepared', async () => {
		const fixture = createTestServices();
		const run = startSession(fixture);
		for (const index of Array.from({length: 250}).keys()) {
			await executeShape(run, `shape ${index}`);
		}

		expect(readKinds(fixture).filter(kind => kind === 'reset')).toHaveLength(2);
		await executeShape(run, 'x'.repeat(10_000));
		await executeShape(run, 'y'.repeat(10_000));
		expect(readKinds(fixture).slice(-3)).toEqual(['reset', 'prepare', 'execute']);
	});

	test('is not reset inside a transaction', async () => {
		const fixture = createTestServices();
		const run = startSession(fixture);
		await run({kind: 'begin', isReadOnly: false});
		for (const index of Array.from({length: 150}).keys()) {
			await executeShape(run, `shape ${index}`);
		}

		expect(readKinds(fixture)).not.toContain('reset');
	});
});
