import {describe, expect, test} from '@jest/globals';
import {createFakeClock, type FakeClock} from 'heatherpond-core';
import {
	createConnectionPool, createUpstreamError, type ConnectionPool, type Loan, type LoanRequest, type UpstreamConnection,
} from '../../index.js';
import {runToEnd} from '../support/test-services.js';

const OPENING_MS = 10;

type Fixture = {
	readonly clock: FakeClock;
	readonly pool: ConnectionPool;
	readonly opened: string[];
	/** Openings are refused because the database has no room. */
	isFull: boolean;
	cap: number;
};

function createFixture(cap: number): Fixture {
	const clock = createFakeClock(0);
	const opened: string[] = [];
	const fixture: Fixture = {
		clock, opened, isFull: false, cap,
		pool: createConnectionPool({
			clock, readCap: () => fixture.cap, isLeaving: () => false, random: () => 0,
			async open(team) {
				opened.push(team);
				await new Promise<void>(resolve => {
					clock.registerTimer(clock.readNow() + OPENING_MS, resolve);
				});
				if (fixture.isFull) {
					throw createUpstreamError('no room', 'too_many', false);
				}

				return createConnection(team);
			},
		}),
	};
	return fixture;
}

function createConnection(team: string): UpstreamConnection {
	let isOpen = true;
	let listeners: Array<() => void> = [];
	return {
		database: 'db', team, exchange: async () => [], isOpen: () => isOpen,
		destroy() {
			isOpen = false;
			const closed = listeners;
			listeners = [];
			closed.forEach(listener => {
				listener();
			});
		},
		registerCloseListener(listener) {
			listeners.push(listener);
		},
	};
}

function createRequest(team: string, change: Partial<LoanRequest> = {}): LoanRequest {
	return {
		team, priority: 1, deadline: 10_000, signal: new AbortController().signal, variables: new Map(), ...change,
	};
}

/** Lends a connection and takes it back at once. */
async function useConnection(fixture: Fixture, team: string): Promise<void> {
	const loan = await acquire(fixture, team);
	loan.release(true);
}

async function acquire({clock, pool}: Fixture, team: string, change?: Partial<LoanRequest>): Promise<Loan> {
	return runToEnd(clock, pool.acquire(createRequest(team, change)));
}

describe('a pool of connections', () => {
	test('lends a team only its own connections, and again', async () => {
		const fixture = createFixture(3);
		await useConnection(fixture, 'a');
		await useConnection(fixture, 'b');
		const loan = await acquire(fixture, 'a');
		expect(loan.team).toBe('a');
		expect(fixture.opened).toEqual(['a', 'b']);
	});

	test('closes the connection that was idle longest for a team that has none', async () => {
		const fixture = createFixture(2);
		await useConnection(fixture, 'a');
		await useConnection(fixture, 'b');
		await acquire(fixture, 'c');
		expect(fixture.pool.hasIdle('a')).toBe(false);
		expect(fixture.pool.hasIdle('b')).toBe(true);
		expect(fixture.pool.countOpen()).toBe(2);
	});

	test('never has more open than the cap, whatever is asked for', async () => {
		const fixture = createFixture(3);
		const loans = Array.from({length: 12}, async (_, index) => fixture.pool.acquire(createRequest(`team-${index % 5}`)).then(loan => {
			fixture.clock.registerTimer(fixture.clock.readNow() + 15, () => {
				loan.release(true);
			});
			expect(fixture.pool.countOpen()).toBeLessThanOrEqual(3);
		}));
		await runToEnd(fixture.clock, Promise.all(loans));
		expect(fixture.pool.countLent()).toBeLessThanOrEqual(3);
	});

	test('serves the more urgent waiter first', async () => {
		const fixture = createFixture(1);
		const loan = await acquire(fixture, 'a');
		const order: string[] = [];
		const waits = [['late', 2], ['urgent', 0]].map(async ([name, priority]) => {
			const next = await fixture.pool.acquire(createRequest('a', {priority: priority as number}));
			order.push(name as string);
			next.release(true);
		});
		loan.release(true);
		await runToEnd(fixture.clock, Promise.all(waits));
		expect(order).toEqual(['urgent', 'late']);
	});

	test('waits a moment for a connection of the team before it opens another', async () => {
		const fixture = createFixture(3);
		const loan = await acquire(fixture, 'a');
		fixture.clock.registerTimer(fixture.clock.readNow() + 10, () => {
			loan.release(true);
		});
		await acquire(fixture, 'a');
		expect(fixture.opened).toEqual(['a']);
	});

	test('opens nothing for a moment after the database had no room', async () => {
		const fixture = createFixture(3);
		fixture.isFull = true;
		await expect(acquire(fixture, 'a')).rejects.toMatchObject({failure: 'too_many', wasSent: false});
		expect(fixture.pool.isCrowded()).toBe(true);
		const start = fixture.clock.readNow();
		fixture.isFull = false;
		await acquire(fixture, 'a');
		expect(fixture.clock.readNow() - start).toBeGreaterThanOrEqual(80);
		expect(fixture.opened).toHaveLength(2);
	});

	test('gives up at the deadline and with the signal', async () => {
		const fixture = createFixture(1);
		await acquire(fixture, 'a');
		await expect(acquire(fixture, 'a', {deadline: 100})).rejects.toMatchObject({failure: 'too_many'});
		const lifetime = new AbortController();
		const wait = fixture.pool.acquire(createRequest('a', {signal: lifetime.signal}));
		lifetime.abort();
		await expect(wait).rejects.toMatchObject({failure: 'closed'});
		expect(fixture.pool.countWaiting()).toBe(0);
	});

	test('closes what is over the cap once it has come down', async () => {
		const fixture = createFixture(3);
		const loans = [await acquire(fixture, 'a'), await acquire(fixture, 'b'), await acquire(fixture, 'c')];
		loans.forEach(loan => {
			loan.release(true);
		});
		fixture.cap = 1;
		fixture.pool.closeIdle(0);
		expect(fixture.pool.countOpen()).toBe(1);
	});

	test('closes a connection that was not returned clean', async () => {
		const fixture = createFixture(1);
		const loan = await acquire(fixture, 'a');
		loan.release(false);
		loan.release(true);
		expect(fixture.pool.countOpen()).toBe(0);
	});
});
