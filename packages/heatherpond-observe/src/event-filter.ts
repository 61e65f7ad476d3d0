/** Filters events, and merges the events of several processes into a timeline. */
import {eventKindSchema, type EventKind, type FleetEvent} from 'heatherpond-core';
import * as z from 'zod';
import {compareHybridTimes} from './hybrid-clock.js';

/** Criteria that an event must all match; an absent criterion matches any event. */
export const eventFilterSchema = z.object({
	request: z.string().optional(),
	session: z.string().optional(),
	team: z.string().optional(),
	group: z.string().optional(),
	host: z.string().optional(),
	version: z.number().int().optional(),
	kinds: z.array(eventKindSchema).default([]),
	/** Earliest wall-clock time in Unix milliseconds, inclusive. */
	fromMs: z.number().optional(),
	/** Latest wall-clock time in Unix milliseconds, inclusive. */
	untilMs: z.number().optional(),
});

export type EventFilter = z.infer<typeof eventFilterSchema>;

/** Kinds of events that describe a failover. */
export const FAILOVER_KINDS: readonly EventKind[] = ['databaseSuspected', 'databaseRecovered', 'promotionStep', 'promotionAbandoned', 'stampLapsed', 'proofMissing', 'requestUnknown'];

const SUBJECT_FIELDS = ['request', 'session', 'team', 'group', 'version'] as const;

/** Checks whether an event matches a filter. */
export function isEventSelected(event: FleetEvent, filter: EventFilter): boolean {
	const hasSubject = SUBJECT_FIELDS.every(field => filter[field] === undefined || event[field] === filter[field]);
	const hasKind = filter.kinds.length === 0 || filter.kinds.includes(event.kind);
	const concernsHost = filter.host === undefined || event.at.host === filter.host || event.peer === filter.host;
	return hasSubject && hasKind && concernsHost && event.at.wallMs >= (filter.fromMs ?? 0) && event.at.wallMs <= (filter.untilMs ?? Number.POSITIVE_INFINITY);
}

/** Merges the matching events of several processes in the order of hybrid logical time. */
export function collectTimeline(sources: ReadonlyArray<readonly FleetEvent[]>, filter: EventFilter): readonly FleetEvent[] {
	return sources.flat().filter(event => isEventSelected(event, filter)).toSorted((left, right) => compareHybridTimes(left.at, right.at));
}
