/** A duplex stream that delays every chunk and keeps their order, to simulate network latency. */
import type {Buffer} from 'node:buffer';
import {Duplex} from 'node:stream';
import type {Clock, Deadline} from 'heatherpond-core';

/** A chunk waiting for its delivery time. */
type HeldChunk = {readonly chunk: Buffer; readonly deadline: Deadline};

/** Number of queued bytes from which on writes are blocked. */
const MAX_HELD_BYTES = 262_144;

/** Creates a delay stream; `readDelayMs` is called for each chunk as it is written. */
export function createDelayStream(clock: Clock, readDelayMs: () => number): Duplex {
	const held: HeldChunk[] = [];
	let heldBytes = 0;
	let isWanted = false;
	let isEnded = false;
	let hasTimer = false;
	let resumeWriter: (() => void) | undefined;

	/** Delivers the chunks that are due, as far as the reader accepts them. */
	function sendDue(): void {
		while (isWanted && held[0] && held[0].deadline <= clock.readNow()) {
			const {chunk} = held.shift()!;
			heldBytes -= chunk.length;
			isWanted = stream.push(chunk);
		}

		if (heldBytes < MAX_HELD_BYTES) {
			const resume = resumeWriter;
			resumeWriter = undefined;
			resume?.();
		}

		if (held.length === 0 && isEnded) {
			isEnded = false;
			stream.push(null);
		}
	}

	function startTimer(): void {
		if (hasTimer || !held[0]) {
			return;
		}

		hasTimer = true;
		clock.registerTimer(held[0].deadline, () => {
			hasTimer = false;
			sendDue();
			if (isWanted) {
				startTimer();
			}
		});
	}

	const stream: Duplex = new Duplex({
		write(chunk: Buffer, _encoding, done) {
			const deadline = Math.max(held.at(-1)?.deadline ?? 0, clock.readNow() + readDelayMs());
			held.push({chunk, deadline});
			heldBytes += chunk.length;
			startTimer();
			if (heldBytes < MAX_HELD_BYTES) {
				done();
			} else {
				resumeWriter = done;
			}
		},
		read() {
			isWanted = true;
			startTimer();
		},
		final(done) {
			isEnded = true;
			if (held.length === 0) {
				sendDue();
			}

			done();
		},
	});
	return stream;
}
