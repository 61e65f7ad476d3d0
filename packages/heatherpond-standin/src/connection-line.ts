/** The byte stream between one client and a stand-in database, with injected latency and network faults. */
import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import type {Writable} from 'node:stream';
import type {Clock, Instant} from 'heatherpond-core';
import type {DatabaseFaults} from './database-faults.js';
import {createDelayStream} from './delay-stream.js';

/** Bidirectional byte stream of one client connection. */
export type ConnectionLine = {
	/** Bytes received from the client, after the injected latency. */
	readonly input: AsyncIterable<Buffer>;
	/** Sends bytes; does nothing once the channel is unresponsive. */
	readonly send: (bytes: Buffer) => void;
	/** Waits until the write buffer has drained, so that large results are not buffered in memory. */
	readonly waitForRoom: () => Promise<void>;
	/** Sends the bytes, if any, and closes the channel. */
	readonly end: (bytes?: Buffer) => void;
	/** Closes the connection without sending what is buffered. */
	readonly destroy: () => void;
	/** Sets the client's failure domain, which is known from the startup message on. */
	readonly writeDomain: (domain: string) => void;
	/** Whether a fault has affected this channel. It then stays unresponsive for good, as bytes of the stream may be missing. */
	readonly isSilent: () => boolean;
};

/** Options of a client channel. */
export type LineOptions = {
	readonly faults: DatabaseFaults;
	/** One-way latency in milliseconds between the database and a failure domain. Default: no latency. */
	readonly readLatencyMs?: (domain: string) => number;
	readonly clock: Clock;
};

/** Opens a channel on an accepted socket. */
export function openConnectionLine(socket: Socket, options: LineOptions): ConnectionLine {
	const {faults, clock} = options;
	const openedAt: Instant = clock.readNow();
	let domain = '';
	let isLost = false;

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

	function isSilent(): boolean {
		isLost ||= faults.cutDomains.has(domain) || openedAt < faults.silencedBefore;
		return isLost;
	}

	return {
		input: input as AsyncIterable<Buffer>,
		isSilent,
		send(bytes) {
			if (!isSilent() && output.writable) {
				output.write(bytes);
			}
		},
		async waitForRoom() {
			if (output.writableNeedDrain && !output.destroyed) {
				await waitForDrain(output);
			}
		},
		end(bytes) {
			if (!isSilent() && output.writable) {
				output.end(bytes);
			}
		},
		destroy() {
			socket.destroy();
		},
		writeDomain(name) {
			domain = name;
		},
	};
}

async function waitForDrain(output: Writable): Promise<void> {
	return new Promise<void>(resolve => {
		function handleRoom(): void {
			output.off('drain', handleRoom);
			output.off('close', handleRoom);
			resolve();
		}

		output.on('drain', handleRoom);
		output.on('close', handleRoom);
	});
}
