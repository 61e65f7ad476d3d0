/** Ports through which sessions reach the rest of the process. */
import type {
	Clock, Deadline, Instant, LogPoint,
} from 'heatherpond-core';
import type {Loan, LoanRequest} from './loan.js';
import type {PositionBook} from './position-book.js';
import type {SessionRoute} from './route.js';
import type {UpstreamCandidate} from './upstream-choice.js';

/** The primary of a group in a term. */
export type Primary = {readonly group: string; readonly database: string; readonly term: number};

/** Whether a caller may use a route now; `unverified_here` means that other hosts can verify the contracts. */
export type SessionAccess
	= | {readonly kind: 'allow'; readonly route: SessionRoute; readonly team: string}
		| {readonly kind: 'refuse'; readonly reason: 'unknown_database' | 'unknown_key' | 'unverified' | 'unverified_here'};

/** Tells who may call, by the newest contracts. */
export type AccessPort = {
	readonly decideAccess: (database: string, key: string) => SessionAccess;
};

/** Tells which database is primary, and whether that is still proven. */
export type PrimacyPort = {
	/** Finds the primary; nothing while a promotion is under way or the lease has lapsed. */
	readonly findPrimary: (group: string) => Primary | undefined;
	/** Tells whether what a primary has committed may be acknowledged: no other can have taken over yet. */
	readonly isProven: (primary: Primary) => boolean;
	/** Tells whether the primary is known to be replaced, so that no proof can come any more. */
	readonly isReplaced: (primary: Primary) => boolean;
	/** Term of the group as last known, proven or not. */
	readonly readTerm: (group: string) => number | undefined;
	/** Waits until what `findPrimary` answers may have changed. */
	readonly waitForChange: (deadline: Deadline, signal: AbortSignal) => Promise<void>;
	/** Counts a write or a transaction that is at work on a primary, until the returned function is called. */
	readonly registerWork: (primary: Primary) => () => void;
};

/** Knows the databases and lends connections to them. */
export type UpstreamsPort = {
	/** Databases of a group that take new work. */
	readonly findCandidates: (group: string, team: string, primary: string | undefined) => readonly UpstreamCandidate[];
	/** @throws UpstreamError when there is no connection by the deadline */
	readonly acquire: (database: string, request: LoanRequest) => Promise<Loan>;
	/** Counts a statement that is at work on a database, until the returned function is called. */
	readonly registerWork: (database: string) => () => void;
	/** Records that a database failed or was silent at an instant. */
	readonly applyFailure: (database: string, reason: string, at: Instant) => void;
	readonly applyAnswer: (database: string, latencyMs: number, at: Instant) => void;
};

/** Decides whether a team may start another operation. */
export type AdmissionPort = {
	/** Milliseconds after which the team may try again; 0 when the operation is admitted. */
	readonly admit: (team: string) => Promise<number>;
};

/** Writes one event. */
export type WriteEvent = (event: string, fields: Readonly<Record<string, string | number | boolean | undefined>>) => void;

/** How one statement fared, for metrics. */
export type StatementObservation = {
	/** Logical database that the caller connected to. */
	readonly route: string;
	/** `served`, `failed`, `done` without a database, or the code of a refusal. */
	readonly outcome: string;
	/** Database that answered. */
	readonly database?: string;
	/** Milliseconds from the statement's arrival to its answer. */
	readonly elapsedMs: number;
};

/** What the sessions of one process share. */
export type SessionServices = {
	readonly clock: Clock;
	readonly access: AccessPort;
	readonly primacy: PrimacyPort;
	readonly upstreams: UpstreamsPort;
	readonly admission: AdmissionPort;
	readonly positions: PositionBook;
	readonly writeEvent: WriteEvent;
	readonly recordStatement: (observation: StatementObservation) => void;
	/** Draws a number from 0, inclusive, to 1, exclusive. */
	readonly random: () => number;
	/** Milliseconds for which a transaction may wait for its caller. */
	readonly readIdleTransactionMs: () => number;
};

/** Point that a read on a route needs, or `unknown` when only the primary is sure to have it. */
export type RequiredPoint = {readonly kind: 'point'; readonly point: LogPoint} | {readonly kind: 'unknown'};
