import {describe, expect, test} from '@jest/globals';
import {createCallerSession, type SessionReply, type StatementAction} from '../../index.js';
import {
	createRoute, createStatement, createTestServices, runToEnd, type TestServices,
} from '../support/test-services.js';

const READ: StatementAction = {kind: 'data', access: 'read'};
const WRITE: StatementAction = {kind: 'data', access: 'write'};
const BEGIN: StatementAction = {kind: 'begin', isReadOnly: false};
const BEGIN_READ: StatementAction = {kind: 'begin', isReadOnly: true};
const COMMIT: StatementAction = {kind: 'commit'};
const ROLLBACK: StatementAction = {kind: 'rollback'};

type Run = (action: StatementAction, text?: string) => Promise<SessionReply>;

function startSession(fixture: TestServices): {readonly run: Run; readonly stop: () => void} {
	const session = createCallerSession({sessionId: 's-1', database: 'shop', key: 'key'}, fixture.services);
	return {
		run: async (action, text) => runToEnd(fixture.clock, session.run(createStatement(action, text ?? (action.kind === 'commit' ? 'COMMIT' : 'text')), fixture.clock.readNow())),
		stop: session.stop,
	};
}

function readKinds({seen}: TestServices): readonly string[] {
	return seen.map(({database, command}) => `${database} ${command.kind}`);
}

describe('what is told of statements for metrics', () => {
	test('is their route, outcome, database and time', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		await run(READ);
		await run(BEGIN);
		await run(ROLLBACK);
		fixture.admitsAfterMs = 70;
		await run(WRITE);
		expect(fixture.observed).toMatchObject([
			{route: 'shop', outcome: 'served', database: 'db-1'}, {route: 'shop', outcome: 'done'}, {route: 'shop', outcome: 'done'}, {route: 'shop', outcome: 'busy'},
		]);
		expect(fixture.observed[0]!.elapsedMs).toBeGreaterThan(0);
	});
});

describe('a single statement', () => {
	test('goes to the proven primary of a primary route, and its answer is passed on untouched', async () => {
		const fixture = createTestServices();
		fixture.script = () => ({kind: 'complete', body: 'DATAROW x\r\nCOMPLETE signature\r\n'});
		const {run} = startSession(fixture);
		expect(await run(READ)).toMatchObject({kind: 'answer', body: 'DATAROW x\r\nCOMPLETE signature\r\n', state: 'idle'});
		expect(readKinds(fixture)).toEqual(['db-1 forward']);
	});

	test('is refused soon, as not run, when there is no proven primary', async () => {
		const fixture = createTestServices();
		fixture.primary = undefined;
		const {run} = startSession(fixture);
		const start = fixture.clock.readNow();
		expect(await run(WRITE)).toMatchObject({kind: 'refused', refusal: {code: 'busy'}});
		expect(fixture.clock.readNow() - start).toBeLessThanOrEqual(150);
		expect(fixture.seen).toEqual([]);
	});

	test('is tried again when the database was too busy to run it', async () => {
		const fixture = createTestServices();
		fixture.script = () => fixture.seen.length < 3 ? {kind: 'error', code: 'busy'} : undefined;
		const {run} = startSession(fixture);
		expect(await run(WRITE)).toMatchObject({kind: 'answer'});
		expect(fixture.seen).toHaveLength(3);
	});

	test('a write whose answer was lost is in doubt, and is sent once', async () => {
		const fixture = createTestServices();
		fixture.script = () => ({kind: 'lost'});
		const {run} = startSession(fixture);
		expect(await run(WRITE)).toMatchObject({kind: 'refused', refusal: {code: 'in_doubt'}});
		expect(fixture.seen).toHaveLength(1);
	});

	test('a read whose answer was lost is read elsewhere', async () => {
		const fixture = createTestServices(createRoute('bounded_staleness'));
		fixture.positions.applyPrimaryPoint('g', 1, {term: 1, position: 50n}, fixture.clock.readNow());
		fixture.script = ({database}) => database === 'db-2' ? {kind: 'silent'} : undefined;
		const {run} = startSession(fixture);
		expect(await run(READ)).toMatchObject({kind: 'answer'});
		expect(new Set(fixture.seen.map(({database}) => database)).size).toBe(2);
	});

	test('a write that nobody can prove is not acknowledged', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		fixture.isProven = false;
		expect(await run(WRITE)).toMatchObject({kind: 'refused', refusal: {code: 'in_doubt'}});
	});

	test('a write waits for its proof, and then is acknowledged', async () => {
		const fixture = createTestServices();
		fixture.isProven = false;
		fixture.clock.registerTimer(fixture.clock.readNow() + 200, () => {
			fixture.isProven = true;
		});
		const {run} = startSession(fixture);
		expect(await run(WRITE)).toMatchObject({kind: 'answer'});
	});

	test('a write is at work on its primary until it is acknowledged', async () => {
		const fixture = createTestServices();
		fixture.isProven = false;
		const counts: number[] = [];
		fixture.clock.registerTimer(fixture.clock.readNow() + 100, () => {
			counts.push(fixture.countPrimaryWork());
			fixture.isProven = true;
		});
		const {run} = startSession(fixture);
		expect(await run(WRITE)).toMatchObject({kind: 'answer'});
		expect([...counts, fixture.countPrimaryWork()]).toEqual([1, 0]);
		fixture.script = () => ({kind: 'lost'});
		await run(WRITE);
		expect(fixture.countPrimaryWork()).toBe(0);
	});

	test('a failure of a write that ran is passed on', async () => {
		const fixture = createTestServices();
		fixture.script = () => ({kind: 'error', code: 'failed'});
		const {run} = startSession(fixture);
		expect(await run(WRITE)).toMatchObject({kind: 'answer', body: 'ERROR failed\r\n'});
		expect(fixture.seen).toHaveLength(1);
	});
});

describe('a read that may be old', () => {
	test('goes to a replica with the oldest point that is new enough', async () => {
		const fixture = createTestServices(createRoute('bounded_staleness'));
		const now = fixture.clock.readNow();
		[[now - 2000, 10n], [now - 1400, 20n], [now - 100, 30n]].forEach(([seenAt, position]) => {
			fixture.positions.applyPrimaryPoint('g', 1, {term: 1, position: position as bigint}, seenAt as number);
		});
		const {run} = startSession(fixture);
		await run(READ);
		expect(fixture.seen[0]).toMatchObject({command: {kind: 'forward', after: {term: 1, position: 20n}}});
		expect(fixture.seen[0]!.database).not.toBe('db-1');
	});

	test('goes to the primary when no point is known that is new enough', async () => {
		const fixture = createTestServices(createRoute('bounded_staleness'));
		fixture.positions.applyPrimaryPoint('g', 1, {term: 1, position: 10n}, fixture.clock.readNow() - 2000);
		const {run} = startSession(fixture);
		await run(READ);
		expect(readKinds(fixture)).toEqual(['db-1 forward']);
	});

	test('goes on to the next database when a replica lags', async () => {
		const fixture = createTestServices(createRoute('bounded_staleness'));
		fixture.positions.applyPrimaryPoint('g', 1, {term: 1, position: 10n}, fixture.clock.readNow());
		fixture.script = ({database}) => database === 'db-1' ? undefined : {kind: 'error', code: 'lagging'};
		const {run} = startSession(fixture);
		expect(await run(READ)).toMatchObject({kind: 'answer'});
		expect(fixture.seen.at(-1)!.database).toBe('db-1');
	});

	test('includes the session\'s own commits on a route that reads its own writes', async () => {
		const fixture = createTestServices(createRoute('read_your_writes'));
		fixture.positions.applyPrimaryPoint('g', 1, {term: 1, position: 10n}, fixture.clock.readNow());
		fixture.script = ({database}) => ({kind: 'complete', position: database === 'db-1' ? 77n : 90n});
		const {run} = startSession(fixture);
		await run(WRITE);
		await run(READ);
		expect(fixture.seen[1]).toMatchObject({command: {after: {term: 1, position: 77n}}});
	});

	test('needs no proven primary', async () => {
		const fixture = createTestServices(createRoute('bounded_staleness'));
		fixture.positions.applyPrimaryPoint('g', 1, {term: 1, position: 10n}, fixture.clock.readNow());
		fixture.primary = undefined;
		const {run} = startSession(fixture);
		expect(await run(READ)).toMatchObject({kind: 'answer'});
	});
});

describe('a transaction', () => {
	test('is begun with its first statement, stays on one connection, and is committed there', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		expect(await run(BEGIN)).toEqual({kind: 'done', state: 'open'});
		expect(fixture.seen).toEqual([]);
		expect(await run(READ)).toMatchObject({state: 'open'});
		expect(await run(WRITE)).toMatchObject({state: 'open'});
		expect(await run(COMMIT)).toMatchObject({kind: 'answer', state: 'idle'});
		expect(readKinds(fixture)).toEqual(['db-1 begin', 'db-1 forward', 'db-1 forward', 'db-1 forward']);
		expect(new Set(fixture.seen.map(({connection}) => connection)).size).toBe(1);
		expect(fixture.countPrimaryWork()).toBe(0);
	});

	test('that was only begun needs no database to roll back', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		await run(BEGIN);
		expect(await run(ROLLBACK)).toEqual({kind: 'done', state: 'idle'});
		expect(fixture.seen).toEqual([]);
	});

	test('that loses its connection is over, and says that nothing was kept', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		await run(BEGIN);
		await run(WRITE);
		fixture.script = () => ({kind: 'lost'});
		expect(await run(WRITE)).toMatchObject({kind: 'refused', refusal: {code: 'aborted'}, state: 'failed'});
		expect(await run(READ)).toMatchObject({refusal: {code: 'malformed'}, state: 'failed'});
		expect(await run(ROLLBACK)).toEqual({kind: 'done', state: 'idle'});
	});

	test('whose commit got no answer is in doubt if it wrote, and not run if it did not', async () => {
		for (const [action, code] of [[WRITE, 'in_doubt'], [READ, 'aborted']] as const) {
			const fixture = createTestServices();
			const {run} = startSession(fixture);
			await run(BEGIN);
			await run(action);
			fixture.script = () => ({kind: 'lost'});
			expect(await run(COMMIT)).toMatchObject({kind: 'refused', refusal: {code}, state: 'idle'});
		}
	});

	test('whose primary was replaced before the proof is in doubt', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		await run(BEGIN);
		await run(WRITE);
		fixture.isProven = false;
		fixture.isReplaced = true;
		expect(await run(COMMIT)).toMatchObject({kind: 'refused', refusal: {code: 'in_doubt'}});
	});

	test('that only reads may begin on a replica that is new enough, without sending anything before it has begun', async () => {
		const fixture = createTestServices(createRoute('bounded_staleness'));
		fixture.positions.applyPrimaryPoint('g', 1, {term: 1, position: 10n}, fixture.clock.readNow());
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

	test('whose database was too busy for a statement repeats it there', async () => {
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

	test('is rolled back when its caller leaves, and the connection serves others', async () => {
		const fixture = createTestServices();
		const first = startSession(fixture);
		await first.run(BEGIN);
		await first.run(WRITE);
		first.stop();
		await runToEnd(fixture.clock, new Promise<void>(resolve => {
			fixture.clock.registerTimer(fixture.clock.readNow() + 50, resolve);
		}));
		expect(readKinds(fixture).at(-1)).toBe('db-1 rollback');
		expect(fixture.pools.get('db-1')!.hasIdle('team')).toBe(true);
	});

	test('holds nothing when its caller leaves while it is begun', async () => {
		const fixture = createTestServices();
		const session = createCallerSession({sessionId: 's-1', database: 'shop', key: 'key'}, fixture.services);
		await runToEnd(fixture.clock, session.run(createStatement(BEGIN), 0));
		const first = session.run(createStatement(WRITE), fixture.clock.readNow());
		await Promise.resolve();
		session.stop();
		expect(await runToEnd(fixture.clock, first)).toMatchObject({kind: 'refused'});
		await runToEnd(fixture.clock, new Promise<void>(resolve => {
			fixture.clock.registerTimer(fixture.clock.readNow() + 50, resolve);
		}));
		expect(fixture.countPrimaryWork()).toBe(0);
		expect(fixture.pools.get('db-1')!.countLent()).toBe(0);
	});

	test('that waits for its caller for too long is rolled back', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		await run(BEGIN);
		await run(WRITE);
		await runToEnd(fixture.clock, new Promise<void>(resolve => {
			fixture.clock.registerTimer(fixture.clock.readNow() + 3100, resolve);
		}));
		expect(await run(COMMIT)).toMatchObject({kind: 'refused', refusal: {code: 'aborted'}, state: 'idle'});
	});
});

describe('session values and prepared statements', () => {
	test('are set up on each connection that lacks them, before the statement is sent', async () => {
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
				kind: 'prepare', name: 'wq2c', access: 'write', shape: 'q2c',
			},
			expect.objectContaining({kind: 'execute', name: 'wq2c', arguments: '1a4 data'}),
		]);
		await run({kind: 'execute', name: 's1', arguments: '1a5 data'});
		expect(fixture.seen).toHaveLength(4);
	});

	test('of one session never reach another one on the same connection', async () => {
		const fixture = createTestServices();
		const first = startSession(fixture);
		await first.run({kind: 'set', name: 'zone', value: 'x'});
		await first.run(READ);
		const second = startSession(fixture);
		await second.run(READ);
		expect(fixture.seen.map(({command}) => command.kind)).toEqual(['set', 'forward', 'reset', 'forward']);
	});

	test('that are set inside a transaction are set on its connection at once', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		await run(BEGIN);
		await run(READ);
		expect(await run({kind: 'set', name: 'zone', value: 'x'})).toEqual({kind: 'done', state: 'open'});
		expect(fixture.seen.at(-1)!.command).toEqual({kind: 'set', name: 'zone', value: 'x'});
	});

	test('a name that is not prepared is refused as not run', async () => {
		const {run} = startSession(createTestServices());
		expect(await run({kind: 'execute', name: 'none', arguments: ''})).toMatchObject({kind: 'refused', refusal: {code: 'unknown_statement'}});
	});
});

describe('access and limits', () => {
	test('a withdrawn key ends the session and its transaction', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		await run(BEGIN);
		await run(WRITE);
		fixture.access = 'unknown_key';
		expect(await run(COMMIT)).toMatchObject({kind: 'refused', refusal: {code: 'unknown_key'}, endsSession: true});
		await runToEnd(fixture.clock, new Promise<void>(resolve => {
			fixture.clock.registerTimer(fixture.clock.readNow() + 50, resolve);
		}));
		expect(readKinds(fixture).at(-1)).toBe('db-1 rollback');
	});

	test('contracts that cannot be verified refuse for the moment', async () => {
		const fixture = createTestServices();
		fixture.access = 'unverified';
		expect(await startSession(fixture).run(READ)).toMatchObject({kind: 'refused', refusal: {code: 'busy'}, endsSession: false});
	});

	test('a team over its rate is told when to return, once for each operation', async () => {
		const fixture = createTestServices();
		const {run} = startSession(fixture);
		await run(BEGIN);
		await run(READ);
		fixture.admitsAfterMs = 70;
		expect(await run(READ)).toMatchObject({kind: 'answer'});
		expect(await run(COMMIT)).toMatchObject({kind: 'answer'});
		expect(await run(READ)).toMatchObject({kind: 'refused', refusal: {code: 'busy', retryAfterMs: 70}});
	});
});
