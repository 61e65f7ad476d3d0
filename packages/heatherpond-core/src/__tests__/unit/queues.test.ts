import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {
	applyLatencySample, createAdaptiveLimit, createFairQueue, type AdaptiveLimit, type QueuedItem,
} from '../../index.js';

const SEED = 20_261_203;

function createItem(team: string, weight = 1, cost = 1): QueuedItem {
	return {
		team, weight, cost, bytes: 10,
	};
}

describe('the fair queue', () => {
	test('a team that sends five times as many requests delays only itself', () => {
		const queue = createFairQueue<QueuedItem>();
		Array.from({length: 50}).forEach(() => {
			queue.insert(createItem('noisy'));
		});
		Array.from({length: 10}).forEach(() => {
			queue.insert(createItem('quiet'));
		});
		const first = Array.from({length: 20}, () => queue.take()!.team);
		expect(first.filter(team => team === 'quiet')).toHaveLength(10);
	});

	test('serves backlogged teams in proportion to their weights', () => {
		const queue = createFairQueue<QueuedItem>();
		[4, 2, 1].forEach(weight => {
			Array.from({length: 200}).forEach(() => {
				queue.insert(createItem(`weight-${weight}`, weight));
			});
		});
		const served = Array.from({length: 140}, () => queue.take()!.team);
		expect([4, 2, 1].map(weight => served.filter(team => team === `weight-${weight}`).length)).toEqual([80, 40, 20]);
	});

	test('an item that costs more than the quantum waits for several rounds', () => {
		const queue = createFairQueue<QueuedItem>();
		queue.insert(createItem('expensive', 1, 3));
		Array.from({length: 3}).forEach(() => {
			queue.insert(createItem('cheap'));
		});
		expect(Array.from({length: 4}, () => queue.take()!.team)).toEqual(['cheap', 'cheap', 'expensive', 'cheap']);
	});

	test('neither loses nor duplicates items, keeps the order of each team, and counts its items and bytes', () => {
		const itemArbitrary = fc.record({team: fc.constantFrom('one', 'two', 'three'), weight: fc.constantFrom(0.5, 1, 4), cost: fc.constantFrom(1, 2, 7)});
		fc.assert(fc.property(fc.array(fc.tuple(itemArbitrary, fc.constantFrom('insert', 'take', 'remove')), {maxLength: 60}), steps => {
			const queue = createFairQueue<QueuedItem>();
			const held: QueuedItem[] = [];
			steps.forEach(([fields, action]) => {
				if (action === 'insert') {
					const item = {...fields, bytes: 1};
					queue.insert(item);
					held.push(item);
				} else {
					const removed = action === 'take' ? queue.take() : held.at(-1);
					const oldest = held.find(item => item.team === removed?.team);
					const isRightOne = action === 'take' ? removed === oldest : queue.remove(removed ?? createItem('nobody')) === (removed !== undefined);
					expect(isRightOne).toBe(true);
					held.splice(removed ? held.indexOf(removed) : held.length, 1);
				}
			});
			expect(queue.countItems()).toBe(held.length);
			expect(queue.countTeamBytes('one')).toBe(held.filter(item => item.team === 'one').length);
		}), {seed: SEED, numRuns: 1000});
	});
});

/** Simulates hosts of equal load on a database that runs `slots` statements concurrently and queues the rest. */
function runHosts(hosts: number, slots: number, rounds: number): AdaptiveLimit[] {
	const serviceMs = 5;
	let now = 0;
	let limits = Array.from({length: hosts}, () => createAdaptiveLimit(slots));
	Array.from({length: rounds}).forEach((_value, round) => {
		// The first statement runs alone and measures the latency floor.
		const active = limits.map(state => round === 0 ? 0 : Math.floor(state.limit));
		const atWork = active.reduce((sum, count) => sum + count, 0);
		const latencyMs = serviceMs * Math.max(1, atWork / slots);
		now += latencyMs;
		limits = limits.map((state, index) => applyLatencySample(state, {latencyMs, inFlight: active[index]!, hasFailed: false}, now));
	});
	return limits;
}

describe('the adaptive limit', () => {
	test('grows to all slots for a single host', () => {
		expect(Math.floor(runHosts(1, 3, 200)[0]!.limit)).toBe(3);
	});

	test('shrinks to one statement per host, never below, when hosts outnumber the slots', () => {
		const limits = runHosts(14, 2, 200).map(state => Math.floor(state.limit));
		expect(limits.every(limit => limit === 1)).toBe(true);
	});

	test('decreases on failed statements', () => {
		const full = {...createAdaptiveLimit(8), limit: 8};
		const failed = [0, 10, 20].reduce((state, now) => applyLatencySample(state, {latencyMs: 1, inFlight: 8, hasFailed: true}, now), full);
		expect(failed.limit).toBeLessThan(4);
	});
});
