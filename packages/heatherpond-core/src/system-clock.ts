/** Clock backed by the monotonic clock of the process. */
import {performance} from 'node:perf_hooks';
import type {Clock} from './clock.js';

/** Largest delay that `setTimeout` accepts (2^31 - 1 ms); a larger one would fire at once. */
const MAX_TIMER_DELAY_MS = 2_147_483_647;

/** Creates a clock over `performance.now()` and `setTimeout`. */
export function createSystemClock(): Clock {
	return {
		readNow: () => performance.now(),
		registerTimer(deadline, callback) {
			const delay = Math.min(MAX_TIMER_DELAY_MS, Math.max(0, deadline - performance.now()));
			const timer = setTimeout(callback, delay);
			return () => {
				clearTimeout(timer);
			};
		},
	};
}
