/** What the loops that keep records in the store are given. */
import type {Instant} from 'heatherpond-core';
import type {FleetServices} from './fleet-services.js';

/** Dependencies of a loop that keeps records in the store. */
export type RecordWriterOptions = {
	readonly services: FleetServices;
	/** Whether this host is one of those that write the records. */
	readonly isPreferred: () => boolean;
	/** An instant of the schedule of this host's polls. */
	readonly pollPhase: Instant;
	readonly signal: AbortSignal;
};
