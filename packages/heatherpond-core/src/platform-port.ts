/** Port for the platform's table service, object store and host list. */
import type {Deadline} from './clock.js';
import type {FleetView} from './fleet-view.js';
import type {Change, LogEntry} from './log-entry.js';

/** Log entries after a version, in order. Reads of the table service include the latest commits. */
export type LogPage = {
	readonly entries: readonly LogEntry[];
	/** Whether the log had no further entry when the platform responded. */
	readonly isComplete: boolean;
};

/** An entry to append. */
export type EntryDraft = {
	/** Identifies the operation; a retry with the same id is idempotent. */
	readonly operationId: string;
	readonly author: string;
	readonly change: Change;
};

/** Outcome of an append. */
export type AppendOutcome
	= | {readonly kind: 'accepted'; readonly version: number}
	/** Other writers appended first; `entries` are those after the expected version. */
		| {readonly kind: 'conflict'; readonly entries: readonly LogEntry[]};

/** A host in the platform's list, which is eventually consistent. */
export type ListedHost = {
	readonly host: string;
	readonly domain: string;
	readonly peerAddress: string;
	readonly state: 'live' | 'leaving';
};

/** Options of every call. */
export type CallOptions = {
	readonly deadline: Deadline;
	readonly signal: AbortSignal;
};

/**
 * The platform as seen by hosts and operator tools. Every call rejects with a `PortError`: code `unavailable` when its
 * effect is unknown, `invalid` when the platform holds data that cannot be parsed.
 */
export type PlatformPort = {
	/** Reads the entries after `version`. */
	readonly readEntries: (version: number, options: CallOptions) => Promise<LogPage>;
	/**
	 * Appends one entry at the version after `expectedVersion`. When the response is lost, the outcome is found by
	 * looking up the operation id in the log.
	 */
	readonly appendEntry: (draft: EntryDraft, expectedVersion: number, options: CallOptions) => Promise<AppendOutcome>;
	/** Reads the version at which an operation was accepted; `undefined` when it was not. */
	readonly readOperation: (operationId: string, options: CallOptions) => Promise<number | undefined>;
	/** Reads the latest snapshot; `undefined` when there is none. */
	readonly readSnapshot: (options: CallOptions) => Promise<FleetView | undefined>;
	/** Stores a snapshot under its content hash and makes it the latest one, unless there is a newer one. */
	readonly writeSnapshot: (view: FleetView, options: CallOptions) => Promise<void>;
	/** Reports to the platform that a host is live or leaving. */
	readonly reportHost: (host: ListedHost, options: CallOptions) => Promise<void>;
	/** Reads the platform's list of hosts, which may be outdated. */
	readonly readHosts: (options: CallOptions) => Promise<readonly ListedHost[]>;
};
