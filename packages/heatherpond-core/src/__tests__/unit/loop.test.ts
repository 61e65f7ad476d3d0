import {describe, expect, test} from '@jest/globals';
import {createFakeClock} from '../../fake-clock.js';
import {startLoop} from '../../loop.js';

async function runPendingPromises(): Promise<void> {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
}

describe('startLoop', () => {
	test('runs a step at the deadline that the previous one returned', async () => {
		const clock = createFakeClock(0);
		const startedAt: number[] = [];
		startLoop(clock, async () => {
			startedAt.push(clock.readNow());
			return clock.readNow() + 100;
		}, new AbortController().signal);
		await runPendingPromises();
		clock.advanceTo(99);
		await runPendingPromises();
		expect(startedAt).toEqual([0]);
		clock.advanceTo(100);
		await runPendingPromises();
		expect(startedAt).toEqual([0, 100]);
	});

	test('runs the next step at once when it is woken, also during a step', async () => {
		const clock = createFakeClock(0);
		let steps = 0;
		let finishStep = (): void => undefined;
		const loop = startLoop(clock, async () => {
			steps++;
			await new Promise<void>(resolve => {
				finishStep = resolve;
			});
			return Number.POSITIVE_INFINITY;
		}, new AbortController().signal);
		loop.wake();
		finishStep();
		await runPendingPromises();
		expect(steps).toBe(2);
		finishStep();
		await runPendingPromises();
		expect(steps).toBe(2);
		loop.wake();
		await runPendingPromises();
		expect(steps).toBe(3);
	});

	test('ends when the signal aborts', async () => {
		const clock = createFakeClock(0);
		const lifetime = new AbortController();
		let steps = 0;
		startLoop(clock, async () => {
			steps++;
			return clock.readNow() + 10;
		}, lifetime.signal);
		lifetime.abort();
		await runPendingPromises();
		clock.advanceTo(1000);
		await runPendingPromises();
		expect(steps).toBe(1);
	});
});
