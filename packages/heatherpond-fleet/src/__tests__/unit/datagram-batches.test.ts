import {describe, expect, test} from '@jest/globals';
import {createFakeClock} from 'heatherpond-core';
import {createDatagramBatches, type DatagramBatches} from '../../index.js';

const HOST = {address: 'host-1', port: 1};
const OTHER = {address: 'host-2', port: 1};

type Batches = DatagramBatches & {readonly clock: ReturnType<typeof createFakeClock>; readonly sent: string[]; readonly receive: (datagram: string) => void};

function createBatches(): Batches {
	const clock = createFakeClock(0);
	const sent: string[] = [];
	let receive: (datagram: string) => void = () => undefined;
	const batches = createDatagramBatches({
		send(text, address) {
			sent.push(`${address}: ${text}`);
		},
		registerListener(listener) {
			receive = listener;
		},
	}, clock);
	return {
		...batches, clock, sent, receive(datagram) {
			receive(datagram);
		},
	};
}

describe('createDatagramBatches', () => {
	test('sends a text without a deadline at once', () => {
		const {send, sent} = createBatches();
		send(() => 'a', HOST);
		expect(sent).toEqual(['host-1: a']);
	});

	test('sends waiting texts with the next text to the same host only', () => {
		const {send, sent} = createBatches();
		send(() => 'later', HOST, {sendBy: 100});
		send(() => 'elsewhere', OTHER, {sendBy: 100});
		send(() => 'now', HOST);
		expect(sent).toEqual(['host-1: later\nnow']);
	});

	test('sends a waiting text by its deadline, with what it says by then', () => {
		const {send, sent, clock} = createBatches();
		send(() => `at ${clock.readNow()}`, HOST, {sendBy: 100});
		send(() => 'too', HOST, {sendBy: 300});
		clock.advanceBy(99);
		expect(sent).toEqual([]);
		clock.advanceBy(1);
		expect(sent).toEqual(['host-1: at 100\ntoo']);
		clock.advanceBy(1000);
		expect(sent).toHaveLength(1);
	});

	test('sends only the last of several texts with one topic', () => {
		const {send, sent, clock} = createBatches();
		send(() => 'old', HOST, {sendBy: 100, topic: 'digest'});
		send(() => 'new', HOST, {sendBy: 150, topic: 'digest'});
		clock.advanceBy(100);
		expect(sent).toEqual(['host-1: new']);
	});

	test('answers the texts of one datagram with one datagram', () => {
		const {send, sent, receive, registerListener} = createBatches();
		registerListener(text => {
			send(() => `re ${text}`, HOST);
		});
		receive('a\nb');
		expect(sent).toEqual(['host-1: re a\nre b']);
	});

	test('sends the responses although a listener throws', () => {
		const {send, sent, receive, registerListener} = createBatches();
		registerListener(text => {
			send(() => `re ${text}`, HOST);
			if (text === 'b') {
				throw new Error('malformed');
			}
		});
		expect(() => {
			receive('a\nb');
		}).toThrow('malformed');
		expect(sent).toEqual(['host-1: re a\nre b']);
	});
});
