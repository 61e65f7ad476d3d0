/**
 * Detects suspensions of the machine by comparing two clocks: during a suspension the monotonic clock stops, while the wall
 * clock advances. A step of the wall clock looks the same, and costs only one additional read of the store.
 */

/** Detects suspensions of the machine. */
export type SuspensionDetector = {
	/** Returns whether the clocks have diverged since the previous call. */
	readonly hasDrifted: () => boolean;
};

/** Milliseconds by which the clocks may diverge between two calls. */
const MAX_DRIFT_MS = 40;

/**
 * Creates a suspension detector.
 *
 * @param readMonotonic - returns the milliseconds of a clock that stops during a suspension
 * @param readTimeOfDay - returns the milliseconds since the epoch
 */
export function createSuspensionDetector(readMonotonic: () => number, readTimeOfDay: () => number): SuspensionDetector {
	let offset = readTimeOfDay() - readMonotonic();
	return {
		hasDrifted() {
			const current = readTimeOfDay() - readMonotonic();
			const hasDrifted = Math.abs(current - offset) > MAX_DRIFT_MS;
			offset = current;
			return hasDrifted;
		},
	};
}
