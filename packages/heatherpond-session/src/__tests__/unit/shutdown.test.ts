/** Every statement is answered when its host stops, wherever it waits. */
import {describe, expect, test} from '@jest/globals';
import {createFakeClock} from 'heatherpond-core';
import {
	createClientSession, createStatementQueue, findUnservable, type ClientSession, type DatabaseLoad, type QueuedStatement, type SessionReply, type StatementAction,
} from '../../index.js';
import {
	createRoute, createStatement, createTestServices, runUntilSettled, type TestServices,
} from '../support/test-services.js';

const WRITE: StatementAction = {kind: 'data', access: 'write'};
const READ: StatementAction = {kind: 'data', access: 'read'};
const BEGIN: StatementAction = {kind: 'begin', isReadOnly: false};
const COMMIT: StatementAction = {kind: 'commit'};
/** Timeout of the route, in milliseconds; the pages set no limit. */
const TIMEOUT_MS = 60_000;

function createFixture(): TestServices {
	return createTestServices({...createRoute(), timeoutMs: TIMEOUT_MS, targetLatencyMs: TIMEOUT_MS});
}

function createSession({services}: TestServices, sessionId = 'session'): ClientSession {
	return createClientSession({sessionId, database: 'shop', key: 'key'}, services);
}

/** Sends a statement, lets it go as far as it can for some time, and returns its reply to be. */
async function startStatement({clock}: TestServices, session: ClientSession, action: StatementAction, text?: string): Promise<{readonly reply: Promise<SessionReply>}> {
	const reply = session.run(createStatement(action, text), clock.readNow());
	await runUntilSettled(clock, new Promise<void>(resolve => {
		clock.registerTimer(clock.readNow() + 3, resolve);
	}));
	return {reply};
}

async function run(fixture: TestServices, session: ClientSession, action: StatementAction, text?: string): Promise<SessionReply> {
	return runUntilSettled(fixture.clock, session.run(createStatement(action, text), fixture.clock.readNow()));
}

function countSent({seen}: TestServices, text: string): number {
	return seen.filter(({command}) => command.kind === 'forward' && command.text === text).length;
}

/** Waits in which a statement stays until something changes, each with what brings it about. */
const WAITS: ReadonlyArray<readonly [string, (fixture: TestServices) => Promise<void>]> = [
	['its turn at the database', async fixture => {
		fixture.statementLimit = 1;
		fixture.script = ({command}) => command.kind === 'forward' && command.text === 'of other' ? {kind: 'silent'} : undefined;
		await startStatement(fixture, createSession(fixture, 'other'), WRITE, 'of other');
	}],
	['a connection', async fixture => {
		fixture.script = ({command}) => command.kind === 'forward' && command.text === 'of other' ? {kind: 'silent'} : undefined;
		await Promise.all(Array.from({length: 4}, async (_, index) => startStatement(fixture, createSession(fixture, `other-${index}`), WRITE, 'of other')));
	}],
	['a primary', async fixture => {
		fixture.primary = undefined;
	}],
	['another attempt at a busy database', async fixture => {
		fixture.script = ({command}) => command.kind === 'forward' && command.text === 'mine' ? {kind: 'error', code: 'busy'} : undefined;
	}],
];

describe('a host that stops its work', () => {
	// Guards against statements whose connections are closed without an answer when the process ends.
	test.each(WAITS)('refuses a statement that waits for %s at once, as not run, with a time to return', async (_, hold) => {
		const fixture = createFixture();
		const session = createSession(fixture);
		await hold(fixture);
		const {reply} = await startStatement(fixture, session, WRITE, 'mine');
		const stoppedAt = fixture.clock.readNow();
		session.stopWork();
		const {refusal} = await runUntilSettled(fixture.clock, reply) as Extract<SessionReply, {kind: 'refused'}>;
		expect(refusal.code).toBe('busy');
		expect(refusal.retryAfterMs).toBeGreaterThan(0);
		expect(fixture.clock.readNow() - stoppedAt).toBeLessThan(100);
	});

	test('lets a write that has been sent end, and acknowledges it', async () => {
		const fixture = createFixture();
		const session = createSession(fixture);
		const {reply} = await startStatement(fixture, session, WRITE, 'mine');
		session.stopWork();
		expect(await runUntilSettled(fixture.clock, reply)).toMatchObject({kind: 'answer', isError: false});
	});

	test('refuses statements and transactions that arrive later, as not run', async () => {
		const fixture = createFixture();
		const session = createSession(fixture);
		session.stopWork();
		expect(await run(fixture, session, WRITE, 'mine')).toMatchObject({kind: 'refused', refusal: {code: 'busy'}, state: 'idle'});
		await run(fixture, session, BEGIN);
		expect(await run(fixture, session, READ, 'mine')).toMatchObject({kind: 'refused', refusal: {code: 'busy'}, state: 'idle'});
		expect(countSent(fixture, 'mine')).toBe(0);
	});
});

describe('a host that ends its statements', () => {
	test.each([
		['a write, whose outcome is unknown', WRITE, 'in_doubt'], ['a read, of which nothing is kept', READ, 'busy'],
	] as const)('answers %s, while a database still runs it', async (_, action, code) => {
		const fixture = createFixture();
		const session = createSession(fixture);
		fixture.script = ({command}) => command.kind === 'forward' && command.text === 'mine' ? {kind: 'silent'} : undefined;
		const {reply} = await startStatement(fixture, session, action, 'mine');
		const endedAt = fixture.clock.readNow();
		session.endStatement();
		expect(await runUntilSettled(fixture.clock, reply)).toMatchObject({kind: 'refused', refusal: {code}});
		expect(fixture.clock.readNow() - endedAt).toBeLessThan(100);
		expect(countSent(fixture, 'mine')).toBe(1);
	});

	test('answers a write that waits for the confirmation of its primary as in doubt', async () => {
		const fixture = createFixture();
		const session = createSession(fixture);
		fixture.isProven = false;
		const {reply} = await startStatement(fixture, session, WRITE, 'mine');
		await runUntilSettled(fixture.clock, new Promise<void>(resolve => {
			fixture.clock.registerTimer(fixture.clock.readNow() + 50, resolve);
		}));
		session.endStatement();
		expect(await runUntilSettled(fixture.clock, reply)).toMatchObject({kind: 'refused', refusal: {code: 'in_doubt'}});
	});
});

describe('a host that ends its transactions', () => {
	// Guards against commits in doubt for want of the milliseconds that the database needs to answer.
	test('lets a COMMIT that is under way end', async () => {
		const fixture = createFixture();
		const session = createSession(fixture);
		await run(fixture, session, BEGIN);
		await run(fixture, session, WRITE, 'first');
		const {reply} = await startStatement(fixture, session, COMMIT, 'COMMIT');
		session.abort('the host is shutting down');
		expect(await runUntilSettled(fixture.clock, reply)).toMatchObject({kind: 'answer', isError: false, state: 'idle'});
	});
});

describe('a queue whose host stops', () => {
	function createQueued(change: Partial<QueuedStatement> = {}): QueuedStatement {
		return {
			team: 'team', priority: 1, enqueuedAt: 0, objective: 400, deadline: TIMEOUT_MS, isContinuation: false, ...change,
		};
	}

	test('refuses by their place in the order those that cannot have been run by its end', () => {
		const load: DatabaseLoad = {
			statementMs: 20, limit: 2, shareTags: new Map(), lastTag: 0, recentStarts: [], workEndsAt: 100,
		};
		const waiting = Array.from({length: 14}, (_, index) => createQueued({objective: 200 + index, isContinuation: index === 13}));
		expect(findUnservable(waiting, 50, load).map(({objective}) => objective)).toEqual([203, 204, 205, 206, 207, 208, 209, 210, 211, 212]);
		expect(findUnservable(waiting, 50, {...load, workEndsAt: Number.POSITIVE_INFINITY})).toEqual([]);
	});

	test('refuses them when it begins to stop, and runs the others', async () => {
		const clock = createFakeClock(0);
		let workEndsAt = Number.POSITIVE_INFINITY;
		const queue = createStatementQueue({
			clock, random: () => 0.5, readLimit: () => 1, readWorkEnd: () => workEndsAt,
		});
		const {signal} = new AbortController();
		const end = await queue.acquire(createQueued(), signal);
		const turns = Array.from({length: 8}, async () => queue.acquire(createQueued(), signal));
		const settled = Promise.allSettled(turns.slice(3));
		await Promise.resolve();
		expect(queue.countWaiting()).toBe(8);
		workEndsAt = 16;
		queue.refuseUnservable();
		expect(queue.countWaiting()).toBe(3);
		const results = await settled;
		results.forEach(result => {
			expect(result).toMatchObject({status: 'rejected', reason: {failure: 'overloaded', wasSent: false}});
		});
		end(false);
		for (const turn of turns.slice(0, 3)) {
			const endTurn = await turn;
			endTurn(false);
		}

		expect([queue.countRunning(), queue.countWaiting()]).toEqual([0, 0]);
	});
});
