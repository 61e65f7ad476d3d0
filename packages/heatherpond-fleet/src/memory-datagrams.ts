/** In-memory datagrams between hosts, for tests and development. They arrive after a fixed latency. */
import type {Clock} from 'heatherpond-core';
import type {DatagramPort} from './datagram-parts.js';

/** A datagram that one host has sent to another. */
export type SentDatagram = {readonly from: string; readonly to: string; readonly text: string};

/** The datagrams of all hosts. */
export type MemoryDatagrams = {
	/** Creates the port of the host with this address. */
	readonly createPort: (address: string) => DatagramPort;
};

/** Options of the datagrams. */
export type MemoryDatagramsOptions = {
	readonly clock: Clock;
	/** One-way latency, in milliseconds. */
	readonly latencyMs: number;
	/** Called with each datagram when it is sent. */
	readonly recordSend: (datagram: SentDatagram) => void;
};

/** Creates the datagrams, which are delivered by the timers of the clock. */
export function createMemoryDatagrams({clock, latencyMs, recordSend}: MemoryDatagramsOptions): MemoryDatagrams {
	const listeners = new Map<string, (text: string) => void>();
	return {
		createPort: address => ({
			send(text, to) {
				recordSend({from: address, to, text});
				clock.registerTimer(clock.readNow() + latencyMs, () => {
					listeners.get(to)?.(text);
				});
			},
			registerListener(listener) {
				listeners.set(address, listener);
			},
		}),
	};
}
