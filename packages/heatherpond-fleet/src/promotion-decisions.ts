/** Decides when a promotion is due, which hosts must confirm it, and which database is promoted. */
import type {Instant} from 'heatherpond-core';
import {compareLogPositions, isHome} from 'heatherpond-session';
import type {DatabaseStatus} from './database-control-port.js';
import type {HostRecord, PrimacyRecord} from './fleet-records.js';
import type {FleetState} from './fleet-state.js';
import {formatGroupHostKey} from './row-keys.js';
import {isAcceptingWork, type Upstream} from './upstream.js';

/** Milliseconds of its own clock for which a host considers itself registered after a refresh. */
export const REGISTRATION_MS = 7000;
/** Milliseconds by which a row may understate when a registration was refreshed: the age of the estimate of the store's clock. */
const REGISTRATION_MARGIN_MS = 1000;
/** Milliseconds of the store's clock after a refresh until promotions no longer wait for a host: it relies on no lease without a valid registration. */
export const REGISTRATION_EXPIRY_MS = REGISTRATION_MS + REGISTRATION_MARGIN_MS;
/** Number of hosts that must suspect a primary before it is replaced. */
const MIN_SUSPECTING_HOSTS = 2;

/** Reason for a promotion: the primary is draining or its failure domain is evacuated, its registration is missing, it does not respond, or it is outside the home regions of its group. */
export type PromotionCause = {readonly reason: 'leaving' | 'evacuated' | 'gone' | 'silent' | 'outside_homes'; readonly isPlanned: boolean};

/** What the decision depends on besides the fleet state: the number of live hosts, and the regions of failure domains. */
export type PromotionContext = {readonly liveHosts: number; readonly readRegion: (domain: string) => string};

/** Finds the hosts that may still rely on a lease. */
export function findLiveHosts(hosts: ReadonlyMap<string, HostRecord>, storeNow: Instant): readonly string[] {
	return [...hosts.values()].filter(({refreshedAt}) => refreshedAt + REGISTRATION_EXPIRY_MS > storeNow).map(({host}) => host);
}

/** Finds the databases of a group that may replace its primary. */
export function findSuccessors(state: FleetState, {group, primary}: PrimacyRecord): readonly Upstream[] {
	return [...state.upstreams.values()].filter(upstream => upstream.group === group && upstream.id !== primary && isAcceptingWork(upstream));
}

/** Decides whether the primary of a group must be replaced, and why. */
export function decidePromotionCause(state: FleetState, record: PrimacyRecord, {liveHosts, readRegion}: PromotionContext): PromotionCause | undefined {
	if (record.promotion !== undefined || record.primary === undefined || findSuccessors(state, record).length === 0) {
		return undefined;
	}

	const upstream = state.upstreams.get(record.primary);
	if (!upstream) {
		return {reason: 'gone', isPlanned: false};
	}

	if (upstream.isLeaving) {
		return {reason: 'leaving', isPlanned: true};
	}

	if (upstream.evacuatedSince !== undefined) {
		return {reason: 'evacuated', isPlanned: true};
	}

	const suspectingHosts = countSuspectingHosts(state, record);
	if (suspectingHosts >= Math.min(MIN_SUSPECTING_HOSTS, Math.max(1, liveHosts))) {
		return {reason: 'silent', isPlanned: false};
	}

	const isAtHome = createHomeCheck(state, record, readRegion);
	return !isAtHome(upstream) && findSuccessors(state, record).some(isAtHome) ? {reason: 'outside_homes', isPlanned: true} : undefined;
}

/** Creates the check whether a database is in the home regions of its group; it always is when the group has none. */
export function createHomeCheck({contracts}: FleetState, {group}: PrimacyRecord, readRegion: (domain: string) => string): (upstream: Upstream) => boolean {
	const homes = contracts?.groups.get(group)?.homes;
	return ({domain}) => isHome(homes, readRegion(domain));
}

/** Counts the hosts that suspect the primary; suspicions of earlier incarnations are ignored. */
function countSuspectingHosts({suspicions, hosts}: FleetState, {group, primary, term}: PrimacyRecord): number {
	return [...suspicions.values()].filter(suspicion =>
		suspicion.group === group && suspicion.database === primary && suspicion.term === term
		&& hosts.get(suspicion.host)?.incarnation === suspicion.incarnation).length;
}

/** Returns whether every host that may rely on the old primary has confirmed the promotion. */
export function isConfirmed(state: FleetState, {group, promotion}: PrimacyRecord, liveHosts: readonly string[]): boolean {
	return promotion !== undefined && liveHosts.every(host => state.confirmations.get(formatGroupHostKey(group, host)) === promotion.id);
}

/** A database and the status that it reported. */
export type PolledDatabase = {readonly upstream: Upstream; readonly status: DatabaseStatus};

/** Finds a database that is already the primary of a later term, for example by an earlier promotion request. */
export function findPromotedDatabase(polled: readonly PolledDatabase[], {term}: PrimacyRecord): PolledDatabase | undefined {
	return polled
		.filter(({upstream, status}) => status.isPrimary && status.term > term && !upstream.isLeaving)
		.toSorted((left, right) => right.status.term - left.status.term)
		.at(0);
}

/** Restrictions and preferences for the selection of a candidate. */
export type CandidateRules = {
	/** Databases that are not running. */
	readonly excluded: ReadonlySet<string>;
	/** Whether a database is in the home regions of its group. */
	readonly isAtHome: (upstream: Upstream) => boolean;
};

/**
 * Selects the database with the most advanced log, and among equal ones one at home; in a planned promotion, in which the
 * candidate catches up first, one at home comes before the others. Ties are broken by id.
 */
export function findCandidate(polled: readonly PolledDatabase[], record: PrimacyRecord, {excluded, isAtHome}: CandidateRules): PolledDatabase | undefined {
	function compareHomes(left: PolledDatabase, right: PolledDatabase): number {
		return Number(isAtHome(right.upstream)) - Number(isAtHome(left.upstream));
	}

	function compareLogs(left: PolledDatabase, right: PolledDatabase): number {
		return compareLogPositions(right.status.point, left.status.point);
	}

	const [first, second] = record.promotion?.isPlanned ? [compareHomes, compareLogs] : [compareLogs, compareHomes];
	return polled
		.filter(({upstream}) => upstream.id !== record.primary && isAcceptingWork(upstream) && !excluded.has(upstream.id))
		.toSorted((left, right) => first(left, right) || second(left, right) || (left.upstream.id < right.upstream.id ? -1 : 1))
		.at(0);
}
