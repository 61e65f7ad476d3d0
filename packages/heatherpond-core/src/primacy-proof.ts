/**
 * Proves that a commit was made by the group's primary. There are two kinds of proof.
 *
 * The lease proof relies on the change log: a view that was complete less than a lease ago names the database as
 * primary. A host that replaces the primary first records this in the log, and then waits until a lease has passed or
 * every host has confirmed.
 *
 * The replica proof relies on the members alone: replicas that form a majority together with the primary follow it in
 * its term and hold the commit.
 */
import type {Instant} from './clock.js';
import type {Durability, GroupSettings} from './contract.js';
import type {GroupRecord, HostRecord} from './fleet-view.js';
import {isSurviving, type LogPosition} from './position.js';
import {readStampAge, type Stamp} from './stamp.js';
import type {DatabaseStatus} from './upstream-port.js';

/** A database's claim that it was the primary when it committed. */
export type PrimacyClaim = {
	readonly database: string;
	/** Log point of the commit, as reported by the database. */
	readonly point: LogPosition;
};

/** Input of the lease proof. */
export type LeaseInput = {
	/** The group in the host's view; absent when the view lacks it. */
	readonly group?: GroupRecord;
	readonly claim: PrimacyClaim;
	readonly stamp: Stamp;
	readonly now: Instant;
	/** Age in milliseconds below which a freshness stamp serves as a lease. */
	readonly termLeaseMs: number;
	/** Whether this process is registered in the view. */
	readonly isRegistered: boolean;
	/** Term below which this host has promised a promoter to use no lease; 0 for none. */
	readonly fencedTerm: number;
};

/** Fraction by which a waiting promoter's clock may run faster than the clock of a host that holds a lease. */
export const CLOCK_RATE_MARGIN = 0.01;

/**
 * Returns whether the lease proof holds at `now`. Checked again in the turn of the event loop in which the
 * acknowledgement is sent.
 */
export function isLeaseProof(input: LeaseInput): boolean {
	const {group, claim, stamp, now, termLeaseMs} = input;
	if (!input.isRegistered || group?.primary !== claim.database) {
		return false;
	}

	if (group.promotion !== undefined || input.fencedTerm > group.term || readStampAge(stamp, now) >= termLeaseMs) {
		return false;
	}

	return isSurviving(claim.point, group.term, group.termStarts);
}

/** Returns whether, according to the log, the database has been replaced since its commit. */
export function isReplaced(group: GroupRecord | undefined, claim: PrimacyClaim): boolean {
	if (group === undefined || group.term < claim.point.term) {
		return false;
	}

	return group.primary !== claim.database || !isSurviving(claim.point, group.term, group.termStarts);
}

/**
 * Returns the term in which replicas must follow the database for a replica proof. This is the term of the commit, or
 * the log's term if the log names the database as primary of a later one and the point survived until then: a commit
 * without changes reports a point of an earlier term.
 */
export function readClaimTerm(group: GroupRecord | undefined, claim: PrimacyClaim): number {
	const isNamed = group?.primary === claim.database && group.term > claim.point.term && isSurviving(claim.point, group.term, group.termStarts);
	return isNamed ? group.term : claim.point.term;
}

/** Returns whether a replica confirms a commit: it follows the database in its term and holds the commit. */
export function isReplicaConfirmation(status: DatabaseStatus, claim: PrimacyClaim, term: number): boolean {
	return status.role === 'replica'
		&& status.term === term
		&& status.follows === claim.database
		&& status.last.term === claim.point.term
		&& status.last.position >= claim.point.position;
}

/** Returns the size of a majority of a group's members. */
export function countMajority(members: number): number {
	return Math.floor(members / 2) + 1;
}

/** Returns whether the replicas that confirm a commit form a majority together with the primary. */
export function isReplicaProof(statuses: readonly DatabaseStatus[], claim: PrimacyClaim, term: number, members: number): boolean {
	const confirming = new Set(statuses.filter(status => isReplicaConfirmation(status, claim, term)).map(status => status.name));
	return confirming.size + 1 >= countMajority(members);
}

/** Returns the durability that applies to a write: the group's setting overrides the team's contract. */
export function decideDurability(settings: GroupSettings | undefined, contract: Durability): Durability {
	return settings?.durability === 'replica' ? 'replica' : contract;
}

/** A host whose lease must end, or whose confirmation a promoter needs. */
export type LeaseHolder = {readonly host: string; readonly incarnation: string};

/** Input of the check that all leases have ended. */
export type LeaseWaitInput = {
	/** When the promoter learned that its entry was in the log. */
	readonly knownAt: Instant;
	readonly now: Instant;
	readonly termLeaseMs: number;
	/** Hosts that may hold a lease; absent while the promoter does not know all of them. */
	readonly holders?: readonly LeaseHolder[];
	/** Hosts that have applied the entry or promised to use no lease below its term. */
	readonly confirmed: readonly LeaseHolder[];
};

/** Returns how long a promoter waits for leases to expire, in milliseconds of its own clock. */
export function readLeaseWaitMs(termLeaseMs: number): number {
	return termLeaseMs * (1 + CLOCK_RATE_MARGIN);
}

/** Returns whether no host can hold a lease on an earlier term any more. */
export function hasEndedLeases(input: LeaseWaitInput): boolean {
	if (input.now >= input.knownAt + readLeaseWaitMs(input.termLeaseMs)) {
		return true;
	}

	return input.holders?.every(holder => input.confirmed.some(other => other.host === holder.host && other.incarnation === holder.incarnation)) ?? false;
}

/** A host that is no longer registered; `noticedAt` is when this host's view first lacked it. */
export type FormerLeaseHolder = HostRecord & {readonly noticedAt: Instant};

/** A host's knowledge of the hosts that may hold a lease. */
export type LeaseHoldersInput<Holder extends LeaseHolder> = {
	/** Hosts registered in the log. */
	readonly registered: readonly Holder[];
	readonly former: ReadonlyArray<Holder & {readonly noticedAt: Instant}>;
	/** Since when the process has followed the log without a gap. */
	readonly followedSince: Instant;
	readonly now: Instant;
	readonly termLeaseMs: number;
};

/**
 * Returns the hosts that may hold a lease: the registered ones, and those removed less than a lease ago. Returns
 * `undefined` when the host has followed the log for less than a lease, because it may have missed removals.
 */
export function decideLeaseHolders<Holder extends LeaseHolder>({registered, former, followedSince, now, termLeaseMs}: LeaseHoldersInput<Holder>): readonly Holder[] | undefined {
	const lapsedBefore = now - readLeaseWaitMs(termLeaseMs);
	if (followedSince > lapsedBefore) {
		return undefined;
	}

	return [...registered, ...former.filter(holder => holder.noticedAt > lapsedBefore)];
}
