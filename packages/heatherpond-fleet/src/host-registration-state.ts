/** What the registration of hosts is given, and what it remembers from refresh to refresh. */
import type {Instant} from 'heatherpond-core';
import type {FindDomainLeader} from './domain-leader.js';
import type {ReceivedReport} from './domain-peers.js';
import type {FleetServices} from './fleet-services.js';
import type {RegisteredIncarnation, RegistrationUpdate} from './host-message.js';

/** Dependencies of the registration. */
export type HostRegistrationOptions = {
	readonly services: FleetServices;
	/** Finds the domain leader; nothing when this host is the leader. */
	readonly findDomainLeader: FindDomainLeader;
	/** The latest usage reports of the domain peers. */
	readonly readReceivedReports: () => readonly ReceivedReport[];
	/** Finds when this host sent a given usage report. */
	readonly findSentAt: (run: RegisteredIncarnation) => Instant | undefined;
	/** Notifies the domain peers which registrations were refreshed, and which hosts exist in other failure domains. */
	readonly sendRegistered: (news: RegistrationUpdate) => void;
	/** Resolves when this host has found its domain leader or given up; until then it does not register itself. */
	readonly waitUntilDiscovered: () => Promise<void>;
	/** An instant of the schedule of this host's polls, with which it also checks whether a refresh is due. */
	readonly pollPhase: Instant;
	readonly signal: AbortSignal;
};

/** The dependencies of the registration, and the progress of its refreshes. */
export type Registration = HostRegistrationOptions & {
	/** Number of successful refreshes. */
	refreshes: number;
	/** Number of consecutive failed refreshes. */
	failures: number;
	nextRefreshAt: Instant;
	/** When peers that have just started are to be registered; infinite while there are none. */
	newPeersDueAt: Instant;
	listReadAt: Instant;
	/** Row versions by host, as last read or written, so that a delayed write cannot overwrite a newer registration. */
	versions: ReadonlyMap<string, number>;
	/** Index of the next host of another failure domain to include in a notification. */
	nextRemoteHost: number;
	readonly startedAt: Instant;
};

/** Milliseconds within which the store must respond. */
export const REGISTRATION_STORE_TIMEOUT_MS = 900;
/** Number of initial refreshes that each read the list, because hosts often start at the same time. */
export const STARTUP_REFRESHES = 2;
