import {describe, expect, test} from '@jest/globals';
import {createClientSession, type SessionReply, type StatementAction} from '../../index.js';
import {
	createRoute, createStatement, createTestServices, runUntilSettled, type TestServices,
} from '../support/test-services.js';

const READ: StatementAction = {kind: 'data', access: 'read'};
const WRITE: StatementAction = {kind: 'data', access: 'write'};
const BEGIN: StatementAction = {kind: 'begin', isReadOnly: false};
const BEGIN_READ: StatementAction = {kind: 'begin', isReadOnly: true};
const COMMIT: StatementAction = {kind: 'commit'};
const ROLLBACK: StatementAction = {kind: 'rollback'};

type Run = (action: StatementAction, text?: string) => Promise<SessionReply>;

function startSession(fixture: TestServices): {readonly run: Run; readonly stop: () => void} {
	const session = createClientSession({sessionId: 's-1', database: 'shop', key: 'key'}, fixture.services);
	return {
		run: async (action, text) => runUntilSettled(fixture.clock, session.run(createStatement(action, text ?? (action.kind === 'commit' ? 'COMMIT' : 'text')), fixture.clock.readNow())),
		stop: session.stop,
	};
}

function formatCommands({seen}: TestServices): readonly string[] {
	return seen.map(({database, command}) => `${database} ${command.kind}`);
}

describe('statement metrics', () => {
	test('record route, outcome, database and elapsed time of every statement', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		await run(READ);
		await run(BEGIN);
		await run(ROLLBACK);
		fixture.admissionDelayMs = 70;
		await run(WRITE);
		expect(fixture.observed).toMatchObject([
			{route: 'shop', outcome: 'served', database: 'db-1'}, {route: 'shop', outcome: 'done'}, {route: 'shop', outcome: 'done'}, {route: 'shop', outcome: 'busy'},
		]);
		expect(fixture.observed[0]!.elapsedMs).toBeGreaterThan(0);
	});
});

describe('a statement outside a transaction', () => {
	test('is sent to the confirmed primary on a primary route, and the response is forwarded unchanged', async () => {
		const fixture = createTestServices();
		fixture.script = () => ({kind: 'complete', body: 'DATAROW x\r\nCOMPLETE signature\r\n'});
		const {run} = startSession(fixture);
		expect(await run(READ)).toMatchObject({kind: 'answer', body: 'DATAROW x\r\nCOMPLETE signature\r\n', state: 'idle'});
		expect(formatCommands(fixture)).toEqual(['db-1 forward']);
	});

	test('is refused as busy within 150 ms, without being sent, when no primary is confirmed', async () => {
		const fixture = createTestServices();
		fixture.primary = undefined;
		const {run} = startSession(fixture);
		const start = fixture.clock.readNow();
		expect(await run(WRITE)).toMatchObject({kind: 'refused', refusal: {code: 'busy'}});
		expect(fixture.clock.readNow() - start).toBeLessThanOrEqual(150);
		expect(fixture.seen).toEqual([]);
	});

	test('is retried when the database rejects it as busy', async () => {
		const fixture = createTestServices();
		fixture.script = () => fixture.seen.length < 3 ? {kind: 'error', code: 'busy'} : undefined;
		const {run} = startSession(fixture);
		expect(await run(WRITE)).toMatchObject({kind: 'answer'});
		expect(fixture.seen).toHaveLength(3);
	});

	test('is refused as in doubt and not retried if it is a write whose response was lost', async () => {
		const fixture = createTestServices();
		fixture.script = () => ({kind: 'lost'});
		const {run} = startSession(fixture);
		expect(await run(WRITE)).toMatchObject({kind: 'refused', refusal: {code: 'in_doubt'}});
		expect(fixture.seen).toHaveLength(1);
	});

	test('is retried on another database if it is a read whose response was lost', async () => {
		const fixture = createTestServices(createRoute('bounded_staleness'));
		fixture.positions.recordPrimaryPosition('g', 1, {term: 1, position: 50n}, fixture.clock.readNow());
		fixture.script = ({database}) => database === fixture.seen[0]!.database ? {kind: 'silent'} : undefined;
		const {run} = startSession(fixture);
		expect(await run(READ)).toMatchObject({kind: 'answer'});
		expect(new Set(fixture.seen.map(({database}) => database)).size).toBe(2);
	});

	test('is refused as in doubt if it is a write whose primary is not confirmed before the deadline', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		fixture.isProven = false;
		expect(await run(WRITE)).toMatchObject({kind: 'refused', refusal: {code: 'in_doubt'}});
	});

	test('is acknowledged if it is a write, once the primary is confirmed again', async () => {
		const fixture = createTestServices();
		fixture.isProven = false;
		fixture.clock.registerTimer(fixture.clock.readNow() + 200, () => {
			fixture.isProven = true;
		});
		const {run} = startSession(fixture);
		expect(await run(WRITE)).toMatchObject({kind: 'answer'});
	});

	test('counts as in flight on the primary if it is a write, until it is acknowledged or lost', async () => {
		const fixture = createTestServices();
		fixture.isProven = false;
		const counts: number[] = [];
		fixture.clock.registerTimer(fixture.clock.readNow() + 100, () => {
			counts.push(fixture.countWorkOnPrimary());
			fixture.isProven = true;
		});
		const {run} = startSession(fixture);
		expect(await run(WRITE)).toMatchObject({kind: 'answer'});
		expect([...counts, fixture.countWorkOnPrimary()]).toEqual([1, 0]);
		fixture.script = () => ({kind: 'lost'});
		await run(WRITE);
		expect(fixture.countWorkOnPrimary()).toBe(0);
	});

	test('forwards the error of a write that failed on the database, without a retry', async () => {
		const fixture = createTestServices();
		fixture.script = () => ({kind: 'error', code: 'failed'});
		const {run} = startSession(fixture);
		expect(await run(WRITE)).toMatchObject({kind: 'answer', body: 'ERROR failed\r\n'});
		expect(fixture.seen).toHaveLength(1);
	});
});

describe('a read with bounded staleness', () => {
	test('is sent to a replica with the oldest log position within the staleness bound', async () => {
		const fixture = createTestServices(createRoute('bounded_staleness'));
		const now = fixture.clock.readNow();
		[[now - 2000, 10n], [now - 1400, 20n], [now - 100, 30n]].forEach(([seenAt, position]) => {
			fixture.positions.recordPrimaryPosition('g', 1, {term: 1, position: position as bigint}, seenAt as number);
		});
		const {run} = startSession(fixture);
		await run(READ);
		expect(fixture.seen[0]).toMatchObject({command: {kind: 'forward', after: {term: 1, position: 20n}}});
		expect(fixture.seen[0]!.database).not.toBe('db-1');
	});

	test('is sent to the primary when no known log position is within the staleness bound', async () => {
		const fixture = createTestServices(createRoute('bounded_staleness'));
		fixture.positions.recordPrimaryPosition('g', 1, {term: 1, position: 10n}, fixture.clock.readNow() - 2000);
		const {run} = startSession(fixture);
		await run(READ);
		expect(formatCommands(fixture)).toEqual(['db-1 forward']);
	});

	test('is retried on other databases when a replica rejects it as lagging', async () => {
		const fixture = createTestServices(createRoute('bounded_staleness'));
		fixture.positions.recordPrimaryPosition('g', 1, {term: 1, position: 10n}, fixture.clock.readNow());
		fixture.script = ({database}) => database === 'db-1' ? undefined : {kind: 'error', code: 'lagging'};
		const {run} = startSession(fixture);
		expect(await run(READ)).toMatchObject({kind: 'answer'});
		expect(fixture.seen.at(-1)!.database).toBe('db-1');
	});

	test('requires the position of the session\'s own commit on a read-your-writes route', async () => {
		const fixture = createTestServices(createRoute('read_your_writes'));
		fixture.positions.recordPrimaryPosition('g', 1, {term: 1, position: 10n}, fixture.clock.readNow());
		fixture.script = ({database}) => ({kind: 'complete', position: database === 'db-1' ? 77n : 90n});
		const {run} = startSession(fixture);
		await run(WRITE);
		await run(READ);
		expect(fixture.seen[1]).toMatchObject({command: {after: {term: 1, position: 77n}}});
	});

	test('is served by a replica when no primary is confirmed', async () => {
		const fixture = createTestServices(createRoute('bounded_staleness'));
		fixture.positions.recordPrimaryPosition('g', 1, {term: 1, position: 10n}, fixture.clock.readNow());
		fixture.primary = undefined;
		const {run} = startSession(fixture);
		expect(await run(READ)).toMatchObject({kind: 'answer'});
	});
});

describe('a transaction', () => {
	test('is opened on a database with its first statement, and uses one connection until its commit', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		expect(await run(BEGIN)).toEqual({kind: 'done', state: 'open'});
		expect(fixture.seen).toEqual([]);
		expect(await run(READ)).toMatchObject({state: 'open'});
		expect(await run(WRITE)).toMatchObject({state: 'open'});
		expect(await run(COMMIT)).toMatchObject({kind: 'answer', state: 'idle'});
		expect(formatCommands(fixture)).toEqual(['db-1 begin', 'db-1 forward', 'db-1 forward', 'db-1 forward']);
		expect(new Set(fixture.seen.map(({connection}) => connection)).size).toBe(1);
		expect(fixture.countWorkOnPrimary()).toBe(0);
	});

	test('without statements is rolled back without a database', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		await run(BEGIN);
		expect(await run(ROLLBACK)).toEqual({kind: 'done', state: 'idle'});
		expect(fixture.seen).toEqual([]);
	});

	test('whose connection is lost fails as aborted and accepts only its rollback', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		await run(BEGIN);
		await run(WRITE);
		fixture.script = () => ({kind: 'lost'});
		expect(await run(WRITE)).toMatchObject({kind: 'refused', refusal: {code: 'aborted'}, state: 'failed'});
		expect(await run(READ)).toMatchObject({refusal: {code: 'malformed'}, state: 'failed'});
		expect(await run(ROLLBACK)).toEqual({kind: 'done', state: 'idle'});
	});

	test('whose commit got no response is in doubt if it wrote, and aborted if it only read', async () => {
		for (const [action, code] of [[WRITE, 'in_doubt'], [READ, 'aborted']] as const) {
			const fixture = createTestServices();
			const {run} = startSession(fixture);
			await run(BEGIN);
			await run(action);
			fixture.script = () => ({kind: 'lost'});
			expect(await run(COMMIT)).toMatchObject({kind: 'refused', refusal: {code}, state: 'idle'});
		}
	});

	test('whose primary is replaced before the commit is confirmed is refused as in doubt', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		await run(BEGIN);
		await run(WRITE);
		fixture.isProven = false;
		fixture.isReplaced = true;
		expect(await run(COMMIT)).toMatchObject({kind: 'refused', refusal: {code: 'in_doubt'}});
	});

	test('that is read-only is opened on another database when a replica rejects BEGIN as lagging, and sends no statement before', async () => {
		const fixture = createTestServices(createRoute('bounded_staleness'));
		fixture.positions.recordPrimaryPosition('g', 1, {term: 1, position: 10n}, fixture.clock.readNow());
		let refusals = 0;
		fixture.script = ({command}) => {
			refusals += command.kind === 'begin' ? 1 : 0;
			return command.kind === 'begin' && refusals === 1 ? {kind: 'error', code: 'lagging'} : undefined;
		};

		const {run} = startSession(fixture);
		await run(BEGIN_READ);
		expect(await run(READ)).toMatchObject({kind: 'answer', state: 'open'});
		expect(fixture.seen.map(({command}) => command.kind)).toEqual(['begin', 'begin', 'forward']);
		expect(fixture.seen[0]).toMatchObject({command: {after: {position: 10n}}});
	});

	test('retries a statement on its own connection when the database rejects it as busy', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		await run(BEGIN);
		await run(READ);
		let count = 0;
		fixture.script = () => {
			count++;
			return count < 3 ? {kind: 'error', code: 'busy', state: 'open'} : undefined;
		};

		expect(await run(WRITE)).toMatchObject({kind: 'answer', state: 'open'});
	});

	test('is rolled back when its client disconnects, and its connection returns to the pool', async () => {
		const fixture = createTestServices();
		const first = startSession(fixture);
		await first.run(BEGIN);
		await first.run(WRITE);
		first.stop();
		await runUntilSettled(fixture.clock, new Promise<void>(resolve => {
			fixture.clock.registerTimer(fixture.clock.readNow() + 50, resolve);
		}));
		expect(formatCommands(fixture).at(-1)).toBe('db-1 rollback');
		expect(fixture.pools.get('db-1')!.hasIdle('team')).toBe(true);
	});

	test('releases its connection when its client disconnects while it is being opened', async () => {
		const fixture = createTestServices();
		const session = createClientSession({sessionId: 's-1', database: 'shop', key: 'key'}, fixture.services);
		await runUntilSettled(fixture.clock, session.run(createStatement(BEGIN), 0));
		const first = session.run(createStatement(WRITE), fixture.clock.readNow());
		await Promise.resolve();
		session.stop();
		expect(await runUntilSettled(fixture.clock, first)).toMatchObject({kind: 'refused'});
		await runUntilSettled(fixture.clock, new Promise<void>(resolve => {
			fixture.clock.registerTimer(fixture.clock.readNow() + 50, resolve);
		}));
		expect(fixture.countWorkOnPrimary()).toBe(0);
		expect(fixture.pools.get('db-1')!.countInUse()).toBe(0);
	});

	test('is rolled back after the idle transaction timeout', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		await run(BEGIN);
		await run(WRITE);
		await runUntilSettled(fixture.clock, new Promise<void>(resolve => {
			fixture.clock.registerTimer(fixture.clock.readNow() + 3100, resolve);
		}));
		expect(await run(COMMIT)).toMatchObject({kind: 'refused', refusal: {code: 'aborted'}, state: 'idle'});
	});
});

describe('session variables and prepared statements', () => {
	test('are set up on a connection before the statement is sent, and only if they are missing there', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		await run({kind: 'set', name: 'zone', value: 'x'});
		await run({
			kind: 'prepare', name: 's1', access: 'write', shape: 'q2c',
		});
		expect(fixture.seen).toEqual([]);
		await run({kind: 'execute', name: 's1', arguments: '1a4 data'});
		expect(fixture.seen.map(({command}) => command)).toEqual([
			{kind: 'set', name: 'zone', value: 'x'},
			{
				kind: 'prepare', name: 'p1', access: 'write', shape: 'q2c',
			},
			expect.objectContaining({kind: 'execute', name: 'p1', arguments: '1a4 data'}),
		]);
		await run({kind: 'execute', name: 's1', arguments: '1a5 data'});
		expect(fixture.seen).toHaveLength(4);
	});

	test('of one session are reset before another session uses the same connection', async () => {
		const fixture = createTestServices();
		const first = startSession(fixture);
		await first.run({kind: 'set', name: 'zone', value: 'x'});
		await first.run(READ);
		const second = startSession(fixture);
		await second.run(READ);
		expect(fixture.seen.map(({command}) => command.kind)).toEqual(['set', 'forward', 'reset', 'forward']);
	});

	test('set inside a transaction are set on its connection at once', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		await run(BEGIN);
		await run(READ);
		expect(await run({kind: 'set', name: 'zone', value: 'x'})).toEqual({kind: 'done', state: 'open'});
		expect(fixture.seen.at(-1)!.command).toEqual({kind: 'set', name: 'zone', value: 'x'});
	});

	// Guards against statements that run with a value whose SET was refused.
	test('keep the value that was acknowledged last when a change inside a transaction is refused', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		await run({kind: 'set', name: 'zone', value: 'x'});
		await run(BEGIN);
		await run(READ);
		fixture.script = ({command}) => command.kind === 'set' ? {kind: 'error', code: 'failed'} : undefined;
		expect(await run({kind: 'set', name: 'zone', value: 'y'})).toMatchObject({kind: 'refused', refusal: {code: 'aborted'}});
		fixture.script = () => undefined;
		await run({kind: 'rollback'});
		await run(READ);
		expect(fixture.seen.flatMap(({command}) => command.kind === 'set' ? [command.value] : [])).toEqual(['x', 'y', 'x']);
	});

	test('refuse to execute an unknown statement name', async () => {
		const {run} = startSession(createTestServices());
		expect(await run({kind: 'execute', name: 'none', arguments: ''})).toMatchObject({kind: 'refused', refusal: {code: 'unknown_statement'}});
	});
});

describe('authorization and rate limits', () => {
	test('withdrawing the key ends the session and rolls back its transaction', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		await run(BEGIN);
		await run(WRITE);
		fixture.access = 'unknown_key';
		expect(await run(COMMIT)).toMatchObject({kind: 'refused', refusal: {code: 'unknown_key'}, endsSession: true});
		await runUntilSettled(fixture.clock, new Promise<void>(resolve => {
			fixture.clock.registerTimer(fixture.clock.readNow() + 50, resolve);
		}));
		expect(formatCommands(fixture).at(-1)).toBe('db-1 rollback');
	});

	test('statements are refused as busy, and the session stays open, while the contracts cannot be verified', async () => {
		const fixture = createTestServices();
		fixture.access = 'unverified';
		expect(await startSession(fixture).run(READ)).toMatchObject({kind: 'refused', refusal: {code: 'busy'}, endsSession: false});
	});

	test('a team over its rate is refused with a retry-after time at the start of an operation, not inside a transaction', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		await run(BEGIN);
		await run(READ);
		fixture.admissionDelayMs = 70;
		expect(await run(READ)).toMatchObject({kind: 'answer'});
		expect(await run(COMMIT)).toMatchObject({kind: 'answer'});
		expect(await run(READ)).toMatchObject({kind: 'refused', refusal: {code: 'busy', retryAfterMs: 70}});
	});
});
