/** Advances a fake clock in small steps and runs pending promise callbacks between them. */
import type {FakeClock} from 'heatherpond-core';

const STEP_MS = 5;
/** Event loop turns that are sufficient for the longest promise chain in these tests. */
const FLUSH_ROUNDS = 3;

/** Advances the clock by `milliseconds`; calls `afterStep` after each step. */
export async function advance(clock: FakeClock, milliseconds: number, afterStep: () => void = () => undefined): Promise<void> {
	const end = clock.readNow() + milliseconds;
	while (clock.readNow() < end) {
		clock.advanceTo(Math.min(end, clock.readNow() + STEP_MS));
		await runPendingPromises();
		afterStep();
	}
}

/** Runs the callbacks of promises that depend on neither timers nor I/O. */
export async function runPendingPromises(): Promise<void> {
	for (const _ of Array.from({length: FLUSH_ROUNDS})) {
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}
}
