import {Buffer} from 'node:buffer';
import {describe, expect, test} from '@jest/globals';
import {createFakeClock, type FakeClock} from 'heatherpond-core';
import {createDatagramParts, type DatagramPort} from '../../index.js';

type Setup = {readonly clock: FakeClock; readonly port: DatagramPort; readonly sent: string[]; readonly received: string[]; readonly deliver: (datagram: string) => void};

function createSetup(): Setup {
	const clock = createFakeClock(0);
	const sent: string[] = [];
	const received: string[] = [];
	let deliver: (datagram: string) => void = () => undefined;
	const port = createDatagramParts({
		send(text) {
			sent.push(text);
		},
		registerListener(listener) {
			deliver = listener;
		},
	}, clock, 'run-1');
	port.registerListener(text => {
		received.push(text);
	});
	return {
		clock, port, sent, received, deliver(datagram) {
			deliver(datagram);
		},
	};
}

describe('datagram parts', () => {
	test('sends a short text as it is', () => {
		const {port, sent, received, deliver} = createSetup();
		port.send('{"kind":"x"}', 'a', 1);
		sent.forEach(deliver);
		expect(sent).toEqual(['{"kind":"x"}']);
		expect(received).toEqual(['{"kind":"x"}']);
	});

	test('restores a long text from parts that arrive in any order, without splitting a character', () => {
		const {port, sent, received, deliver} = createSetup();
		const text = `${'x'.repeat(7999)}\u{1F33F}${'y\n#'.repeat(9000)}`;
		port.send(text, 'a', 1);
		expect(sent.length).toBeGreaterThan(3);
		expect(sent.every(datagram => Buffer.from(datagram).toString() === datagram)).toBe(true);
		sent.toReversed().forEach(deliver);
		expect(received).toEqual([text]);
	});

	test('delivers nothing of a text of which a part is lost, and keeps a bounded number of incomplete texts', () => {
		const {clock, port, sent, received, deliver} = createSetup();
		Array.from({length: 200}, (_, index) => index).forEach(index => {
			port.send(`${index}${'x'.repeat(9000)}`, 'a', 1);
		});
		const firstParts = sent.filter((_, index) => index % 2 === 0);
		const lastParts = sent.filter((_, index) => index % 2 === 1);
		firstParts.forEach(deliver);
		clock.advanceTo(1000);
		lastParts.slice(140).forEach(deliver);
		expect(received).toHaveLength(60);
		lastParts.slice(0, 100).forEach(deliver);
		expect(received).toHaveLength(60);
	});

	test('ignores parts with an invalid header', () => {
		const {received, deliver} = createSetup();
		['#', '#a 0', '#a 0 0\nx', '#a 1 1\nx', '#a 0 1000\nx', '#a x 1\nx'].forEach(deliver);
		expect(received).toEqual([]);
	});
});
