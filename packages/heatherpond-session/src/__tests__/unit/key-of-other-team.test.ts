/** What becomes of the work of a client whose key is given to another team. */
import {describe, expect, test} from '@jest/globals';
import {
	createClientSession, type ClientSession, type SessionReply, type StatementAction,
} from '../../index.js';
import {
	createRoute, createStatement, createTestServices, runUntilSettled, type TestServices,
} from '../support/test-services.js';

const WRITE: StatementAction = {kind: 'data', access: 'write'};
const READ: StatementAction = {kind: 'data', access: 'read'};
const BEGIN: StatementAction = {kind: 'begin', isReadOnly: false};
const COMMIT: StatementAction = {kind: 'commit'};
const ROLLBACK: StatementAction = {kind: 'rollback'};

function createSession({services}: TestServices, sessionId = 'moved'): ClientSession {
	return createClientSession({sessionId, database: 'shop', key: 'key'}, services);
}

async function run({clock}: TestServices, session: ClientSession, action: StatementAction, text?: string): Promise<SessionReply> {
	return runUntilSettled(clock, session.run(createStatement(action, text), clock.readNow()));
}

function collectTeams({seen}: TestServices, text: string): readonly string[] {
	return seen.filter(({command}) => command.kind === 'forward' && command.text === text).map(({team}) => team);
}

/** Opens a transaction, and gives the key of its client to another team. */
async function openMovedTransaction(fixture: TestServices, begin = BEGIN): Promise<ClientSession> {
	const session = createSession(fixture);
	await run(fixture, session, begin);
	await run(fixture, session, begin === BEGIN ? WRITE : READ, 'first');
	fixture.team = 'next-team';
	return session;
}

describe('a transaction whose client has a key that is given to another team', () => {
	// Guards against a transaction that runs on, and is committed, as the team that had the key before.
	test.each([
		['a write', WRITE, 'failed'],
		['a read', READ, 'failed'],
		['a commit', COMMIT, 'idle'],
		['the setting of a variable', {kind: 'set', name: 'zone', value: '1'}, 'failed'],
	] as const)('is rolled back before %s', async (_, action, state) => {
		const fixture = createTestServices();
		const session = await openMovedTransaction(fixture);
		expect(await run(fixture, session, action, 'next')).toMatchObject({
			kind: 'refused', refusal: {code: 'aborted'}, state, endsSession: false,
		});
		expect(collectTeams(fixture, 'next')).toEqual([]);
		expect(fixture.events).toContain('transaction_team_changed');
		expect(fixture.countWorkOnPrimary()).toBe(0);
	});

	// Guards against the same in a transaction that only reads, on a replica.
	test('is rolled back when it is read-only', async () => {
		const fixture = createTestServices();
		const session = await openMovedTransaction(fixture, {kind: 'begin', isReadOnly: true});
		expect(await run(fixture, session, READ, 'next')).toMatchObject({kind: 'refused', refusal: {code: 'aborted'}});
		expect(collectTeams(fixture, 'next')).toEqual([]);
	});

	test('ends as its client asks when that rolls it back', async () => {
		const fixture = createTestServices();
		const session = await openMovedTransaction(fixture);
		expect(await run(fixture, session, ROLLBACK)).toEqual({kind: 'done', state: 'idle'});
	});

	test('leaves a session that runs its next statements as the new team', async () => {
		const fixture = createTestServices();
		const session = await openMovedTransaction(fixture);
		await run(fixture, session, WRITE, 'next');
		await run(fixture, session, ROLLBACK);
		expect(await run(fixture, session, WRITE, 'after')).toMatchObject({kind: 'answer'});
		expect(collectTeams(fixture, 'after')).toEqual(['next-team']);
	});

	test('is not begun as the old team when the key is given away right after BEGIN', async () => {
		const fixture = createTestServices();
		const session = createSession(fixture);
		await run(fixture, session, BEGIN);
		fixture.team = 'next-team';
		expect(await run(fixture, session, WRITE, 'first')).toMatchObject({kind: 'answer', state: 'open'});
		expect(collectTeams(fixture, 'first')).toEqual(['next-team']);
	});
});

describe('a statement that waits while the key of its client', () => {
	/** Lets a statement wait for its turn at the database, behind another one, and runs `change` meanwhile. */
	async function runWaiting(action: StatementAction, change: (fixture: TestServices) => void): Promise<{readonly fixture: TestServices; readonly reply: SessionReply}> {
		const fixture = createTestServices(createRoute('primary'));
		const session = createSession(fixture);
		if (action.kind === 'commit') {
			await run(fixture, session, BEGIN);
		}

		fixture.statementLimit = 1;
		const other = createSession(fixture, 'other').run(createStatement(WRITE, 'of other'), fixture.clock.readNow());
		await Promise.resolve();
		const waiting = session.run(createStatement(action, 'late'), fixture.clock.readNow());
		await Promise.resolve();
		change(fixture);
		const reply = await runUntilSettled(fixture.clock, waiting);
		await runUntilSettled(fixture.clock, other);
		return {fixture, reply};
	}

	// Guards against a long wait at whose end a statement runs as a team that no longer has the key.
	test('is given to another team does not run', async () => {
		const {fixture, reply} = await runWaiting(WRITE, changed => {
			changed.team = 'next-team';
		});
		expect(reply).toMatchObject({kind: 'refused', refusal: {code: 'aborted'}, state: 'idle'});
		expect(collectTeams(fixture, 'late')).toEqual([]);
		expect(fixture.pools.get('db-1')!.countInUse()).toBe(0);
	});

	// Guards against the same with a key that is withdrawn.
	test('is withdrawn does not run', async () => {
		const {fixture, reply} = await runWaiting(WRITE, changed => {
			changed.access = 'unknown_key';
		});
		expect(reply).toMatchObject({kind: 'refused', refusal: {code: 'aborted'}});
		expect(collectTeams(fixture, 'late')).toEqual([]);
	});

	// What was admitted with verified contracts stays admitted: the verification allows for the wait.
	test('can no longer be verified runs', async () => {
		const {fixture, reply} = await runWaiting(WRITE, changed => {
			changed.access = 'unverified';
		});
		expect(reply).toMatchObject({kind: 'answer'});
		expect(collectTeams(fixture, 'late')).toEqual(['team']);
	});
});
