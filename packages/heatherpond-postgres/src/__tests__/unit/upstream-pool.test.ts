import {
	afterEach, beforeEach, describe, expect, test,
} from '@jest/globals';
import {createFakeClock, type FakeClock} from 'heatherpond-core';
import {
	applyPooledEvent, OPENED, type PooledEvent, type PooledState,
} from '../../pooled-connection.js';
import {createUpstreamPool, type UpstreamPool} from '../../upstream-pool.js';
import type {UpstreamConnection} from '../../upstream-connection.js';
import {UpstreamError} from '../../postgres-error.js';

type FakeConnection = UpstreamConnection & {readonly close: () => void};

let clock: FakeClock;
let opened: FakeConnection[];
let cap: number;
let isLeaving: boolean;
let isRefusing: boolean;
let isSilent: boolean;
let pool: UpstreamPool;
const stop = new AbortController();

function createFakeConnection(): FakeConnection {
	const listeners: Array<() => void> = [];
	let isOpen = true;
	function close(): void {
		if (isOpen) {
			isOpen = false;
			listeners.forEach(listener => {
				listener();
			});
		}
	}

	return {
		member: {
			name: 'a', host: '', port: 1, domain: 'd', slots: 1, connections: 1,
		},
		statements: {named: new Set(), unnamed: undefined, variables: ''},
		async exchange(_messages, _onFrame, deadline) {
			return new Promise((resolve, reject) => {
				if (!isSilent) {
					resolve({status: 'I', point: {term: 0, position: 0n}});
				}

				clock.registerTimer(deadline, () => {
					reject(new UpstreamError('silent'));
				});
			});
		},
		isOpen: () => isOpen,
		countFrames: () => 0,
		pause: () => undefined,
		resume: () => undefined,
		registerCloseListener(listener) {
			listeners.push(listener);
		},
		destroy: close,
		close,
	};
}

beforeEach(() => {
	clock = createFakeClock();
	opened = [];
	cap = 1;
	isLeaving = false;
	isRefusing = false;
	isSilent = false;
	pool = createUpstreamPool({
		clock,
		async open() {
			if (isRefusing) {
				throw new UpstreamError('refused');
			}

			const connection = createFakeConnection();
			opened.push(connection);
			return connection;
		},
		readCap: () => cap,
		isLeaving: () => isLeaving,
	});
});

afterEach(() => {
	expect(pool.countOpen()).toBeLessThanOrEqual(opened.filter(connection => connection.isOpen()).length);
});

async function waitForTurn(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

describe('a pool', () => {
	test('counts a connection off that dies while idle, and opens another', async () => {
		const loan = await pool.acquire({deadline: 100, signal: stop.signal});
		loan.release(true);
		opened[0]!.close();
		expect([pool.countOpen(), pool.countIdle()]).toEqual([0, 0]);
		await pool.acquire({deadline: 100, signal: stop.signal});
		expect(opened).toHaveLength(2);
	});

	test('does not lose the room that a waiter left when its time was over', async () => {
		const loan = await pool.acquire({deadline: 100, signal: stop.signal});
		const late = pool.acquire({deadline: 50, signal: stop.signal});
		const next = pool.acquire({deadline: 100, signal: stop.signal});
		clock.advanceTo(60);
		await expect(late).rejects.toThrow('no connection became free in time');
		loan.release(true);
		await expect(next).resolves.toMatchObject({connection: opened[0]});
	});

	test('gives a freed connection to the one that waits, not to the one that comes later', async () => {
		const loan = await pool.acquire({deadline: 100, signal: stop.signal});
		const order: string[] = [];
		const first = (async () => {
			const own = await pool.acquire({deadline: 100, signal: stop.signal});
			order.push('first');
			own.release(true);
		})();
		loan.release(true);
		const second = (async () => {
			await pool.acquire({deadline: 100, signal: stop.signal});
			order.push('second');
		})();
		await Promise.all([first, second]);
		expect(order).toEqual(['first', 'second']);
	});

	test('honours the abort of a wait', async () => {
		await pool.acquire({deadline: 100, signal: stop.signal});
		const caller = new AbortController();
		const waiting = pool.acquire({deadline: 100, signal: caller.signal});
		caller.abort();
		await expect(waiting).rejects.toThrow('given up');
	});

	test('has room again after a connection could not be opened', async () => {
		isRefusing = true;
		await expect(pool.acquire({deadline: 100, signal: stop.signal})).rejects.toThrow('refused');
		isRefusing = false;
		await expect(pool.acquire({deadline: 100, signal: stop.signal})).resolves.toBeDefined();
		expect(pool.countOpen()).toBe(1);
	});

	test('destroys a connection in doubt, and one more waiter gets a new one', async () => {
		const loan = await pool.acquire({deadline: 100, signal: stop.signal});
		const next = pool.acquire({deadline: 100, signal: stop.signal});
		loan.release(false);
		await expect(next).resolves.toMatchObject({connection: opened[1]});
		expect([opened[0]!.isOpen(), pool.countOpen()]).toEqual([false, 1]);
	});

	test('destroys an idle connection that does not answer a ping', async () => {
		const loan = await pool.acquire({deadline: 100, signal: stop.signal});
		loan.release(true);
		isSilent = true;
		void pool.checkIdle(0);
		clock.advanceBy(1000);
		await waitForTurn();
		expect([opened[0]!.isOpen(), pool.countOpen()]).toEqual([false, 0]);
	});

	test('keeps an idle connection that answers a ping', async () => {
		const loan = await pool.acquire({deadline: 100, signal: stop.signal});
		loan.release(true);
		void pool.checkIdle(0);
		await waitForTurn();
		expect([pool.countIdle(), pool.countOpen()]).toEqual([1, 1]);
	});

	test('closes idle connections of a leaving database, and those in use when they come back', async () => {
		cap = 2;
		const [idle, used] = await Promise.all([pool.acquire({deadline: 100, signal: stop.signal}), pool.acquire({deadline: 100, signal: stop.signal})]);
		idle.release(true);
		isLeaving = true;
		pool.refresh();
		expect(pool.countOpen()).toBe(1);
		used.release(true);
		expect(pool.countOpen()).toBe(0);
	});

	test.each<[string, PooledEvent[]]>([
		['lent twice', [{type: 'return', at: 1}, {type: 'lend'}, {type: 'lend'}]],
		['lent while it is checked', [{type: 'return', at: 1}, {type: 'check'}, {type: 'lend'}]],
		['given back twice', [{type: 'return', at: 1}, {type: 'return', at: 1}]],
		['lent after it has closed', [{type: 'close'}, {type: 'lend'}]],
	])('never has a connection %s', (_name, events) => {
		expect(() => events.reduce<PooledState>((state, event) => applyPooledEvent(state, event), OPENED)).toThrow('connection_owner');
	});

	test('serves a waiter when the cap grows, and shrinks to a smaller one', async () => {
		const first = await pool.acquire({deadline: 100, signal: stop.signal});
		const waiting = pool.acquire({deadline: 100, signal: stop.signal});
		cap = 2;
		pool.refresh();
		const second = await waiting;
		cap = 1;
		first.release(true);
		second.release(true);
		expect(pool.countOpen()).toBe(1);
	});
});
