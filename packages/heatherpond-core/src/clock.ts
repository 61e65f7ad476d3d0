/**
 * Clock abstraction injected into all decisions and controllers. Instants are milliseconds of a process-local monotonic
 * clock and are not comparable between processes.
 */

/** A point in monotonic time, in milliseconds of this process's clock. */
export type Instant = number;

/** The latest instant at which an operation may complete, in milliseconds of this process's clock. */
export type Deadline = number;

/** Cancels a registration; idempotent. */
export type Teardown = () => void;

/** Source of time and timers: `createSystemClock` in production, `createFakeClock` in tests. */
export type Clock = {
	/** Returns the current instant. */
	readonly readNow: () => Instant;
	/** Calls `callback` once, at or after `deadline`; the returned teardown cancels the timer. */
	readonly registerTimer: (deadline: Deadline, callback: () => void) => Teardown;
};

/**
 * Resolves at the deadline or when the signal aborts, whichever comes first. Never rejects.
 *
 * @param clock - source of time
 * @param deadline - instant at which to resolve
 * @param signal - ends the wait early
 */
export async function waitUntil(clock: Clock, deadline: Deadline, signal: AbortSignal): Promise<void> {
	if (signal.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		const stop = clock.registerTimer(deadline, () => {
			signal.removeEventListener('abort', handleAbort);
			resolve();
		});
		function handleAbort(): void {
			stop();
			resolve();
		}

		signal.addEventListener('abort', handleAbort, {once: true});
	});
}

/**
 * Runs a step periodically until the signal aborts. Steps never overlap: the interval counts from the start of a step,
 * and a step that takes longer than the interval delays the next one.
 *
 * @param clock - source of time
 * @param interval - milliseconds between the starts of two steps, or a function that returns them, called before each
 * step
 * @param step - the work; must not reject
 * @param signal - ends the loop
 */
export async function runPeriodically(clock: Clock, interval: number | (() => number), step: () => Promise<void>, signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		const next: Deadline = clock.readNow() + (typeof interval === 'number' ? interval : interval());

		await step();

		await waitUntil(clock, next, signal);
	}
}
