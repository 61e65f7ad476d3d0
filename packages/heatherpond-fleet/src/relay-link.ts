/** A link to a relay, with the work and the listeners on it. */
import type {Instant} from 'heatherpond-core';
import type {StepResult} from 'heatherpond-session';
import type {HostRecord} from './fleet-records.js';
import type {HostLink} from './host-links.js';
import type {RelayClock} from './relay-clock.js';

/** A step whose response is awaited. */
export type PendingStep = {readonly resolve: (end: StepResult) => void; readonly reject: (error: Error) => void};

/** A link to a relay, and the steps in progress on it. */
export type RelayLink = {
	readonly relay: HostRecord;
	readonly link: HostLink;
	readonly waiting: Map<number, PendingStep>;
	readonly pongListeners: Set<() => void>;
	/** Number of connection handles created on the link; the last one is the id of the newest handle. */
	loans: number;
	lastReceivedAt: Instant;
	/** What the relay has said of its clock, and when that arrived here; the oldest first. */
	relayClocks: readonly RelayClock[];
	isClosed: boolean;
};
