import {Buffer} from 'node:buffer';
import {describe, expect, test} from '@jest/globals';
import {createParameterStatus, createReadyForQuery} from '../../backend-messages.js';
import {createFrameReader} from '../../frame-reader.js';
import {BACKEND} from '../../message-types.js';
import {WireError} from '../../wire-error.js';

const STREAM = Buffer.concat([createParameterStatus('a', 'b'), createReadyForQuery('I'), createParameterStatus('c', 'd')]);

describe('frame reader', () => {
	test('returns the same messages for every chunk size', () => {
		const types = [BACKEND.parameterStatus, BACKEND.readyForQuery, BACKEND.parameterStatus];
		Array.from({length: STREAM.length - 1}, (_value, index) => index + 1).forEach(size => {
			const reader = createFrameReader({maxFrameBytes: 1024, hasStartup: false});
			const chunks = Array.from({length: Math.ceil(STREAM.length / size)}, (_value, index) => STREAM.subarray(index * size, (index + 1) * size));
			const frames = chunks.flatMap(chunk => reader.read(chunk));
			expect(frames.map(frame => frame.type)).toEqual(types);
			expect(Buffer.concat(frames.map(frame => frame.bytes))).toEqual(STREAM);
			expect(reader.countPending()).toBe(0);
		});
	});

	test('rejects a startup message of 1 GB as soon as its header arrives', () => {
		const reader = createFrameReader({maxFrameBytes: 10_000, hasStartup: true});
		const header = Buffer.alloc(8);
		header.writeUInt32BE(1_073_741_824);
		expect(() => reader.read(header)).toThrow(WireError);
	});

	test('rejects a message length smaller than the length field', () => {
		const reader = createFrameReader({maxFrameBytes: 10_000, hasStartup: false});
		expect(() => reader.read(Buffer.from([81, 0, 0, 0, 3]))).toThrow(WireError);
	});
});
