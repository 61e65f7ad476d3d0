/** The byte stream between one client and a stand-in database, with injected latency and network faults. */
import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import type {Writable} from 'node:stream';
import type {Clock, Instant} from 'heatherpond-core';
import type {DatabaseFaults} from './database-faults.js';
import {createDelayStream} from './delay-stream.js';

/** Bidirectional byte stream of one client connection. */
export type ClientChannel = {
	/** Bytes received from the client, after the injected latency. */
	readonly input: AsyncIterable<Buffer>;
	/** Sends bytes; does nothing once the channel is unresponsive. */
	readonly send: (bytes: Buffer) => void;
	/** Waits until the write buffer has drained, so that large results are not buffered in memory. */
	readonly waitForDrain: () => Promise<void>;
	/** Sends the bytes, if any, and closes the channel. */
	readonly end: (bytes?: Buffer) => void;
	/** Closes the connection without sending what is buffered. */
	readonly destroy: () => void;
	/** Sets the client's failure domain, which is known from the startup message on. */
	readonly setClientDomain: (domain: string) => void;
	/** Whether a fault has affected this channel. It then stays unresponsive for good, as bytes of the stream may be missing. */
	readonly isUnresponsive: () => boolean;
};

/** Options of a client channel. */
export type ClientChannelOptions = {
	readonly faults: DatabaseFaults;
	/** One-way latency in milliseconds between the database and a failure domain. Default: no latency. */
	readonly readLatencyMs?: (domain: string) => number;
	readonly clock: Clock;
};

/** Opens a channel on an accepted socket. */
export function openClientChannel(socket: Socket, options: ClientChannelOptions): ClientChannel {
	const {faults, clock} = options;
	const openedAt: Instant = clock.readNow();
	let domain = '';
	let hasLostData = false;

	function readDelayMs(): number {
		return options.readLatencyMs?.(domain) ?? 0;
	}

	const hasLatency = options.readLatencyMs !== undefined;
	const input = hasLatency ? socket.pipe(createDelayStream(clock, readDelayMs)) : socket;
	const output: Writable = hasLatency ? createDelayStream(clock, readDelayMs) : socket;
	if (hasLatency) {
		(output as ReturnType<typeof createDelayStream>).pipe(socket);
		socket.once('close', () => {
			input.destroy();
			output.destroy();
		});
	}

	function isUnresponsive(): boolean {
		hasLostData ||= faults.partitionedDomains.has(domain) || openedAt < faults.unresponsiveBefore;
		return hasLostData;
	}

	return {
		input: input as AsyncIterable<Buffer>,
		isUnresponsive,
		send(bytes) {
			if (!isUnresponsive() && output.writable) {
				output.write(bytes);
			}
		},
		async waitForDrain() {
			if (output.writableNeedDrain && !output.destroyed) {
				await waitForDrainEvent(output);
			}
		},
		end(bytes) {
			if (!isUnresponsive() && output.writable) {
				output.end(bytes);
			}
		},
		destroy() {
			socket.destroy();
		},
		setClientDomain(name) {
			domain = name;
		},
	};
}

/** Resolves when the stream has drained or was closed. */
async function waitForDrainEvent(output: Writable): Promise<void> {
	return new Promise<void>(resolve => {
		function handleDrainOrClose(): void {
			output.off('drain', handleDrainOrClose);
			output.off('close', handleDrainOrClose);
			resolve();
		}

		output.on('drain', handleDrainOrClose);
		output.on('close', handleDrainOrClose);
	});
}
