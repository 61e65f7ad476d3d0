/** Starts event recording and the hybrid logical clock. */
import {
	createEventRecorder, createHybridClock, formatHybridTime, parseHybridTime, type EventRecorder, type Logger,
} from 'heatherpond-observe';
import type {TimeExchange} from 'heatherpond-peer';

/** Event recorder and clock of one host. */
export type Observation = {
	readonly events: EventRecorder;
	/** Reads and applies the hybrid logical time carried by calls between hosts. */
	readonly times: TimeExchange;
};

/** Starts recording events in memory and in the host's log output. */
export function startObservation(logger: Logger, host: string): Observation {
	const hybridClock = createHybridClock(host, Date.now);
	return {
		events: createEventRecorder({hybridClock, logger}),
		times: {
			readTimestamp: () => formatHybridTime(hybridClock.readHybridTime()),
			applyTimestamp(text) {
				const remote = parseHybridTime(text);
				if (remote) {
					hybridClock.applyRemoteTime(remote);
				}
			},
		},
	};
}
