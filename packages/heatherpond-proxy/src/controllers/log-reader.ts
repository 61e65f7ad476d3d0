/** Reads the log on demand, with one read shared by concurrent callers and hedging against lost responses. */
import type {Clock} from 'heatherpond-core';
import {runHedged} from './hedged-call.js';

const HEDGE_DELAY_MS = 300;
const MAX_ATTEMPTS = 6;

/**
 * Creates a shared reader of the log. A call made while a read is in flight waits for the next read: the one in flight
 * may have started before the entry that the call is about.
 *
 * @param readOnce - reads the log once and resolves with whether the platform responded
 */
export function createLogReader(readOnce: () => Promise<boolean>, clock: Clock, signal: AbortSignal): () => Promise<boolean> {
	let current: Promise<boolean> | undefined;
	let next: Promise<boolean> | undefined;

	async function read(): Promise<boolean> {
		const hasResponded = await runHedged(async () => await readOnce() ? true : undefined, {
			clock, hedgeDelayMs: HEDGE_DELAY_MS, maxAttempts: MAX_ATTEMPTS, signal,
		});
		return hasResponded ?? false;
	}

	async function start(): Promise<boolean> {
		const started = read();
		current = started;
		try {
			return await started;
		} finally {
			current = current === started ? undefined : current;
		}
	}

	async function startNext(previous: Promise<boolean>): Promise<boolean> {
		await previous.catch(() => false);
		next = undefined;
		return start();
	}

	return async () => {
		if (!current) {
			return start();
		}

		next ??= startNext(current);
		return next;
	};
}
