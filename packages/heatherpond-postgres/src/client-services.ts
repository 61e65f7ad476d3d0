/** Dependencies that the process provides to all client sessions. */
import type {
	Clock, DatabaseGate, Deadline, HostBlackboard, Member, PrimacyGate, RecordEvent, RequestGate,
} from 'heatherpond-core';
import type {RetryBudget} from './retry-budget.js';
import type {UpstreamPools} from './upstream-pools.js';

/** Ports, gates and limits shared by all client sessions of one process. */
export type ClientServices = {
	readonly blackboard: HostBlackboard;
	readonly clock: Clock;
	readonly requestGate: RequestGate;
	readonly databaseGate: DatabaseGate;
	readonly primacyGate: PrimacyGate;
	readonly pools: UpstreamPools;
	readonly retryBudget: RetryBudget;
	readonly recordEvent: RecordEvent;
	/** Creates an id that is unique in the fleet. */
	readonly createId: () => string;
	/** Returns a random number in the range [0, 1). */
	readonly random: () => number;
	/** Checks over a new connection whether a database responds; resolves to false if it does not by the deadline. */
	readonly probe: (member: Member, deadline: Deadline, signal: AbortSignal) => Promise<boolean>;
	readonly limits: ClientLimits;
};

/** Limits on one client connection. */
export type ClientLimits = {
	/** Longest message accepted, in bytes; also the limit for all messages of one request together. */
	readonly maxFrameBytes: number;
	/** Milliseconds within which a client must have authenticated. */
	readonly startupTimeoutMs: number;
	/** Milliseconds after which a request times out. */
	readonly requestTimeoutMs: number;
	/** Milliseconds that a read waits for a suitable replica before it is sent to the primary. */
	readonly replicaWaitMs: number;
	/** Response bytes that may be buffered per request until the primacy of the database is proven. */
	readonly maxHeldBytes: number;
	/** Milliseconds that a transaction may be idle before it is rolled back. */
	readonly idleTransactionTimeoutMs: number;
	/** Milliseconds without data from a database after which it is probed over a new connection. */
	readonly silenceMs: number;
	/** Milliseconds that requests and transactions have to finish during a graceful shutdown. */
	readonly drainTimeoutMs: number;
};
