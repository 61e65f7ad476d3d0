/** Failover decisions: when a primary is replaced, by which host and by which database. */
import {createHash} from 'node:crypto';
import type {Instant} from './clock.js';
import type {GroupRecord} from './fleet-view.js';
import {countMajority} from './primacy-proof.js';
import type {PromotionBasis} from './promotion-machine.js';
import {isSurviving, type LogPosition} from './position.js';
import type {Suspicion} from './promotion-port.js';
import type {DatabaseStatus} from './upstream-port.js';

/** Probe results of one host for one member of a group. */
export type MemberProbeState = {
	readonly name: string;
	/** Last reported status; absent when the member has never answered a probe. */
	readonly status?: DatabaseStatus;
	/** When the probe was sent that `status` answers. */
	readonly readAt: Instant;
	/**
	 * Since when probes have failed, at least one of them on a new connection; absent when the last probe succeeded.
	 */
	readonly unreachableSince?: Instant;
	/** When the last probe was sent that showed contact between the replica and its primary. */
	readonly primaryContactAt: Instant;
	/** Consecutive successful probes that showed no contact between the replica and its primary. */
	readonly probesWithoutContact: number;
};

/** What one host tells the others about a group before they decide together whether its primary is replaced. */
export type GroupAssessment = {
	readonly domain: string;
	/** Whether the host reaches enough members to promote one. */
	readonly canSee: boolean;
	readonly suspicion?: Suspicion;
};

/** Compares databases by the end of their log, the most advanced first; ties are broken by name. */
export function compareProgress(left: DatabaseStatus, right: DatabaseStatus): number {
	const order = right.last.term - left.last.term || Number(right.last.position - left.last.position);
	return order || (left.name < right.name ? -1 : 1);
}

/** Returns whether a database's log extends at least as far as another's. */
export function hasReached(status: DatabaseStatus, other: DatabaseStatus): boolean {
	return status.last.term > other.last.term || (status.last.term === other.last.term && status.last.position >= other.last.position);
}

/** Returns whether the last probes reached the member. */
function isReachable(member: MemberProbeState): boolean {
	return member.status !== undefined && member.unreachableSince === undefined;
}

/** Returns whether a host reaches a majority of the members without counting the primary, as needed to replace it. */
export function isMajorityReachableWithoutPrimary(group: GroupRecord, members: readonly MemberProbeState[]): boolean {
	const others = members.filter(member => member.name !== group.primary && isReachable(member));
	return others.length >= countMajority(group.settings.members.length);
}

/**
 * Returns whether a host reaches a majority of the members, as needed to complete a promotion that another host
 * started.
 */
export function isMajorityReachable(group: GroupRecord, members: readonly MemberProbeState[]): boolean {
	return members.filter(member => isReachable(member)).length >= countMajority(group.settings.members.length);
}

/**
 * Decides whether one host suspects the primary of a group, and why; `undefined` when it does not.
 *
 * `dead`: it answers no probe, and too few replicas have contact to it. `cut_off`: it answers, but too few replicas
 * have contact to it for it to prove a commit. `unreachable`: it answers no probe, although enough replicas have
 * contact to it. `fenced`: it has granted a term above the log's, or follows another database.
 */
export function decideSuspicion(group: GroupRecord, members: readonly MemberProbeState[], now: Instant, suspicionMs: number): Suspicion | undefined {
	const primary = members.find(member => member.name === group.primary);
	if (!primary || !isMajorityReachableWithoutPrimary(group, members)) {
		return undefined;
	}

	const isUnreachable = primary.unreachableSince !== undefined;
	if (!isUnreachable && isFenced(group, primary)) {
		return 'fenced';
	}

	const replicas = members.filter(member => member.name !== group.primary && isReachable(member));
	const silenceMs = isUnreachable ? suspicionMs * UNREACHABLE_SILENCE_FACTOR : suspicionMs;
	const connected = replicas.filter(replica => !hasLostPrimary(replica, silenceMs));
	if (connected.length + 1 < countMajority(group.settings.members.length)) {
		return isUnreachable ? 'dead' : 'cut_off';
	}

	return isUnreachable && now - primary.unreachableSince >= suspicionMs ? 'unreachable' : undefined;
}

/** Factor on the suspicion time after which replicas count as cut off from a primary that answers no probe either. */
const UNREACHABLE_SILENCE_FACTOR = 0.5;

/** Consecutive probes without contact before a replica counts as cut off from its primary. */
const MIN_PROBES_WITHOUT_CONTACT = 3;

/**
 * Returns whether a replica has lost contact to its primary. The time without contact is measured between answered
 * probes, so that a host that was itself paused does not mistake its pause for a failure of the primary.
 */
function hasLostPrimary(replica: MemberProbeState, silenceMs: number): boolean {
	return replica.probesWithoutContact >= MIN_PROBES_WITHOUT_CONTACT && replica.readAt - replica.primaryContactAt >= silenceMs;
}

function isFenced(group: GroupRecord, primary: MemberProbeState): boolean {
	return primary.status !== undefined && (primary.status.term > group.term || primary.status.role === 'replica');
}

/** Applies an answered probe to the probe state of a member. */
export function applyProbe(known: MemberProbeState | undefined, status: DatabaseStatus, requestedAt: Instant): MemberProbeState {
	const isFirst = !known?.status || status.role === 'primary' || status.follows !== known.status.follows;
	const contactAt = isFirst ? requestedAt : readPrimaryContactAt(known, status, requestedAt);
	const hasContact = isFirst || contactAt > known.primaryContactAt + CONTACT_TOLERANCE_MS;
	return {
		name: status.name,
		status,
		readAt: requestedAt,
		primaryContactAt: hasContact ? contactAt : known.primaryContactAt,
		probesWithoutContact: hasContact ? 0 : known.probesWithoutContact + 1,
	};
}

/**
 * Returns when a replica last had contact to its primary. If it does not report this, it had contact when the state
 * that it has fully applied is newer than at the previous probe. A constant replication lag therefore counts as
 * contact.
 */
function readPrimaryContactAt(known: MemberProbeState, status: DatabaseStatus, requestedAt: Instant): Instant {
	if (status.heardMs !== undefined) {
		return requestedAt - status.heardMs;
	}

	const hasNewer = requestedAt - status.dataAgeMs > known.readAt - (known.status?.dataAgeMs ?? 0) + CONTACT_TOLERANCE_MS;
	return hasNewer ? requestedAt : known.primaryContactAt;
}

/** Milliseconds by which network latency of a probe may shift the apparent age of a replica's data. */
const CONTACT_TOLERANCE_MS = 5;

/** Applies a failed probe. The member counts as unreachable once a probe on a new connection has failed as well. */
export function applyProbeFailure(known: MemberProbeState | undefined, name: string, {requestedAt, failures}: {readonly requestedAt: Instant; readonly failures: number}): MemberProbeState {
	const base: MemberProbeState = known ?? {
		name, readAt: requestedAt, primaryContactAt: requestedAt, probesWithoutContact: 0,
	};
	return failures >= MIN_FAILURES ? {...base, unreachableSince: base.unreachableSince ?? requestedAt} : base;
}

/**
 * Consecutive failures before a member counts as unreachable. Every probe after the first failure opens a new
 * connection.
 */
const MIN_FAILURES = 2;

/**
 * Decides whether the hosts that responded agree on replacing a primary. Hosts of a second failure domain must suspect
 * it too, if any of them reaches the group. A primary that still has contact to its replicas is replaced only if no
 * host that reaches the group reaches it, and if those hosts are in at least two failure domains.
 */
export function decideAgreement(own: GroupAssessment, others: readonly GroupAssessment[]): boolean {
	if (!own.suspicion || !own.canSee) {
		return false;
	}

	const elsewhere = others.filter(other => other.domain !== own.domain && other.canSee);
	if (own.suspicion === 'unreachable') {
		return elsewhere.length > 0 && [...others.filter(other => other.canSee)].every(other => other.suspicion !== undefined);
	}

	return elsewhere.length === 0 || elsewhere.some(other => other.suspicion !== undefined);
}

/** Returns the terms of a group on which a promotion is based. */
export function readPromotionBasis(group: GroupRecord): PromotionBasis {
	return {term: group.term, openTerm: group.promotion?.term ?? 0, termStarts: group.termStarts};
}

/** Returns whether the log's terms are still those on which a promotion was based. */
export function isSameBasis(group: GroupRecord | undefined, basis: PromotionBasis): boolean {
	return group?.term === basis.term && (group.promotion?.term ?? 0) === basis.openTerm;
}

/** Returns the term of the next promotion, which exceeds all terms known to the log and the members. */
export function decideNextTerm(group: GroupRecord, statuses: readonly DatabaseStatus[]): number {
	return Math.max(group.term, group.promotion?.term ?? 0, ...statuses.map(status => status.term)) + 1;
}

/** Input of the choice of a candidate. */
export type CandidateInput = {
	/** Number of members of the group. */
	readonly members: number;
	/** Statuses reported by the members that granted the term. */
	readonly granted: readonly DatabaseStatus[];
	/** Primary to replace; it is chosen only if there is no majority without it. */
	readonly replaced?: string;
	/**
	 * Terms of the group according to the log. A database whose log extends beyond the start of a later term holds
	 * writes that were lost then.
	 */
	readonly basis: PromotionBasis;
	/** Database that an operator requested; it is chosen only if no other is more advanced. */
	readonly wanted?: string;
};

/**
 * Decides which member is promoted; `undefined` while no majority has granted the term. A member that still holds
 * writes lost in an earlier promotion is excluded, because clients may have been told that these writes were lost. Only
 * a minority of the members can hold such writes.
 */
export function decideCandidate({members, granted, replaced, wanted, basis}: CandidateInput): string | undefined {
	const majority = countMajority(members);
	const others = granted.filter(status => status.name !== replaced);
	const electorate = others.length >= majority ? others : granted;
	if (electorate.length < majority) {
		return undefined;
	}

	const candidates = electorate.filter(status => hasOnlySurvivingWrites(status, basis));
	const best = candidates.toSorted(compareProgress).at(0);
	const chosen = candidates.find(status => status.name === wanted);
	return best && chosen?.last.term === best.last.term && chosen.last.position === best.last.position ? chosen.name : best?.name;
}

/** Returns whether every write in a database's log survived the promotions recorded in the change log. */
function hasOnlySurvivingWrites({last}: DatabaseStatus, {term, termStarts}: PromotionBasis): boolean {
	return last.term >= term || isSurviving(last, term, termStarts);
}

/**
 * Returns the rank of a host among those that may promote a group; rank 0 acts first. Ranks avoid contention only,
 * safety does not depend on them.
 */
export function decidePromoterRank(group: string, host: string, hosts: readonly string[]): number {
	const own = readPromoterHash(group, host);
	return hosts.filter(other => other !== host && readPromoterHash(group, other) < own).length;
}

/** Returns the hash that orders a group's promoters, as hexadecimal text. */
function readPromoterHash(group: string, host: string): string {
	return createHash('sha256').update(`${group}/${host}`).digest('hex');
}

/** Returns whether a member must be told to follow the group's primary. */
export function isRedirectRequired(group: GroupRecord, status: DatabaseStatus): boolean {
	if (group.promotion !== undefined || group.primary === undefined || status.name === group.primary || status.term > group.term) {
		return false;
	}

	return status.role === 'primary' || status.follows !== group.primary || status.term < group.term;
}

/**
 * Returns the number of bytes in a member's log that are not part of the history of the group's term; they are dropped
 * when it follows the primary.
 */
export function countDivergentBytes(group: GroupRecord, last: LogPosition): bigint {
	const starts = group.termStarts.filter(termStart => termStart.term > last.term && termStart.start < last.position);
	const start = starts.toSorted((left, right) => Number(left.start - right.start)).at(0)?.start;
	return start === undefined ? 0n : last.position - start;
}
