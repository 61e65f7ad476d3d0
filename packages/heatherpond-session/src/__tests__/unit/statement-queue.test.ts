import {describe, expect, test} from '@jest/globals';
import {createFakeClock, type FakeClock} from 'heatherpond-core';
import {
	compareQueued, computeRetryAfter, createStatementQueue, findHopeless, selectNextQueued, UpstreamError, type DatabaseLoad, type QueuedStatement, type StatementQueue,
} from '../../index.js';

const LOAD: DatabaseLoad = {
	statementMs: 20, limit: 5, shareTags: new Map(), lastTag: 0, recentStarts: [], workEndsAt: Number.POSITIVE_INFINITY,
};

function createQueued(change: Partial<QueuedStatement> = {}): QueuedStatement {
	return {
		team: 'team', priority: 1, enqueuedAt: 0, objective: 400, deadline: 800, isContinuation: false, ...change,
	};
}

describe('the order of waiting statements', () => {
	test.each([
		['the next statement of an open transaction, which holds locks', {isContinuation: true, priority: 2}, {priority: 0}],
		['the more urgent class', {priority: 0, objective: 700}, {priority: 2, objective: 300}],
		['one that can still meet its objective', {objective: 300}, {objective: 10}],
		['the team that has had less than its share', {team: 'quiet', objective: 500}, {team: 'pressing', objective: 300}],
		['the objective that comes first', {objective: 300}, {objective: 500}],
		['a less urgent class in time before a late one', {priority: 2, objective: 300}, {priority: 0, objective: 10}],
	])('puts first %s', (_name, first, second) => {
		const load = {...LOAD, shareTags: new Map([['pressing', 100]])};
		const statements = [createQueued(second), createQueued(first)];
		expect(selectNextQueued(statements, 0, load, 1)).toEqual(createQueued(first));
		expect(compareQueued(statements[0]!, statements[1]!, 0, load)).toBeGreaterThan(0);
	});

	test('gives one start in eight to the least urgent class', () => {
		const batch = createQueued({priority: 2});
		expect(selectNextQueued([createQueued({priority: 0}), batch], 0, LOAD, 8)).toBe(batch);
	});

	test('gives up those whose callers will not be there any more, but not an open transaction', () => {
		const hopeless = createQueued({deadline: 10});
		expect(findHopeless([hopeless, createQueued(), createQueued({deadline: 10, isContinuation: true})], 0, LOAD)).toEqual([hopeless]);
	});

	test('spreads the times at which refused callers return around the time at which the queue is empty', () => {
		const waiting = Array.from({length: 50}, () => createQueued());
		expect([0, 0.5, 0.99].map(draw => computeRetryAfter(waiting, LOAD, () => draw))).toEqual([100, 200, 298]);
	});
});

/** Creates a seeded generator of numbers from 0, inclusive, to 1, exclusive. */
function createRandom(seed: number): () => number {
	let state = seed % 2_147_483_647;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

type Caller = {readonly team: string; readonly priority: number; readonly perSecond: number};
type Outcome = Caller & {readonly kind: 'in_aim' | 'late' | 'refused'; readonly heldMs: number};

const SLOTS = 5;
const STATEMENT_MS = 20;
const AIM_MS = 400;
const DEADLINE_MS = 1000;

/** A database with a few slots; what exceeds them waits inside it, in order of arrival. */
function createDatabase(clock: FakeClock): () => Promise<void> {
	let busy = 0;
	const waiting: Array<() => void> = [];
	return async () => {
		if (busy >= SLOTS) {
			await new Promise<void>(resolve => {
				waiting.push(resolve);
			});
		}

		busy++;
		await new Promise<void>(resolve => {
			clock.registerTimer(clock.readNow() + STATEMENT_MS, resolve);
		});
		busy--;
		waiting.shift()?.();
	};
}

/** Creates the arrival times of a Poisson process, in milliseconds. */
function createArrivals({perSecond}: Caller, seconds: number, random: () => number): readonly number[] {
	const gaps = Array.from({length: Math.ceil(perSecond * seconds * 2)}, () => -Math.log(1 - random()) * 1000 / perSecond);
	return gaps.map((_, index) => gaps.slice(0, index + 1).reduce((sum, gap) => sum + gap, 1)).filter(at => at < seconds * 1000);
}

/** Plays callers whose statements arrive at random, for some seconds of virtual time. */
async function runCallers(callers: readonly Caller[], seconds: number): Promise<readonly Outcome[]> {
	const clock = createFakeClock(0);
	const queue: StatementQueue = createStatementQueue({
		clock, random: () => 0.5, readLimit: () => SLOTS + 1, readWorkEnd: () => Number.POSITIVE_INFINITY,
	});
	const runOnDatabase = createDatabase(clock);
	const outcomes: Outcome[] = [];
	const random = createRandom(20_261_204);
	async function runStatement(caller: Caller): Promise<void> {
		const arrivedAt = clock.readNow();
		try {
			const end = await queue.acquire(createQueued({
				team: caller.team, priority: caller.priority, enqueuedAt: arrivedAt, objective: arrivedAt + AIM_MS, deadline: arrivedAt + DEADLINE_MS,
			}), new AbortController().signal);
			await runOnDatabase();
			end(true);
			const heldMs = clock.readNow() - arrivedAt;
			outcomes.push({...caller, kind: heldMs <= AIM_MS ? 'in_aim' : 'late', heldMs});
		} catch (error) {
			expect(error).toBeInstanceOf(UpstreamError);
			outcomes.push({...caller, kind: 'refused', heldMs: clock.readNow() - arrivedAt});
		}
	}

	callers.forEach(caller => {
		createArrivals(caller, seconds, random).forEach(at => {
			clock.registerTimer(at, () => {
				void runStatement(caller);
			});
		});
	});
	while (clock.readNow() < (seconds * 1000) + (DEADLINE_MS * 2)) {
		clock.advanceBy(2);
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}

	return outcomes;
}

function countShare(outcomes: readonly Outcome[], isMet: (outcome: Outcome) => boolean): number {
	return outcomes.filter(outcome => isMet(outcome)).length / outcomes.length;
}

describe('a database that gets twice what it can run', () => {
	/** The database runs 250 statements a second. */
	const CALLERS: readonly Caller[] = [
		{team: 'writer', priority: 0, perSecond: 60},
		{team: 'reader', priority: 1, perSecond: 100},
		{team: 'batch', priority: 2, perSecond: 340},
	];

	test('serves as much as it can run, the urgent classes within their aim, and refuses the rest early', async () => {
		const outcomes = await runCallers(CALLERS, 4);
		const served = outcomes.filter(({kind}) => kind !== 'refused');
		expect(served.length).toBeGreaterThanOrEqual(0.95 * 250 * 4);
		expect(countShare(outcomes.filter(({priority}) => priority === 0), ({kind}) => kind === 'in_aim')).toBeGreaterThan(0.95);
		expect(countShare(outcomes.filter(({priority}) => priority === 1), ({kind}) => kind === 'in_aim')).toBeGreaterThan(0.9);
		const heldMs = outcomes.filter(({kind}) => kind === 'refused').map(outcome => outcome.heldMs).toSorted((left, right) => left - right);
		expect(heldMs.at(Math.floor(heldMs.length / 2))!).toBeLessThan(20);
	});

	test('starves no class', async () => {
		const outcomes = await runCallers([{team: 'urgent', priority: 0, perSecond: 400}, {team: 'batch', priority: 2, perSecond: 40}], 4);
		expect(countShare(outcomes.filter(({team}) => team === 'batch'), ({kind}) => kind !== 'refused')).toBeGreaterThan(0.2);
	});
});

describe('a team that presses', () => {
	test('leaves the others within their aim, with a p99 under 1.2 times that without it', async () => {
		const others: readonly Caller[] = ['a', 'b', 'c', 'd'].map(team => ({team, priority: 1, perSecond: 40}));
		const calm = await runCallers(others, 4);
		const pressed = await runCallers([...others, {team: 'pressing', priority: 1, perSecond: 320}], 4);
		function readP99(outcomes: readonly Outcome[]): number {
			const heldMs = outcomes.filter(({team}) => team !== 'pressing').map(outcome => outcome.heldMs).toSorted((left, right) => left - right);
			return heldMs.at(Math.floor(heldMs.length * 0.99))!;
		}

		const others99 = readP99(pressed);
		expect(countShare(pressed.filter(({team}) => team !== 'pressing'), ({kind}) => kind === 'in_aim')).toBeGreaterThan(0.99);
		expect(others99).toBeLessThanOrEqual(readP99(calm) * 1.2);
	});
});

describe('a waiting statement', () => {
	test('ends its wait at once when its caller leaves', async () => {
		const clock = createFakeClock(0);
		const queue = createStatementQueue({
			clock, random: () => 0.5, readLimit: () => 1, readWorkEnd: () => Number.POSITIVE_INFINITY,
		});
		const end = await queue.acquire(createQueued(), new AbortController().signal);
		const caller = new AbortController();
		const turn = queue.acquire(createQueued(), caller.signal);
		caller.abort('left');
		await expect(turn).rejects.toMatchObject({failure: 'cancelled', wasSent: false});
		end(true);
		expect([queue.countRunning(), queue.countWaiting()]).toEqual([0, 0]);
	});

	test('is refused at its deadline, as not sent', async () => {
		const clock = createFakeClock(0);
		const queue = createStatementQueue({
			clock, random: () => 0.5, readLimit: () => 1, readWorkEnd: () => Number.POSITIVE_INFINITY,
		});
		await queue.acquire(createQueued(), new AbortController().signal);
		const turn = queue.acquire(createQueued({deadline: 100}), new AbortController().signal);
		clock.advanceBy(100);
		await expect(turn).rejects.toMatchObject({failure: 'overloaded', wasSent: false});
	});

	test('counts once however often it ends', async () => {
		const queue = createStatementQueue({
			clock: createFakeClock(0), random: () => 0.5, readLimit: () => 1, readWorkEnd: () => Number.POSITIVE_INFINITY,
		});
		const end = await queue.acquire(createQueued(), new AbortController().signal);
		end(true);
		end(true);
		expect(queue.countRunning()).toBe(0);
	});
});
