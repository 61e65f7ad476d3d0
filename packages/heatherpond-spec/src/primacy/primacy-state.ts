/** State, steps and scope of the primacy model. */
import type {DatabaseStatus, LogPosition} from 'heatherpond-core';
import type {LogNode} from './log-node.js';

/** Time for which a stamp is valid as a lease on the term. The unit is arbitrary: only the order of instants matters. */
export const LEASE_DURATION = 1;

/** Time by which one tick advances the clock: longer than a lease including every margin. */
export const TICK_DURATION = 2;

/** An instant so early that no lease from it is still valid. */
export const BEFORE_ANY_LEASE = -TICK_DURATION;

/** A response in transit to a host: the log as the platform or a peer had it when responding. */
export type StampResponse = {
	readonly askedAt: number;
	readonly log: LogNode;
	/** Age of the stamp when the response was sent; 0 from the platform. */
	readonly age: number;
	readonly isRelayed: boolean;
};

/** A promotion as its promoter sees it. */
export type PromotionState = {
	readonly term: number;
	/** `asked`: the append was sent; `known`: the promoter knows that it succeeded; `promoted`: a candidate has become primary. */
	readonly stage: 'asked' | 'known' | 'promoted';
	readonly askedAt: number;
	readonly knownAt: number;
	/** Log up to the entry that started the promotion; absent while the append is pending, and without the store. */
	readonly entry?: LogNode;
	/** Status that each member reported when it granted the term. */
	readonly granted: readonly DatabaseStatus[];
	/** Hosts that have confirmed the promotion, and so use no lease on a lower term. */
	readonly confirmed: readonly string[];
	readonly primary?: string;
	readonly start?: number;
};

/** One host of the fleet. */
export type HostModel = {
	readonly name: string;
	readonly log: LogNode;
	readonly verifiedAt: number;
	readonly answer?: StampResponse;
	readonly promotion?: PromotionState;
	/** Highest term of a promotion that this host has confirmed; it uses no lease on a lower term. */
	readonly fencedTerm: number;
	/** Hosts whose removal this host has read, with the time at which it read the removal. */
	readonly removals: ReadonlyArray<{readonly host: string; readonly seenAt: number}>;
};

/** One committed write in the history of a member. */
export type HistoryEntry = {readonly term: number; readonly write: number};

/** One database of the group. */
export type MemberModel = {
	readonly name: string;
	readonly term: number;
	readonly grantedTo: string;
	/** Term in which the member is primary; 0 on a replica. */
	readonly primaryTerm: number;
	/** Primary that the member replicates from; empty on a primary. */
	readonly follows: string;
	readonly history: readonly HistoryEntry[];
};

/** One write of a client. */
export type WriteModel = {
	readonly id: number;
	readonly stage: 'queued' | 'dispatched' | 'answered' | 'proven' | 'acknowledged' | 'reportedLost';
	readonly host: string;
	readonly database: string;
	readonly point: LogPosition;
	readonly proof?: 'lease' | 'replica';
	/** Number of times that a primary has executed the write. */
	readonly runs: number;
};

/** State of the model. `promotedPrimaries` lists the primaries of all terms, in the order of their promotion. */
export type PrimacyState = {
	readonly now: number;
	readonly head: LogNode;
	readonly hosts: readonly HostModel[];
	readonly members: readonly MemberModel[];
	readonly writes: readonly WriteModel[];
	readonly promotedPrimaries: ReadonlyArray<{readonly term: number; readonly member: string; readonly history: readonly HistoryEntry[]}>;
	/** Invariant that the last step violated. */
	readonly violation?: string;
};

/** One step of one process, or one tick of the clock. */
export type PrimacyStep
	= | {readonly kind: 'tick'}
		| {readonly kind: 'ask' | 'receive' | 'decide' | 'append' | 'learn' | 'promote' | 'record' | 'remove'; readonly host: string}
		| {readonly kind: 'askPeer' | 'confirm'; readonly host: string; readonly peer: string}
		| {readonly kind: 'raise'; readonly host: string; readonly member: string}
		| {readonly kind: 'replicate'; readonly from: string; readonly to: string}
		| {readonly kind: 'dispatch' | 'retry'; readonly write: number; readonly host: string; readonly member: string}
		| {readonly kind: 'answer' | 'proveLease' | 'proveReplica' | 'acknowledge' | 'reportLost'; readonly write: number; readonly host: string};

/** Bounds and configuration of an exploration. */
export type PrimacyScope = {
	readonly name: string;
	readonly hosts: readonly string[];
	/** Hosts that are registered in the initial log. */
	readonly registered: readonly string[];
	/** Hosts that may promote, each with the highest term for which it tries. */
	readonly promoters: Readonly<Record<string, number>>;
	/** Hosts through which clients write. */
	readonly writers: readonly string[];
	/** Hosts that may be removed from the log. */
	readonly removable: readonly string[];
	/** Host from which writers request stamps instead of from the platform. */
	readonly relay?: string;
	readonly members: readonly string[];
	readonly durability: 'primary' | 'replica';
	/** Whether writes without a lease proof fall back to the replica proof. */
	readonly hasFallback: boolean;
	/** Whether the store is unavailable: promoters proceed without it, and hosts learn of primaries from the members. */
	readonly isStoreless: boolean;
	readonly writes: number;
	/** Whether the first write has already been executed by the primary of the first term in the initial state. */
	readonly hasInitialWrite: boolean;
	/** Number of clock ticks. With 0, responses arrive at once: a late response is equivalent to a host that has not read since. */
	readonly maxTicks: number;
	/** Pairs of names that can be exchanged without changing the model. */
	readonly symmetries: ReadonlyArray<readonly [string, string]>;
};

/** Reads the log position at the end of a history. Each entry counts as one byte. */
export function readLastPosition(history: readonly HistoryEntry[]): LogPosition {
	return {term: history.at(-1)?.term ?? 0, position: BigInt(history.length)};
}

/** Reads the status that a member reports. */
export function readMemberStatus(member: MemberModel): DatabaseStatus {
	const {name, term, grantedTo, primaryTerm, follows, history} = member;
	return {
		name, role: primaryTerm > 0 ? 'primary' : 'replica', term, grantedTo, last: readLastPosition(history), follows, dataAgeMs: 0,
	};
}
