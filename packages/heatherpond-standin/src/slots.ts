/** Concurrency limit of a database: statements beyond the number of slots wait in FIFO order. */

/** A counting semaphore. */
export type Slots = {
	/** Waits for a slot and returns the function that releases it; further calls of that function do nothing. */
	readonly acquire: () => Promise<() => void>;
	/** Returns the number of pending calls of `acquire`. */
	readonly countWaiting: () => number;
	/** Returns the number of free slots. */
	readonly countFree: () => number;
};

/** Creates a semaphore with `count` slots. */
export function createSlots(count: number): Slots {
	let free = count;
	const waiting: Array<() => void> = [];

	function releaseSlot(): void {
		const next = waiting.shift();
		if (next) {
			next();
		} else {
			free++;
		}
	}

	function createRelease(): () => void {
		let isReleased = false;
		return () => {
			if (!isReleased) {
				isReleased = true;
				releaseSlot();
			}
		};
	}

	return {
		async acquire() {
			if (free > 0) {
				free--;
			} else {
				await new Promise<void>(resolve => {
					waiting.push(resolve);
				});
			}

			return createRelease();
		},
		countWaiting: () => waiting.length,
		countFree: () => free,
	};
}
