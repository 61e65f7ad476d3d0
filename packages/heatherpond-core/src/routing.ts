/** Routing: decides which database of a group serves a request. */
import type {Instant} from './clock.js';
import type {GroupRecord} from './fleet-view.js';
import type {DatabaseState} from './host-state.js';
import {isIncluded, isSurviving, type LogPosition} from './position.js';

/** Requirements of a request on its database. */
export type RequestNeed = {
	/** A `read` may be served by a replica, a `write` needs the primary. */
	readonly kind: 'read' | 'write';
	/** Log point of the group that the response must include; absent when the session has written nothing there. */
	readonly required?: LogPosition;
	/** Staleness in milliseconds that the client accepts instead; 0 for none. */
	readonly maxStalenessMs: number;
	/** Milliseconds that a read may wait for a replica; it does not wait for one that lags by more. */
	readonly maxWaitMs: number;
};

/** Reason for the choice of a database. */
export type RouteReason = 'write' | 'replica_caught_up' | 'replica_fresh_enough' | 'replica_nearest' | 'no_replica';

/** Routing decision for a request. */
export type RouteDecision
	= | {readonly kind: 'send'; readonly database: string; readonly isPrimary: boolean; readonly reason: RouteReason}
	/** No replica is known to have caught up; `database` is the closest one. */
		| {readonly kind: 'wait'; readonly database: string}
		| {readonly kind: 'refuse'; readonly reason: 'no_primary' | 'write_lost' | 'future_token'};

/** Compares eligible databases; a negative result prefers the first one. */
export type DatabaseOrder = (left: string, right: string) => number;

/** Input of the routing decision. */
export type RoutingInput = {
	readonly group: GroupRecord;
	/** Returns the host's knowledge of a database of the group, by name. */
	readonly findKnowledge: (database: string) => DatabaseState | undefined;
	readonly need: RequestNeed;
	/** When the view was last verified as complete; no later term had started by then. */
	readonly verifiedAt: Instant;
	readonly now: Instant;
	readonly order: DatabaseOrder;
};

/**
 * Decides where a request is sent. A read is sent to a replica whose known log point includes the required one.
 * Otherwise it waits for the closest replica, or is sent to the primary.
 */
export function decideRoute(input: RoutingInput): RouteDecision {
	const {group, need} = input;
	const refusal = decideTokenRefusal(group, need);
	if (refusal) {
		return refusal;
	}

	const primary = findPrimary(group);
	if (need.kind === 'write') {
		return primary
			? {
				kind: 'send', database: primary, isPrimary: true, reason: 'write',
			}
			: {kind: 'refuse', reason: 'no_primary'};
	}

	return decideReplica(input) ?? decideReadWithoutReplica(input, primary);
}

/** Returns the primary that accepts new requests; `undefined` while there is none. */
export function findPrimary(group: GroupRecord): string | undefined {
	return group.promotion ? undefined : group.primary;
}

function decideTokenRefusal(group: GroupRecord, need: RequestNeed): RouteDecision | undefined {
	const {required} = need;
	if (!required) {
		return undefined;
	}

	if (required.term > group.term) {
		return {kind: 'refuse', reason: 'future_token'};
	}

	return isSurviving(required, group.term, group.termStarts) ? undefined : {kind: 'refuse', reason: 'write_lost'};
}

/** Returns the replicas that respond and hold no writes that were lost in a promotion. */
function findReplicas(input: RoutingInput): readonly DatabaseState[] {
	const {group, findKnowledge} = input;
	return group.settings.members
		.filter(member => member.name !== group.primary && !group.leaving.includes(member.name))
		.map(member => findKnowledge(member.name))
		.filter((knowledge): knowledge is DatabaseState => knowledge?.status !== undefined && knowledge.failures === 0)
		.filter(({status}) => status!.last.term > group.term || isSurviving(status!.last, group.term, group.termStarts));
}

function decideReplica(input: RoutingInput): RouteDecision | undefined {
	const {need, order} = input;
	const replicas = findReplicas(input);
	const caughtUp = replicas.filter(replica => isCaughtUp(input, replica));
	const best = caughtUp.map(replica => replica.name).toSorted(order).at(0);
	if (best !== undefined) {
		const reason = need.maxStalenessMs === 0 && need.required ? 'replica_caught_up' : 'replica_fresh_enough';
		return {
			kind: 'send', database: best, isPrimary: false, reason,
		};
	}

	return undefined;
}

function isCaughtUp(input: RoutingInput, replica: DatabaseState): boolean {
	const {group, need} = input;
	const status = replica.status!;
	if (need.maxStalenessMs > 0) {
		return readProvenAge(input, replica) <= need.maxStalenessMs;
	}

	return !need.required || isIncluded(status.last, need.required, group.termStarts);
}

/**
 * Returns the upper bound of the age of a replica's data in milliseconds; infinite when it does not follow the primary
 * of the group's current term. A later term that is unknown to this host may hold newer data, but none written before
 * the current term was last known to be the latest.
 */
export function readProvenAge(input: Omit<RoutingInput, 'need' | 'order'>, replica: DatabaseState): number {
	const {group, now} = input;
	const {status} = replica;
	if (!status || status.follows !== group.primary || status.term < group.term) {
		return Number.POSITIVE_INFINITY;
	}

	return Math.max(status.dataAgeMs + (now - replica.readAt), now - readTermProvenAt(input));
}

/**
 * Returns when the group's term was last known to be the latest: from the change log, or from a majority of the
 * databases, without which no later term can start.
 */
function readTermProvenAt({group, findKnowledge, verifiedAt}: Pick<RoutingInput, 'group' | 'findKnowledge' | 'verifiedAt'>): Instant {
	const {members} = group.settings;
	const majority = Math.floor(members.length / 2) + 1;
	const provenAt = members
		.map(member => findKnowledge(member.name))
		.filter(knowledge => knowledge?.status !== undefined && knowledge.status.term <= group.term)
		.map(knowledge => knowledge!.readAt)
		.toSorted((left, right) => right - left)
		.at(majority - 1);
	return Math.max(verifiedAt, provenAt ?? Number.NEGATIVE_INFINITY);
}

function decideReadWithoutReplica(input: RoutingInput, primary: string | undefined): RouteDecision {
	const closest = findReplicas(input)
		.toSorted((left, right) => Number(right.status!.last.position - left.status!.last.position))
		.at(0);
	if (closest && input.need.required && isWaitUseful(input, closest)) {
		return {kind: 'wait', database: closest.name};
	}

	if (!primary) {
		return {kind: 'refuse', reason: 'no_primary'};
	}

	return {
		kind: 'send', database: primary, isPrimary: true, reason: 'no_replica',
	};
}

/**
 * Returns whether waiting for a replica can succeed: its lag is within the allowed wait, or there is no primary as an
 * alternative.
 */
function isWaitUseful({group, need, now}: RoutingInput, closest: DatabaseState): boolean {
	const lag = closest.status!.dataAgeMs + (now - closest.readAt);
	return lag <= need.maxWaitMs || findPrimary(group) === undefined;
}
