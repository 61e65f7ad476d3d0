import {describe, expect, test} from '@jest/globals';
import {createFakeClock, type FakeClock} from 'heatherpond-core';
import {
	createConnectionPool, createExpiredError, createUpstreamError, type ConnectionPool, type ConnectionHandle, type ConnectionRequest, type UpstreamConnection,
} from '../../index.js';
import {runUntilSettled} from '../support/test-services.js';

const CONNECTION_OPEN_MS = 10;

type Fixture = {
	readonly clock: FakeClock;
	readonly pool: ConnectionPool;
	/** Teams for which connections were opened, in order. */
	readonly opened: string[];
	/** Whether the database rejects further connections. */
	isAtConnectionLimit: boolean;
	maxConnections: number;
	/** Responses of the database. */
	exchange: UpstreamConnection['exchange'];
};

/** Lets promises settle that wait for no clock. */
async function advancePromises(): Promise<void> {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
}

function createFixture(maxConnections: number): Fixture {
	const clock = createFakeClock(0);
	const opened: string[] = [];
	const fixture: Fixture = {
		clock, opened, isAtConnectionLimit: false, maxConnections, exchange: async () => [],
		pool: createConnectionPool({
			clock, readMaxConnections: () => fixture.maxConnections, isDraining: () => false, random: () => 0, writeEvent: () => undefined,
			async open(team) {
				opened.push(team);
				await new Promise<void>(resolve => {
					clock.registerTimer(clock.readNow() + CONNECTION_OPEN_MS, resolve);
				});
				if (fixture.isAtConnectionLimit) {
					throw createUpstreamError('no room', 'too_many', false);
				}

				return createConnection(team, fixture);
			},
		}),
	};
	return fixture;
}

function createConnection(team: string, fixture: Fixture): UpstreamConnection {
	let isOpen = true;
	let listeners: Array<() => void> = [];
	return {
		database: 'db', team, exchange: async (commands, deadline) => fixture.exchange(commands, deadline), isOpen: () => isOpen,
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

function createRequest(team: string, change: Partial<ConnectionRequest> = {}): ConnectionRequest {
	return {
		team, priority: 1, deadline: 10_000, signal: new AbortController().signal, variables: new Map(), ...change,
	};
}

/** Acquires a connection and releases it at once, so that it becomes idle. */
async function useConnection(fixture: Fixture, team: string): Promise<void> {
	const loan = await acquire(fixture, team);
	loan.release();
}

async function acquire({clock, pool}: Fixture, team: string, change?: Partial<ConnectionRequest>): Promise<ConnectionHandle> {
	return runUntilSettled(clock, pool.acquire(createRequest(team, change)));
}

describe('a connection pool', () => {
	test('reuses idle connections of the same team only', async () => {
		const fixture = createFixture(3);
		await useConnection(fixture, 'a');
		await useConnection(fixture, 'b');
		const loan = await acquire(fixture, 'a');
		expect(loan.team).toBe('a');
		expect(fixture.opened).toEqual(['a', 'b']);
	});

	test('at its limit, closes the longest-idle connection to open one for another team', async () => {
		const fixture = createFixture(2);
		await useConnection(fixture, 'a');
		await useConnection(fixture, 'b');
		await acquire(fixture, 'c');
		expect(fixture.pool.hasIdle('a')).toBe(false);
		expect(fixture.pool.hasIdle('b')).toBe(true);
		expect(fixture.pool.countOpen()).toBe(2);
	});

	test('never exceeds its connection limit under concurrent requests of several teams', async () => {
		const fixture = createFixture(3);
		const loans = Array.from({length: 12}, async (_, index) => fixture.pool.acquire(createRequest(`team-${index % 5}`)).then(loan => {
			fixture.clock.registerTimer(fixture.clock.readNow() + 15, () => {
				loan.release();
			});
			expect(fixture.pool.countOpen()).toBeLessThanOrEqual(3);
		}));
		await runUntilSettled(fixture.clock, Promise.all(loans));
		expect(fixture.pool.countInUse()).toBeLessThanOrEqual(3);
	});

	test('serves waiting requests by priority', async () => {
		const fixture = createFixture(1);
		const loan = await acquire(fixture, 'a');
		const order: string[] = [];
		const waits = [['late', 2], ['urgent', 0]].map(async ([name, priority]) => {
			const next = await fixture.pool.acquire(createRequest('a', {priority: priority as number}));
			order.push(name as string);
			next.release();
		});
		loan.release();
		await runUntilSettled(fixture.clock, Promise.all(waits));
		expect(order).toEqual(['urgent', 'late']);
	});

	test('waits briefly for a connection in use by the same team before it opens another', async () => {
		const fixture = createFixture(3);
		const loan = await acquire(fixture, 'a');
		fixture.clock.registerTimer(fixture.clock.readNow() + 10, () => {
			loan.release();
		});
		await acquire(fixture, 'a');
		expect(fixture.opened).toEqual(['a']);
	});

	test('backs off for at least 80 ms after the database rejected a connection over its limit', async () => {
		const fixture = createFixture(3);
		fixture.isAtConnectionLimit = true;
		await expect(acquire(fixture, 'a')).rejects.toMatchObject({failure: 'too_many', wasSent: false});
		expect(fixture.pool.isAtConnectionLimit()).toBe(true);
		const start = fixture.clock.readNow();
		fixture.isAtConnectionLimit = false;
		await acquire(fixture, 'a');
		expect(fixture.clock.readNow() - start).toBeGreaterThanOrEqual(80);
		expect(fixture.opened).toHaveLength(2);
	});

	test('serves other teams with the accepted connections after the database rejected another one', async () => {
		const fixture = createFixture(3);
		const loan = await acquire(fixture, 'a');
		fixture.isAtConnectionLimit = true;
		const wait = fixture.pool.acquire(createRequest('b'));
		fixture.clock.registerTimer(fixture.clock.readNow() + CONNECTION_OPEN_MS + 1, () => {
			fixture.isAtConnectionLimit = false;
		});
		fixture.clock.registerTimer(fixture.clock.readNow() + 100, () => {
			loan.release();
		});
		const second = await runUntilSettled(fixture.clock, wait);
		expect(second.team).toBe('b');
		expect(fixture.opened).toEqual(['a', 'b', 'b']);
		expect(fixture.pool.countOpen()).toBe(1);
	});

	test('rejects a waiting request at its deadline and when it is aborted', async () => {
		const fixture = createFixture(1);
		await acquire(fixture, 'a');
		await expect(acquire(fixture, 'a', {deadline: 100})).rejects.toMatchObject({failure: 'too_many'});
		const lifetime = new AbortController();
		const wait = fixture.pool.acquire(createRequest('a', {signal: lifetime.signal}));
		lifetime.abort();
		await expect(wait).rejects.toMatchObject({failure: 'cancelled'});
		expect(fixture.pool.countWaiting()).toBe(0);
	});

	test('closes idle connections over the limit after the limit was lowered', async () => {
		const fixture = createFixture(3);
		const loans = [await acquire(fixture, 'a'), await acquire(fixture, 'b'), await acquire(fixture, 'c')];
		loans.forEach(loan => {
			loan.release();
		});
		fixture.maxConnections = 1;
		fixture.pool.closeIdle(0);
		expect(fixture.pool.countOpen()).toBe(1);
	});

	test('closes a connection that is released while a response is outstanding, and ignores a second release', async () => {
		const fixture = createFixture(1);
		fixture.exchange = async () => new Promise<never>(() => {
			// The response stays outstanding.
		});
		const loan = await acquire(fixture, 'a');
		void loan.run({
			command: {kind: 'forward', id: 'id', text: 'READ'}, isSentOnce: false, isLast: true, deadline: 10_000,
		});
		await advancePromises();
		loan.release();
		loan.release();
		expect(fixture.pool.countOpen()).toBe(0);
		expect(fixture.pool.countInUse()).toBe(0);
	});

	test('keeps a connection on which a command was not sent any more, because its deadline had passed', async () => {
		const fixture = createFixture(1);
		fixture.exchange = async () => {
			throw createExpiredError();
		};

		const loan = await acquire(fixture, 'a');
		await expect(loan.run({
			command: {kind: 'forward', id: 'id', text: 'WRITE'}, isSentOnce: true, isLast: true, deadline: 0,
		})).rejects.toMatchObject({failure: 'expired', wasSent: false});
		loan.release();
		expect(fixture.pool.hasIdle('a')).toBe(true);
	});

	test('closes a connection whose rollback is not confirmed as idle', async () => {
		const fixture = createFixture(1);
		fixture.exchange = async commands => commands.map(() => ({body: '', outcome: {kind: 'complete'}, state: 'open'}));
		const loan = await acquire(fixture, 'a');
		await loan.run({
			command: {kind: 'forward', id: 'id', text: 'WRITE'}, isSentOnce: false, isLast: false, deadline: 10_000,
		});
		loan.release();
		expect(fixture.pool.countInUse()).toBe(1);
		await advancePromises();
		expect(fixture.pool.countOpen()).toBe(0);
		expect(fixture.pool.countInUse()).toBe(0);
	});
});
