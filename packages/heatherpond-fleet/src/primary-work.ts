/** Counts the writes and transactions that this host has in flight on primaries. */
import type {Clock, Deadline} from 'heatherpond-core';
import type {Primary} from 'heatherpond-session';

/** In-flight counts, by database group. */
export type PrimaryWork = {
	/** Counts one operation as in flight until the returned function is called; further calls of it have no effect. */
	readonly register: (primary: Primary) => () => void;
	/** Waits until nothing is in flight on the group's primary, the deadline has passed or the signal aborts. */
	readonly waitUntilIdle: (group: string, deadline: Deadline, signal: AbortSignal) => Promise<void>;
};

/** Creates counts that start at zero. */
export function createPrimaryWork(clock: Clock): PrimaryWork {
	const counts = new Map<string, number>();
	const listeners = new Set<() => void>();

	function count(group: string, change: number): void {
		counts.set(group, (counts.get(group) ?? 0) + change);
		if (counts.get(group) === 0) {
			[...listeners].forEach(listener => {
				listener();
			});
		}
	}

	return {
		register({group}) {
			let isEnded = false;
			count(group, 1);
			return () => {
				if (!isEnded) {
					isEnded = true;
					count(group, -1);
				}
			};
		},
		async waitUntilIdle(group, deadline, signal) {
			await new Promise<void>(resolve => {
				function end(): void {
					listeners.delete(check);
					stopTimer();
					signal.removeEventListener('abort', end);
					resolve();
				}

				function check(): void {
					if ((counts.get(group) ?? 0) === 0) {
						end();
					}
				}

				const stopTimer = clock.registerTimer(deadline, end);
				listeners.add(check);
				signal.addEventListener('abort', end, {once: true});
				check();
			});
		},
	};
}
