/** A duplex stream that delays every chunk and keeps their order, to simulate network latency. */
import type {Buffer} from 'node:buffer';
import {Duplex} from 'node:stream';
import type {Clock, Deadline} from 'heatherpond-core';

/** A chunk waiting for its delivery time. */
type DelayedChunk = {readonly chunk: Buffer; readonly deadline: Deadline};

/** Number of queued bytes from which on writes are blocked. */
const MAX_QUEUED_BYTES = 262_144;

/** Creates a delay stream; `readDelayMs` is called for each chunk as it is written. */
export function createDelayStream(clock: Clock, readDelayMs: () => number): Duplex {
	const queue: DelayedChunk[] = [];
	let queuedBytes = 0;
	let isReadRequested = false;
	let isEnded = false;
	let hasTimer = false;
	let resumeWriter: (() => void) | undefined;

	/** Delivers the chunks that are due, as far as the reader accepts them. */
	function sendDueChunks(): void {
		while (isReadRequested && queue[0] && queue[0].deadline <= clock.readNow()) {
			const {chunk} = queue.shift()!;
			queuedBytes -= chunk.length;
			isReadRequested = stream.push(chunk);
		}

		if (queuedBytes < MAX_QUEUED_BYTES) {
			const resume = resumeWriter;
			resumeWriter = undefined;
			resume?.();
		}

		if (queue.length === 0 && isEnded) {
			isEnded = false;
			stream.push(null);
		}
	}

	function startTimer(): void {
		if (hasTimer || !queue[0]) {
			return;
		}

		hasTimer = true;
		clock.registerTimer(queue[0].deadline, () => {
			hasTimer = false;
			sendDueChunks();
			if (isReadRequested) {
				startTimer();
			}
		});
	}

	const stream: Duplex = new Duplex({
		write(chunk: Buffer, _encoding, done) {
			const deadline = Math.max(queue.at(-1)?.deadline ?? 0, clock.readNow() + readDelayMs());
			queue.push({chunk, deadline});
			queuedBytes += chunk.length;
			startTimer();
			if (queuedBytes < MAX_QUEUED_BYTES) {
				done();
			} else {
				resumeWriter = done;
			}
		},
		read() {
			isReadRequested = true;
			startTimer();
		},
		final(done) {
			isEnded = true;
			if (queue.length === 0) {
				sendDueChunks();
			}

			done();
		},
	});
	return stream;
}
