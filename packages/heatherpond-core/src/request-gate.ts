/** Ports for admission control: requests wait here for their team's limits and for database capacity. */
import ModernError from 'modern-errors';
import type {Deadline} from './clock.js';
import type {Contract} from './contract.js';

/** A request to be admitted. */
export type RequestTicket = {
	readonly requestId: string;
	readonly team: string;
	/** Absent for clients of an open route. */
	readonly contract?: Contract;
	readonly group: string;
	/** Number of statements that the request counts as. */
	readonly cost: number;
	/** Memory in bytes that the request occupies while it waits. */
	readonly bytes: number;
	readonly deadline: Deadline;
	readonly signal: AbortSignal;
};

/** Why a request was rejected; it has not been sent to any upstream connection. */
export type RefusalReason = 'over_rate' | 'queue_full' | 'queue_deadline' | 'no_upstream' | 'draining' | 'contract_removed';

/** A request was rejected and not executed; `retryAfterMs` tells when to retry. */
export const RefusalError = ModernError.subclass('RefusalError', {
	props: {reason: 'over_rate' as RefusalReason, retryAfterMs: 0},
});

/** Admission of requests by team: rate, burst and fair queues. */
export type RequestGate = {
	/**
	 * Resolves when the request is admitted.
	 *
	 * @throws RefusalError when it is rejected
	 */
	readonly admit: (ticket: RequestTicket) => Promise<void>;
};

/** How a statement on a database ended; input of the adaptive limit. */
export type DatabaseOutcome = 'answered' | 'failed' | 'timed_out';

/** A permit to run one statement or transaction on a database. */
export type DatabasePermit = {
	/** Releases the permit; idempotent. */
	readonly release: (outcome: DatabaseOutcome) => void;
};

/** Fair queues in front of each database, so that requests wait here and not inside the database. */
export type DatabaseGate = {
	/**
	 * Waits for a permit on a database.
	 *
	 * @throws RefusalError when the request is rejected
	 */
	readonly acquire: (ticket: RequestTicket, database: string) => Promise<DatabasePermit>;
	/** Returns the expected wait of a new request, comparable between databases only; lower is better. */
	readonly readExpectedWait: (group: string, database: string) => number;
};
