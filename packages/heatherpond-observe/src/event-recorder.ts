/** Records the events of one process: in memory for the event timeline, and as log lines. */
import type {EventKind, FleetEvent, RecordEvent} from 'heatherpond-core';
import {createEventRing, type EventRing} from './event-ring.js';
import {compareHybridTimes, formatHybridTime, type HybridClock} from './hybrid-clock.js';
import type {Logger} from './logger.js';

/** Recorded events of one process. */
export type EventStore = {
	/** Returns the retained events in the order of hybrid logical time. */
	readonly readEvents: () => readonly FleetEvent[];
	/** Number of events that newer ones have overwritten. */
	readonly countDropped: () => number;
};

/** Records events and returns the retained ones. */
export type EventRecorder = EventStore & {readonly recordEvent: RecordEvent};

/** Options of an event recorder. */
export type EventRecorderOptions = {
	readonly hybridClock: HybridClock;
	readonly logger: Logger;
	/** Number of routine statement events to retain. */
	readonly statementCapacity?: number;
	/** Number of other events to retain. */
	readonly capacity?: number;
};

const DEFAULT_STATEMENT_CAPACITY = 8192;
const DEFAULT_CAPACITY = 8192;

/** Kinds of events of successful statements. They are frequent, so a separate ring buffer keeps them from overwriting other events. */
const ROUTINE_STATEMENT_KINDS: ReadonlySet<EventKind> = new Set<EventKind>(['requestAdmitted', 'requestRouted', 'requestAnswered', 'proofObtained', 'callerConnected', 'callerClosed']);

/** Kinds of events that can occur with every request; they are logged at level debug, all others at level info. */
const REQUEST_KINDS: ReadonlySet<EventKind> = new Set<EventKind>([
	...ROUTINE_STATEMENT_KINDS, 'requestRefused', 'requestRetried', 'requestUnknown', 'callerRefused', 'proofMissing', 'allotmentMoved', 'stampRenewed', 'entryApplied',
]);

/** Creates an event recorder. */
export function createEventRecorder(options: EventRecorderOptions): EventRecorder {
	const {hybridClock, logger} = options;
	const statements = createEventRing(options.statementCapacity ?? DEFAULT_STATEMENT_CAPACITY);
	const others = createEventRing(options.capacity ?? DEFAULT_CAPACITY);

	function findRing(kind: EventKind): EventRing {
		return ROUTINE_STATEMENT_KINDS.has(kind) ? statements : others;
	}

	return {
		recordEvent(kind, subject) {
			const at = hybridClock.readHybridTime();
			findRing(kind).append({kind, subject, at});
			if (!REQUEST_KINDS.has(kind)) {
				logger.info(kind, {...subject, at: formatHybridTime(at)});
			} else if (logger.isEnabled('debug')) {
				logger.debug(kind, {...subject, at: formatHybridTime(at)});
			}
		},
		readEvents: () => [...statements.read(), ...others.read()].toSorted((left, right) => compareHybridTimes(left.at, right.at)),
		countDropped: () => statements.countDropped() + others.countDropped(),
	};
}
