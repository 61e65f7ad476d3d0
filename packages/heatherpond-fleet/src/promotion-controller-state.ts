/** What the promotion controller is given, and what it remembers from step to step. */
import type {Instant} from 'heatherpond-core';
import type {FleetServices} from './fleet-services.js';
import type {Upstream} from './upstream.js';

/** Options of the promotion controller. */
export type PromotionControllerOptions = {
	readonly services: FleetServices;
	/** Minimum duration of the promotion lease in milliseconds. */
	readonly minPromotionLeaseMs: number;
	/** Whether this host is the preferred one to act; other hosts act after an additional delay. */
	readonly isPreferred: () => boolean;
	/** An instant of the schedule of this host's polls, which idle hosts that are not preferred share with their steps. */
	readonly pollPhase: Instant;
	readonly signal: AbortSignal;
};

/** The options of the controller, and what it remembers from step to step. */
export type PromotionController = PromotionControllerOptions & {
	/** Groups for which this host is running a promotion. */
	readonly runningGroups: Set<string>;
	/** By promotion id: when this host first saw it. */
	readonly firstSeenAt: Map<string, Instant>;
	/** Last known registration of each database, kept after the registration has disappeared. */
	readonly lastKnownUpstreams: Map<string, Upstream>;
	nextAttemptAt: Instant;
	/** When the lack of a group's primacy record was first noticed; infinite while every group has one. */
	unrecordedSince: Instant;
};
