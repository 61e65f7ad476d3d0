import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import type {HybridTime} from 'heatherpond-core';
import {
	compareHybridTimes, createHybridClock, formatHybridTime, parseHybridTime,
} from '../../hybrid-clock.js';

const SEED = 4;

/** One step: the wall clock of a host jumps, the host records an event, and optionally sends a message to another host. */
const stepArbitrary = fc.record({host: fc.integer({min: 0, max: 2}), wallMs: fc.integer({min: 1000, max: 5000}), sendsTo: fc.option(fc.integer({min: 0, max: 2}))});

describe('hybrid logical clock', () => {
	test('an event is ordered after its causes, even when wall clocks jump or differ', () => {
		fc.assert(fc.property(fc.array(stepArbitrary, {maxLength: 60}), steps => {
			const wallClocks = [1000, 1000, 1000];
			const clocks = wallClocks.map((_, index) => createHybridClock(`h${index}`, () => wallClocks[index]!));
			const lastTimes: Array<HybridTime | undefined> = [];
			steps.forEach(({host, wallMs, sendsTo}) => {
				wallClocks[host] = wallMs;
				const at = clocks[host]!.readHybridTime();
				expect(lastTimes[host] === undefined || compareHybridTimes(lastTimes[host], at) < 0).toBe(true);
				lastTimes[host] = at;
				if (sendsTo !== null) {
					clocks[sendsTo]!.applyRemoteTime(at);
					const effect = clocks[sendsTo]!.readHybridTime();
					expect(compareHybridTimes(at, effect)).toBeLessThan(0);
					lastTimes[sendsTo] = effect;
				}
			});
		}), {seed: SEED});
	});

	test('a received timestamp far ahead of the local wall clock is ignored', () => {
		const clock = createHybridClock('h1', () => 1000);
		clock.applyRemoteTime({wallMs: 9_000_000, counter: 0, host: 'h2'});

		expect(clock.readHybridTime().wallMs).toBe(1000);
	});

	test('a timestamp is parsed back from its text, and other text is rejected', () => {
		const time = {wallMs: 1_700_000_000_000, counter: 3, host: 'jhb-a-1'};

		expect(parseHybridTime(formatHybridTime(time))).toEqual(time);
		expect(parseHybridTime('yesterday')).toBeUndefined();
	});
});
