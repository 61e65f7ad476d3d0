/** Interfaces through which sessions use the rest of the process. */
import type {
	Clock, Deadline, Instant, LogPosition,
} from 'heatherpond-core';
import type {ConnectionHandle, ConnectionRequest, StepTiming} from './connection-handle.js';
import type {StatementOutcome} from './failure-share.js';
import type {Homes} from './homes.js';
import type {MessageMemory} from './message-memory.js';
import type {PositionTracker} from './position-tracker.js';
import type {SessionRoute} from './route.js';
import type {UpstreamCandidate} from './upstream-selection.js';

/** The database that is primary of a group in a term. */
export type Primary = {readonly group: string; readonly database: string; readonly term: number};

/**
 * Whether a client may use a route; with `unverified_here`, other hosts can verify the contracts although this one cannot, and with
 * `unsendable_name` databases cannot be told the name of the team or of the group.
 */
export type SessionAccess
	= | {readonly kind: 'allow'; readonly route: SessionRoute; readonly team: string; readonly homes?: Homes}
		| {readonly kind: 'refuse'; readonly reason: 'unknown_database' | 'unknown_key' | 'unsendable_name' | 'unverified' | 'unverified_here'};

/** Authorizes clients by the newest contracts. */
export type AccessPort = {
	/** Authorizes a client that presents `key` for the logical database. */
	readonly decideAccess: (database: string, key: string) => SessionAccess;
};

/** Finds the primary of each group and tells whether its role is still confirmed. */
export type PrimacyPort = {
	/** Finds the confirmed primary; undefined during a promotion and after its lease has expired. */
	readonly findPrimary: (group: string) => Primary | undefined;
	/** Whether commits of the primary may be acknowledged, because no other database can have been promoted yet. */
	readonly isConfirmed: (primary: Primary) => boolean;
	/** Whether the primary is known to have been replaced, so that it can never be confirmed again. */
	readonly isReplaced: (primary: Primary) => boolean;
	/** Reads the last known term of the group, whether or not its primary is confirmed. */
	readonly readTerm: (group: string) => number | undefined;
	/** Waits until the result of `findPrimary` or `isConfirmed` may have changed, or until the deadline. */
	readonly waitForChange: (deadline: Deadline, signal: AbortSignal) => Promise<void>;
	/** Asks the primary of the group for its log position; resolves when it is known, or cannot be known by the deadline. */
	readonly requestPosition: (group: string, deadline: Deadline) => Promise<void>;
	/** Registers a write or transaction in flight on a primary; the returned function ends the registration. */
	readonly registerWork: (primary: Primary) => () => void;
};

/** A response: how long it took, which part of that the statement ran, and whether the statement failed on the database. */
export type RecordedResponse = StatementOutcome & {readonly timing?: StepTiming};

/** Takes one statement from a budget; resolves to 0, or to the milliseconds after which there may be room for one. */
export type RequestBudget = () => Promise<number>;

/** Who looks for a database: the team, the primary of the group as this host knows it, and where statements may be run. */
export type CandidateQuery = {readonly team: string; readonly primary?: string; readonly homes?: Homes};

/** Lists the databases and provides connections to them. */
export type UpstreamsPort = {
	/** Finds the databases of a group that accept new statements. */
	readonly findCandidates: (group: string, query: CandidateQuery) => readonly UpstreamCandidate[];
	/** Whether statements with these homes may be sent to a database now: it is in one of them, and its failure domain is not closed. */
	readonly isPermitted: (database: string, homes: Homes | undefined) => boolean;
	/** Whether any database of the group is in one of the homes and accepts work. */
	readonly hasPermitted: (group: string, homes: Homes | undefined) => boolean;
	/**
	 * Acquires a connection to a database.
	 *
	 * @throws UpstreamError when no connection is available by the deadline
	 */
	readonly acquire: (database: string, request: ConnectionRequest) => Promise<ConnectionHandle>;
	/** Finds the budget of a database that may get few statements for now; nothing for others. */
	readonly findBudget: (database: string) => RequestBudget | undefined;
	/** Registers a statement in flight on a database; the returned function ends the registration. */
	readonly registerWork: (database: string) => () => void;
	/** Records that a database failed or did not respond. */
	readonly recordFailure: (database: string, reason: string, at: Instant) => void;
	/** Records a response, which shows that the database can be reached. */
	readonly recordResponse: (database: string, response: RecordedResponse) => void;
};

/** Admission control: enforces the operation rate of each team. */
export type AdmissionPort = {
	/** Resolves to 0 when the operation is admitted, otherwise to the milliseconds after which the team may retry. */
	readonly admit: (team: string) => Promise<number>;
};

/** Writes one event to the structured log. */
export type WriteEvent = (event: string, fields: Readonly<Record<string, string | number | boolean | undefined>>) => void;

/** Outcome and duration of one statement, for metrics. */
export type StatementObservation = {
	/** Logical database that the client connected to. */
	readonly route: string;
	/** `served` or `failed` by a database, `done` without one, or the code of a refusal. */
	readonly outcome: string;
	/** Database that ran the statement. */
	readonly database?: string;
	/** Milliseconds from the arrival of the statement to its reply. */
	readonly elapsedMs: number;
};

/** Services shared by all sessions of one process. */
export type SessionServices = {
	readonly clock: Clock;
	readonly access: AccessPort;
	readonly primacy: PrimacyPort;
	readonly upstreams: UpstreamsPort;
	readonly admission: AdmissionPort;
	readonly positions: PositionTracker;
	/** Memory for the variables and prepared statements of all sessions. */
	readonly memory: MessageMemory;
	readonly writeEvent: WriteEvent;
	readonly recordStatement: (observation: StatementObservation) => void;
	/** Returns a random number from 0, inclusive, to 1, exclusive. */
	readonly random: () => number;
	/** Reads the idle transaction timeout, in milliseconds. */
	readonly readIdleTransactionMs: () => number;
};

/** Log position that a database must have reached to serve a read, or `unknown` when only the primary is certain to qualify. */
export type RequiredPosition = {readonly kind: 'point'; readonly point: LogPosition} | {readonly kind: 'unknown'};
