/** A loop whose steps decide when the next one is due, and which can be woken earlier. */
import {waitUntil, type Clock, type Deadline} from './clock.js';

/** Reason with which a pause ends early. */
const WOKEN = 'woken';

/** A running loop. */
export type Loop = {
	/** Runs the next step at once, or right after the one in progress. */
	readonly wake: () => void;
};

/**
 * Starts a loop that runs until the signal aborts. Steps never overlap.
 *
 * @param clock - source of time
 * @param step - the work; resolves to when the next step is due, and must not reject
 * @param signal - ends the loop
 */
export function startLoop(clock: Clock, step: () => Promise<Deadline>, signal: AbortSignal): Loop {
	let pause = new AbortController();

	async function runSteps(): Promise<void> {
		while (!signal.aborted) {
			// A wake-up during a step ends the pause after it.
			pause = new AbortController();
			const next = await step();
			await waitUntil(clock, next, pause.signal);
		}
	}

	function endPause(): void {
		// Without a reason, an error with a stack trace would be created.
		pause.abort(WOKEN);
	}

	signal.addEventListener('abort', endPause, {once: true});
	void runSteps();
	return {wake: endPause};
}
