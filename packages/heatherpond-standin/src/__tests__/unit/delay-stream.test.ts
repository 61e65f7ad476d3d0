import {Buffer} from 'node:buffer';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {describe, expect, test} from '@jest/globals';
import {createFakeClock} from 'heatherpond-core';
import {createDelayStream} from '../../delay-stream.js';

describe('delay stream', () => {
	test('delays each chunk and keeps the order when the delay decreases', async () => {
		const clock = createFakeClock();
		let delayMs = 10;
		const stream = createDelayStream(clock, () => delayMs);
		const received: string[] = [];
		stream.on('data', (chunk: Buffer) => {
			received.push(chunk.toString());
		});
		stream.write('one');
		await waitForTurn();
		clock.advanceTo(4);
		delayMs = 1;
		stream.write('two');
		await waitForTurn();
		clock.advanceTo(9);
		await waitForTurn();
		expect(received).toEqual([]);
		clock.advanceTo(10);
		await waitForTurn();
		expect(received).toEqual(['one', 'two']);
	});

	test('applies backpressure to the writer while too many bytes are queued', async () => {
		const clock = createFakeClock();
		const stream = createDelayStream(clock, () => 10);
		const chunk = Buffer.alloc(100_000);
		const written: number[] = [];
		[1, 2, 3, 4].forEach(number => {
			stream.write(chunk, () => {
				written.push(number);
			});
		});
		await waitForTurn();
		expect(written).toEqual([1, 2]);
		stream.resume();
		await waitForTurn();
		clock.advanceTo(10);
		await waitForTurn();
		clock.advanceTo(20);
		await waitForTurn();
		expect(written).toEqual([1, 2, 3, 4]);
	});

	test('ends after the last chunk was delivered', async () => {
		const clock = createFakeClock();
		const stream = createDelayStream(clock, () => 10);
		const received: string[] = [];
		stream.on('data', (chunk: Buffer) => {
			received.push(chunk.toString());
		});
		const ended = new Promise<void>(resolve => {
			stream.on('end', resolve);
		});
		stream.end('last');
		await waitForTurn();
		clock.advanceTo(10);
		await ended;
		expect(received).toEqual(['last']);
	});
});
