import {
	afterEach, beforeEach, describe, expect, test,
} from '@jest/globals';
import {createFakeClock, type FakeClock} from 'heatherpond-core';
import {createConnectionStatements} from '../../connection-statements.js';
import {
	applyPooledEvent, INITIAL_STATE, type PooledEvent, type PooledState,
} from '../../pooled-connection.js';
import {createUpstreamPool, type UpstreamPool} from '../../upstream-pool.js';
import type {UpstreamConnection} from '../../upstream-connection.js';
import {UpstreamError} from '../../postgres-error.js';

type FakeConnection = UpstreamConnection & {readonly close: () => void};

let clock: FakeClock;
let opened: FakeConnection[];
let maxConnections: number;
let isDraining: boolean;
let isRefusing: boolean;
let isUnresponsive: boolean;
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
		statements: createConnectionStatements(),
		async exchange(_messages, _onFrame, deadline) {
			return new Promise((resolve, reject) => {
				if (!isUnresponsive) {
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
	maxConnections = 1;
	isDraining = false;
	isRefusing = false;
	isUnresponsive = false;
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
		readMaxConnections: () => maxConnections,
		isDraining: () => isDraining,
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

describe('upstream pool', () => {
	test('stops counting an idle connection that closes, and opens a new one for the next request', async () => {
		const handle = await pool.acquire({deadline: 100, signal: stop.signal});
		handle.release(true);
		opened[0]!.close();
		expect([pool.countOpen(), pool.countIdle()]).toEqual([0, 0]);
		await pool.acquire({deadline: 100, signal: stop.signal});
		expect(opened).toHaveLength(2);
	});

	test('serves the next waiter after an earlier one has timed out', async () => {
		const handle = await pool.acquire({deadline: 100, signal: stop.signal});
		const late = pool.acquire({deadline: 50, signal: stop.signal});
		const next = pool.acquire({deadline: 100, signal: stop.signal});
		clock.advanceTo(60);
		await expect(late).rejects.toThrow('no pooled connection became available by the deadline');
		handle.release(true);
		await expect(next).resolves.toMatchObject({connection: opened[0]});
	});

	test('gives a released connection to the request that was already waiting, not to a later one', async () => {
		const handle = await pool.acquire({deadline: 100, signal: stop.signal});
		const order: string[] = [];
		const first = (async () => {
			const acquired = await pool.acquire({deadline: 100, signal: stop.signal});
			order.push('first');
			acquired.release(true);
		})();
		handle.release(true);
		const second = (async () => {
			await pool.acquire({deadline: 100, signal: stop.signal});
			order.push('second');
		})();
		await Promise.all([first, second]);
		expect(order).toEqual(['first', 'second']);
	});

	test('rejects a waiting request when its signal aborts', async () => {
		await pool.acquire({deadline: 100, signal: stop.signal});
		const waiterAbort = new AbortController();
		const waiting = pool.acquire({deadline: 100, signal: waiterAbort.signal});
		waiterAbort.abort();
		await expect(waiting).rejects.toThrow('wait for a pooled connection was canceled');
	});

	test('frees the slot of a connection that could not be opened', async () => {
		isRefusing = true;
		await expect(pool.acquire({deadline: 100, signal: stop.signal})).rejects.toThrow('refused');
		isRefusing = false;
		await expect(pool.acquire({deadline: 100, signal: stop.signal})).resolves.toBeDefined();
		expect(pool.countOpen()).toBe(1);
	});

	test('destroys a connection that is released unclean, and opens a new one for the waiter', async () => {
		const handle = await pool.acquire({deadline: 100, signal: stop.signal});
		const next = pool.acquire({deadline: 100, signal: stop.signal});
		handle.release(false);
		await expect(next).resolves.toMatchObject({connection: opened[1]});
		expect([opened[0]!.isOpen(), pool.countOpen()]).toEqual([false, 1]);
	});

	test('destroys an idle connection that does not respond to a ping', async () => {
		const handle = await pool.acquire({deadline: 100, signal: stop.signal});
		handle.release(true);
		isUnresponsive = true;
		void pool.pingIdle(0);
		clock.advanceBy(1000);
		await waitForTurn();
		expect([opened[0]!.isOpen(), pool.countOpen()]).toEqual([false, 0]);
	});

	test('keeps an idle connection that responds to a ping', async () => {
		const handle = await pool.acquire({deadline: 100, signal: stop.signal});
		handle.release(true);
		void pool.pingIdle(0);
		await waitForTurn();
		expect([pool.countIdle(), pool.countOpen()]).toEqual([1, 1]);
	});

	test('closes idle connections of a draining database at once, and those in use when they are released', async () => {
		maxConnections = 2;
		const [idle, used] = await Promise.all([pool.acquire({deadline: 100, signal: stop.signal}), pool.acquire({deadline: 100, signal: stop.signal})]);
		idle.release(true);
		isDraining = true;
		pool.refresh();
		expect(pool.countOpen()).toBe(1);
		used.release(true);
		expect(pool.countOpen()).toBe(0);
	});

	test.each<[string, PooledEvent[]]>([
		['acquired by two owners at once', [{type: 'return', at: 1}, {type: 'acquire'}, {type: 'acquire'}]],
		['acquired while it is pinged', [{type: 'return', at: 1}, {type: 'ping'}, {type: 'acquire'}]],
		['released twice', [{type: 'return', at: 1}, {type: 'return', at: 1}]],
		['acquired after it has closed', [{type: 'close'}, {type: 'acquire'}]],
	])('rejects a connection that is %s', (_name, events) => {
		expect(() => events.reduce<PooledState>((state, event) => applyPooledEvent(state, event), INITIAL_STATE)).toThrow('connection_owner');
	});

	test('serves a waiter when the connection limit is raised, and closes surplus connections when it is lowered', async () => {
		const first = await pool.acquire({deadline: 100, signal: stop.signal});
		const waiting = pool.acquire({deadline: 100, signal: stop.signal});
		maxConnections = 2;
		pool.refresh();
		const second = await waiting;
		maxConnections = 1;
		first.release(true);
		second.release(true);
		expect(pool.countOpen()).toBe(1);
	});
});
