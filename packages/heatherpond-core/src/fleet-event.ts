/** Typed events of the fleet timeline: what a host decided, when and why. */
import * as z from 'zod';

/**
 * Hybrid logical timestamp: wall-clock milliseconds, a counter that orders events within a millisecond, and the host.
 */
export const hybridTimeSchema = z.object({
	wallMs: z.number().int().nonnegative(),
	counter: z.number().int().nonnegative(),
	host: z.string(),
});

export type HybridTime = z.infer<typeof hybridTimeSchema>;

/** Kinds of timeline events. */
export const eventKindSchema = z.enum([
	'processStarted',
	'phaseChanged',
	'callerConnected',
	'callerRefused',
	'callerClosed',
	'requestAdmitted',
	'requestRefused',
	'requestRouted',
	'requestRetried',
	'requestGivenUp',
	'requestAnswered',
	'requestUnknown',
	'proofObtained',
	'proofMissing',
	'stampLapsed',
	'stampRenewed',
	'entryApplied',
	'snapshotLoaded',
	'databaseSuspected',
	'databaseRecovered',
	'promotionStep',
	'promotionAbandoned',
	'allotmentMoved',
	'allotmentLapsed',
	'keyWithdrawn',
	'upstreamLeft',
	'upstreamReturned',
	'peerLost',
	'peerFound',
	'operatorCommand',
]);

export type EventKind = z.infer<typeof eventKindSchema>;

/** The subject of an event; fields that do not apply are absent. */
export const eventSubjectSchema = z.object({
	request: z.string().optional(),
	session: z.string().optional(),
	team: z.string().optional(),
	group: z.string().optional(),
	database: z.string().optional(),
	peer: z.string().optional(),
	key: z.string().optional(),
	version: z.number().int().optional(),
	term: z.number().int().optional(),
	step: z.string().optional(),
	reason: z.string().optional(),
	/** Duration in milliseconds that the event reports, such as a wait. */
	elapsedMs: z.number().optional(),
	/** Transferred amount, such as tokens. */
	amount: z.number().optional(),
});

export type EventSubject = z.infer<typeof eventSubjectSchema>;

/** One timeline event: its kind, timestamp and subject. */
export const fleetEventSchema = eventSubjectSchema.extend({
	kind: eventKindSchema,
	at: hybridTimeSchema,
});

export type FleetEvent = z.infer<typeof fleetEventSchema>;

/** Records one event; the recorder adds the host and the hybrid logical timestamp. */
export type RecordEvent = (kind: EventKind, subject: EventSubject) => void;
