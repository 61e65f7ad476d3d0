import {describe, expect, test} from '@jest/globals';
import {createDeferredRecorder, type DeferredRecorder} from '../../deferred-recorder.js';

type Setup = {readonly recorder: DeferredRecorder<number, number[]>; readonly received: number[]; readonly loads: {count: number}; readonly failures: unknown[]};

function createSetup(load?: () => Promise<number[]>): Setup {
	const received: number[] = [];
	const loads = {count: 0};
	const failures: unknown[] = [];
	const recorder = createDeferredRecorder<number, number[]>({
		async load() {
			loads.count++;
			return load ? load() : received;
		},
		record(receiver, observation) {
			receiver.push(observation);
		},
		maxBuffered: 3,
		handleFailure(error) {
			failures.push(error);
		},
	});
	return {
		recorder, received, loads, failures,
	};
}

describe('deferred recorder', () => {
	test('does not load its receiver before it is asked for, and then loses no observation', async () => {
		const {recorder, received, loads} = createSetup();
		recorder.record(1);
		recorder.record(2);
		expect(loads.count).toBe(0);
		await Promise.all([recorder.load(), recorder.load()]);
		recorder.record(3);
		expect(loads.count).toBe(1);
		expect(received).toEqual([1, 2, 3]);
	});

	test('loads its receiver when the buffer is full', async () => {
		const {recorder, received, loads} = createSetup();
		[1, 2, 3, 4].forEach(recorder.record);
		await recorder.load();
		expect(loads.count).toBe(1);
		expect(received).toEqual([1, 2, 3, 4]);
	});

	test('reports a failure to load and tries again on the next request', async () => {
		const outcomes = [async () => {
			throw new Error('missing');
		}, async () => []];
		const {recorder, loads, failures} = createSetup(async () => outcomes.shift()!());
		[1, 2, 3].forEach(recorder.record);
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
		expect(failures).toEqual([new Error('missing')]);
		expect(await recorder.load()).toEqual([]);
		expect(loads.count).toBe(2);
	});
});
