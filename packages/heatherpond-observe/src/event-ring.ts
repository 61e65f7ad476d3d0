/** Ring buffer of events: retains the newest ones and counts those that were overwritten. */
import type {
	EventKind, EventSubject, FleetEvent, HybridTime,
} from 'heatherpond-core';

/** Event as recorded; `read` combines its parts, which keeps recording cheap. */
export type RecordedEvent = {readonly kind: EventKind; readonly subject: EventSubject; readonly at: HybridTime};

/** Ring buffer of events. */
export type EventRing = {
	readonly append: (event: RecordedEvent) => void;
	/** Returns the retained events, oldest first. */
	readonly read: () => readonly FleetEvent[];
	/** Number of events that newer ones have overwritten. */
	readonly countDropped: () => number;
};

/** Creates a ring buffer for `capacity` events. */
export function createEventRing(capacity: number): EventRing {
	const events: RecordedEvent[] = [];
	let appended = 0;

	return {
		append(event) {
			events[appended % capacity] = event;
			appended += 1;
		},
		read() {
			const oldestIndex = appended % capacity;
			const ordered = appended > capacity ? [...events.slice(oldestIndex), ...events.slice(0, oldestIndex)] : events;
			return ordered.map(({kind, subject, at}) => ({...subject, kind, at}));
		},
		countDropped: () => Math.max(0, appended - capacity),
	};
}
