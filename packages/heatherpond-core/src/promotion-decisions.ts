/** Decides when a primary is replaced, by whom and by which database. */
import {createHash} from 'node:crypto';
import type {Instant} from './clock.js';
import type {GroupRecord} from './fleet-view.js';
import {countMajority} from './primacy-proof.js';
import type {PromotionBasis} from './promotion-machine.js';
import {isSurviving, type LogPoint} from './position.js';
import type {Suspicion} from './promotion-port.js';
import type {DatabaseStatus} from './upstream-port.js';

/** What one host knows of one member of a group. */
export type MemberEvidence = {
	readonly name: string;
	/** Last status that the member gave; absent when it never gave one. */
	readonly status?: DatabaseStatus;
	/** When the question was sent that `status` answers. */
	readonly readAt: Instant;
	/** Since when probes have failed, at least one of them on a new connection; absent when the last one succeeded. */
	readonly unreachableSince?: Instant;
	/** When the last probe was sent that showed a sign of the primary which a replica follows. */
	readonly primaryContactAt: Instant;
	/** Successful probes in a row that showed no sign of the primary. */
	readonly probesWithoutContact: number;
};

/** What one host says of a group. */
export type GroupOpinion = {
	readonly domain: string;
	/** Whether the host reaches enough members to promote one. */
	readonly canSee: boolean;
	readonly suspicion?: Suspicion;
};

/** Orders databases by how far their history reaches: the most advanced first. */
export function compareAdvance(left: DatabaseStatus, right: DatabaseStatus): number {
	const order = right.last.term - left.last.term || Number(right.last.position - left.last.position);
	return order || (left.name < right.name ? -1 : 1);
}

/** Decides whether a database's history reaches at least as far as another's. */
export function hasReached(status: DatabaseStatus, other: DatabaseStatus): boolean {
	return status.last.term > other.last.term || (status.last.term === other.last.term && status.last.position >= other.last.position);
}

/** Decides whether a member can be reached. */
function isReachable(member: MemberEvidence): boolean {
	return member.status !== undefined && member.unreachableSince === undefined;
}

/** Decides whether a host sees enough members, without the primary, to replace it. */
export function isGroupVisible(group: GroupRecord, members: readonly MemberEvidence[]): boolean {
	const others = members.filter(member => member.name !== group.primary && isReachable(member));
	return others.length >= countMajority(group.settings.members.length);
}

/** Decides whether a host sees enough members to end a promotion that another host has begun. */
export function isMajorityReachable(group: GroupRecord, members: readonly MemberEvidence[]): boolean {
	return members.filter(member => isReachable(member)).length >= countMajority(group.settings.members.length);
}

/**
 * Decides what one host holds against the primary of a group; `undefined` when nothing.
 *
 * `dead`: it answers no probe and too few replicas hear it. `cut_off`: it answers, but too few replicas hear it for it
 * to prove a commit. `unreachable`: it answers no probe although its replicas hear it. `fenced`: it has granted a term
 * above the log's or follows another database.
 */
export function decideSuspicion(group: GroupRecord, members: readonly MemberEvidence[], now: Instant, suspicionMs: number): Suspicion | undefined {
	const primary = members.find(member => member.name === group.primary);
	if (!primary || !isGroupVisible(group, members)) {
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

/** Share of the silence that is enough when the primary answers no probe either. */
const UNREACHABLE_SILENCE_FACTOR = 0.5;

/** Probes in a row without a sign of the primary before a replica counts as cut off from it. */
const MIN_PROBES_WITHOUT_CONTACT = 3;

/**
 * Decides whether a replica has lost its primary. The silence is measured between probes that were answered, so that
 * a host which was itself at a standstill does not take its own pause for the primary's.
 */
function hasLostPrimary(replica: MemberEvidence, silenceMs: number): boolean {
	return replica.probesWithoutContact >= MIN_PROBES_WITHOUT_CONTACT && replica.readAt - replica.primaryContactAt >= silenceMs;
}

function isFenced(group: GroupRecord, primary: MemberEvidence): boolean {
	return primary.status !== undefined && (primary.status.term > group.term || primary.status.role === 'replica');
}

/** Applies an answered probe to what is known of a member. */
export function applyProbe(known: MemberEvidence | undefined, status: DatabaseStatus, requestedAt: Instant): MemberEvidence {
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
 * Reads when a replica last heard its primary. One that does not tell shows a sign when the state that it holds in full
 * is younger than the one that it held at the probe before; a lag that stays the same is no silence.
 */
function readPrimaryContactAt(known: MemberEvidence, status: DatabaseStatus, requestedAt: Instant): Instant {
	if (status.heardMs !== undefined) {
		return requestedAt - status.heardMs;
	}

	const hasNewer = requestedAt - status.dataAgeMs > known.readAt - (known.status?.dataAgeMs ?? 0) + CONTACT_TOLERANCE_MS;
	return hasNewer ? requestedAt : known.primaryContactAt;
}

/** Milliseconds by which the time that a probe travels may move the age of a replica's data. */
const CONTACT_TOLERANCE_MS = 5;

/** Applies a failed probe; the member counts as unreachable once a probe on a new connection has failed too. */
export function applyProbeFailure(known: MemberEvidence | undefined, name: string, {askedAt, failures}: {readonly askedAt: Instant; readonly failures: number}): MemberEvidence {
	const base: MemberEvidence = known ?? {
		name, readAt: askedAt, primaryContactAt: askedAt, probesWithoutContact: 0,
	};
	return failures >= MIN_FAILURES ? {...base, unreachableSince: base.unreachableSince ?? askedAt} : base;
}

/** Failures in a row before a member counts as unreachable; every probe after the first failure opens a connection. */
const MIN_FAILURES = 2;

/**
 * Decides whether the hosts that answered agree that a primary is replaced. Hosts of a second failure domain must
 * suspect it too, if any of them sees the group; a primary that its replicas hear is replaced only when no host that
 * sees the group reaches it and there are hosts of two failure domains.
 */
export function decideAgreement(own: GroupOpinion, others: readonly GroupOpinion[]): boolean {
	if (!own.suspicion || !own.canSee) {
		return false;
	}

	const elsewhere = others.filter(other => other.domain !== own.domain && other.canSee);
	if (own.suspicion === 'unreachable') {
		return elsewhere.length > 0 && [...others.filter(other => other.canSee)].every(other => other.suspicion !== undefined);
	}

	return elsewhere.length === 0 || elsewhere.some(other => other.suspicion !== undefined);
}

/** Reads the terms of a group on which a promotion is decided. */
export function readPromotionBasis(group: GroupRecord): PromotionBasis {
	return {term: group.term, openTerm: group.promotion?.term ?? 0, termStarts: group.termStarts};
}

/** Decides whether the log still says what a promotion was decided on. */
export function isSameBasis(group: GroupRecord | undefined, basis: PromotionBasis): boolean {
	return group?.term === basis.term && (group.promotion?.term ?? 0) === basis.openTerm;
}

/** Decides the term of the next promotion: above everything that the log and the members know. */
export function decideNextTerm(group: GroupRecord, statuses: readonly DatabaseStatus[]): number {
	return Math.max(group.term, group.promotion?.term ?? 0, ...statuses.map(status => status.term)) + 1;
}

/** What decides the candidate of a promotion. */
export type CandidateInput = {
	/** Number of members of the group. */
	readonly members: number;
	/** Answers of the members that granted the term. */
	readonly granted: readonly DatabaseStatus[];
	/** Primary that is to be replaced; it is chosen only if there is no majority without it. */
	readonly replaced?: string;
	/** Terms of the group, as the log has them: a history that goes beyond the start of a later term was lost then. */
	readonly basis: PromotionBasis;
	/** Database that an operator wants, if it is as far advanced as every other. */
	readonly wanted?: string;
};

/**
 * Decides which member is promoted; `undefined` while no majority has granted the term. A member that still holds
 * writes which an earlier promotion lost is passed over: callers may have been told that they did not survive. Fewer
 * than a majority can hold such writes.
 */
export function decideCandidate({members, granted, replaced, wanted, basis}: CandidateInput): string | undefined {
	const majority = countMajority(members);
	const others = granted.filter(status => status.name !== replaced);
	const electorate = others.length >= majority ? others : granted;
	if (electorate.length < majority) {
		return undefined;
	}

	const candidates = electorate.filter(status => hasOnlySurvivingWrites(status, basis));
	const best = candidates.toSorted(compareAdvance).at(0);
	const chosen = candidates.find(status => status.name === wanted);
	return best && chosen?.last.term === best.last.term && chosen.last.position === best.last.position ? chosen.name : best?.name;
}

/** Decides whether every write in a database's history survived the promotions that the log knows. */
function hasOnlySurvivingWrites({last}: DatabaseStatus, {term, termStarts}: PromotionBasis): boolean {
	return last.term >= term || isSurviving(last, term, termStarts);
}

/** Ranks a host among those that may promote a group: 0 comes first. Safety does not depend on it. */
export function decidePromoterRank(group: string, host: string, hosts: readonly string[]): number {
	const own = readPromoterHash(group, host);
	return hosts.filter(other => other !== host && readPromoterHash(group, other) < own).length;
}

/** Reads the place of a host in the order of a group's promoters, as hexadecimal text. */
function readPromoterHash(group: string, host: string): string {
	return createHash('sha256').update(`${group}/${host}`).digest('hex');
}

/** Decides whether a member other than the primary has to be told to follow it. */
export function isStray(group: GroupRecord, status: DatabaseStatus): boolean {
	if (group.promotion !== undefined || group.primary === undefined || status.name === group.primary || status.term > group.term) {
		return false;
	}

	return status.role === 'primary' || status.follows !== group.primary || status.term < group.term;
}

/** Counts the bytes that a member holds beyond the history of the group's term; following the primary drops them. */
export function countDivergentBytes(group: GroupRecord, last: LogPoint): bigint {
	const starts = group.termStarts.filter(termStart => termStart.term > last.term && termStart.start < last.position);
	const start = starts.toSorted((left, right) => Number(left.start - right.start)).at(0)?.start;
	return start === undefined ? 0n : last.position - start;
}
