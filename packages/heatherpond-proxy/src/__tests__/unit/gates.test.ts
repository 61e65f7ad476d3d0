import {
	afterEach, beforeEach, describe, expect, test,
} from '@jest/globals';
import {
	applyLogEntry, contractSchema, createFakeClock, createHostBlackboard, EMPTY_FLEET_VIEW, type Change, type DatabasePermit, type FakeClock, type FleetView, type HostBlackboard, type RequestTicket,
} from 'heatherpond-core';
import {createAllotmentRegistry, type AllotmentRegistry} from '../../controllers/allotment-registry.js';
import {createAllotmentRequestGate, type AllotmentRequestGate} from '../../gates/allotment-request-gate.js';
import {createFairDatabaseGate} from '../../gates/fair-database-gate.js';

const CONTRACT = contractSchema.parse({
	team: 'durban', routes: ['bookings'], rate: 10, burst: 5,
});
const IDENTITY = {
	host: 'jhb-a-1', incarnation: 'run-1', domain: 'jhb-a', deployment: 'kringloop', peerAddress: '127.0.0.1:1',
};
const CHANGES: readonly Change[] = [
	{kind: 'hostRegistered', ...IDENTITY},
	{kind: 'contractApplied', contract: CONTRACT},
	{
		kind: 'groupApplied', group: {
			name: 'group', durability: 'contract', members: [{
				name: 'one', host: '127.0.0.1', port: 1, domain: 'jhb-a', slots: 1, connections: 5,
			}],
		},
	},
];

function appendChange(view: FleetView, change: Change): FleetView {
	return applyLogEntry(view, {
		version: view.version + 1, operationId: 'op', author: 'operator', writtenAt: '', change,
	});
}

let clock: FakeClock;
let blackboard: HostBlackboard;
let stop: AbortController;

beforeEach(() => {
	clock = createFakeClock(1000);
	blackboard = createHostBlackboard(IDENTITY);
	stop = new AbortController();
	const view = CHANGES.reduce((current, change) => appendChange(current, change), EMPTY_FLEET_VIEW);
	blackboard.update(state => ({...state, view, stamp: {version: view.version, verifiedAt: 1000}}));
});

afterEach(() => {
	stop.abort();
});

function createTicket(team: string, fields: Partial<RequestTicket> = {}): RequestTicket {
	return {
		requestId: team, team, contract: CONTRACT, group: 'group', cost: 1, bytes: 10, deadline: clock.readNow() + 5000, signal: stop.signal, ...fields,
	};
}

async function waitForEventLoop(): Promise<void> {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
}

/** Records the outcome of a promise under a name: the name alone, or with the reason of the rejection. */
function recordOutcome(outcomes: string[], name: string, promise: Promise<unknown>): void {
	promise.then(() => {
		outcomes.push(name);
	}, (error: unknown) => {
		outcomes.push(`${name}: ${(error as {reason: string}).reason}`);
	});
}

describe('allotment request gate', () => {
	let registry: AllotmentRegistry;
	let gate: AllotmentRequestGate;
	let isExhausted: boolean;

	beforeEach(() => {
		isExhausted = true;
		registry = createAllotmentRegistry(blackboard, clock);
		gate = createAllotmentRequestGate({
			registry, clock, handleShortage: () => undefined, isExhausted: () => isExhausted, recordEvent: () => undefined,
		});
		registry.update();
		clock.advanceBy(1000);
	});

	test('admits a burst immediately, queues further requests until tokens arrive, and refuses those that would wait too long', async () => {
		const outcomes: string[] = [];
		Array.from({length: 17}).forEach((_value, index) => {
			recordOutcome(outcomes, String(index), gate.admit(createTicket('durban')));
		});
		await waitForEventLoop();
		expect(outcomes).toEqual(['0', '1', '2', '3', '4', '15: over_rate', '16: over_rate']);
		clock.advanceBy(100);
		await waitForEventLoop();
		expect(outcomes.slice(7)).toEqual(['5']);
		clock.advanceBy(900);
		await waitForEventLoop();
		expect(outcomes.slice(7)).toEqual(['5', '6', '7', '8', '9', '10', '11', '12', '13', '14']);
	});

	test('tells a refused request the retry delay that its cost requires', async () => {
		await Promise.all(Array.from({length: 5}, async () => gate.admit(createTicket('durban'))));
		await expect(gate.admit(createTicket('durban', {cost: 12}))).rejects.toMatchObject({reason: 'over_rate', retryAfterMs: 1200});
	});

	test('a request whose client disconnects leaves the queue and takes no token', async () => {
		await Promise.all(Array.from({length: 5}, async () => gate.admit(createTicket('durban'))));
		const gone = new AbortController();
		const outcomes: string[] = [];
		recordOutcome(outcomes, 'gone', gate.admit(createTicket('durban', {signal: gone.signal})));
		recordOutcome(outcomes, 'next', gate.admit(createTicket('durban')));
		gone.abort();
		clock.advanceBy(110);
		await waitForEventLoop();
		expect(outcomes).toEqual(['gone: queue_deadline', 'next']);
	});

	test('requests are refused immediately once the contract of the team is removed', async () => {
		blackboard.update(state => ({...state, view: appendChange(state.view, {kind: 'contractRemoved', team: 'durban'})}));
		registry.update();
		await expect(gate.admit(createTicket('durban'))).rejects.toMatchObject({reason: 'contract_removed'});
	});

	test('a lowered rate applies from the next request on', async () => {
		blackboard.update(state => ({...state, view: appendChange(state.view, {kind: 'contractApplied', contract: {...CONTRACT, rate: 1, burst: 1}})}));
		registry.update();
		await gate.admit(createTicket('durban'));
		clock.advanceBy(500);
		const outcomes: string[] = [];
		recordOutcome(outcomes, 'early', gate.admit(createTicket('durban', {deadline: clock.readNow() + 100})));
		await waitForEventLoop();
		expect(outcomes).toEqual(['early: over_rate']);
	});
});

describe('fair database gate', () => {
	test('alternates between teams and runs one statement at a time on a single slot', async () => {
		const gate = createFairDatabaseGate({blackboard, clock});
		const first = await gate.acquire(createTicket('noisy'), 'one');
		const order: string[] = [];
		const permits: DatabasePermit[] = [];
		['noisy', 'noisy', 'noisy', 'quiet'].forEach(team => {
			gate.acquire(createTicket(team), 'one').then(permit => {
				order.push(team);
				permits.push(permit);
			}, () => undefined);
		});
		first.release('answered');
		await waitForEventLoop();
		permits.at(-1)!.release('answered');
		await waitForEventLoop();
		expect(order).toEqual(['noisy', 'quiet']);
	});

	test('a queued request past its deadline is refused, and the next request gets the released slot', async () => {
		const gate = createFairDatabaseGate({blackboard, clock});
		const first = await gate.acquire(createTicket('noisy'), 'one');
		const outcomes: string[] = [];
		recordOutcome(outcomes, 'late', gate.acquire(createTicket('noisy', {deadline: clock.readNow() + 50}), 'one'));
		recordOutcome(outcomes, 'next', gate.acquire(createTicket('quiet'), 'one'));
		clock.advanceBy(60);
		first.release('answered');
		await waitForEventLoop();
		expect(outcomes).toEqual(['late: queue_deadline', 'next']);
	});

	test('requests still waiting for a draining database after the grace period are refused', async () => {
		const gate = createFairDatabaseGate({blackboard, clock});
		await gate.acquire(createTicket('noisy'), 'one');
		const outcomes: string[] = [];
		recordOutcome(outcomes, 'waiting', gate.acquire(createTicket('quiet'), 'one'));
		blackboard.update(state => ({...state, view: appendChange(state.view, {kind: 'upstreamLeft', group: 'group', database: 'one'})}));
		clock.advanceBy(1000);
		await waitForEventLoop();
		expect(outcomes).toEqual(['waiting: no_upstream']);
	});
});
