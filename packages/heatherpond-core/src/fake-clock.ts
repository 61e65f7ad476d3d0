/** Manually advanced clock for tests. */
import type {Clock, Deadline, Instant} from './clock.js';

type FakeTimer = {
	readonly deadline: Deadline;
	readonly order: number;
	readonly callback: () => void;
};

/** A clock whose time changes only when a test advances it. */
export type FakeClock = Clock & {
	/** Advances time to `instant` and runs the timers that fall due, ordered by deadline, then by registration. */
	readonly advanceTo: (instant: Instant) => void;
	/** Advances time by `milliseconds` and runs the timers that fall due, as `advanceTo` does. */
	readonly advanceBy: (milliseconds: number) => void;
};

/** Creates a fake clock whose current instant is `start`. */
export function createFakeClock(start: Instant = 0): FakeClock {
	let now = start;
	let order = 0;
	const timers = new Set<FakeTimer>();

	function findDue(instant: Instant): FakeTimer | undefined {
		return [...timers]
			.filter(timer => timer.deadline <= instant)
			.toSorted((left, right) => left.deadline - right.deadline || left.order - right.order)
			.at(0);
	}

	function advanceTo(instant: Instant): void {
		let due = findDue(instant);
		while (due) {
			timers.delete(due);
			now = Math.max(now, due.deadline);
			due.callback();
			due = findDue(instant);
		}

		now = Math.max(now, instant);
	}

	return {
		readNow: () => now,
		registerTimer(deadline, callback) {
			const timer: FakeTimer = {deadline, order: order++, callback};
			timers.add(timer);
			return () => {
				timers.delete(timer);
			};
		},
		advanceTo,
		advanceBy(milliseconds) {
			advanceTo(now + milliseconds);
		},
	};
}
