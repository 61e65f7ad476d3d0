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

function compareTimers(left: FakeTimer, right: FakeTimer): number {
	return left.deadline - right.deadline || left.order - right.order;
}

/** Creates a fake clock whose current instant is `start`. */
export function createFakeClock(start: Instant = 0): FakeClock {
	let now = start;
	let order = 0;
	/** Pending timers in the order in which they fall due. */
	const timers: FakeTimer[] = [];

	/** Finds the index of the first timer that is not due before `timer`. */
	function findIndex(timer: FakeTimer): number {
		let low = 0;
		let high = timers.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (compareTimers(timers[middle]!, timer) < 0) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}

	function removeTimer(timer: FakeTimer): void {
		const index = findIndex(timer);
		if (timers[index] === timer) {
			timers.splice(index, 1);
		}
	}

	function advanceTo(instant: Instant): void {
		while (timers.length > 0 && timers[0]!.deadline <= instant) {
			const due = timers.shift()!;
			now = Math.max(now, due.deadline);
			due.callback();
		}

		now = Math.max(now, instant);
	}

	return {
		readNow: () => now,
		registerTimer(deadline, callback) {
			const timer: FakeTimer = {deadline, order: order++, callback};
			timers.splice(findIndex(timer), 0, timer);
			return () => {
				removeTimer(timer);
			};
		},
		advanceTo,
		advanceBy(milliseconds) {
			advanceTo(now + milliseconds);
		},
	};
}
