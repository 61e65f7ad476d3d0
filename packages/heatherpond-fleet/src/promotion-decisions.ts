/** Decides when a promotion is due, which hosts must confirm it, and which database is promoted. */
import type {Instant} from 'heatherpond-core';
import {compareLogPositions} from 'heatherpond-session';
import type {DatabaseStatus} from './database-control-port.js';
import type {HostRecord, PrimacyRecord} from './fleet-records.js';
import type {FleetState} from './fleet-state.js';
import type {Upstream} from './upstream.js';

/** Milliseconds of its own clock for which a host considers itself registered after a refresh. */
export const REGISTRATION_MS = 7000;
/** Milliseconds by which a row may understate when a registration was refreshed: the age of the estimate of the store's clock. */
const REGISTRATION_MARGIN_MS = 1000;
/** Milliseconds of the store's clock after a refresh until promotions no longer wait for a host: it relies on no lease without a valid registration. */
export const REGISTRATION_EXPIRY_MS = REGISTRATION_MS + REGISTRATION_MARGIN_MS;
/** Number of hosts that must suspect a primary before it is replaced. */
const MIN_SUSPECTING_HOSTS = 2;

/** Reason for a promotion: the primary is draining, its registration is missing, or it does not respond. */
export type PromotionCause = {readonly reason: 'leaving' | 'gone' | 'silent'; readonly isPlanned: boolean};

/** Finds the hosts that may still rely on a lease. */
export function findLiveHosts(hosts: ReadonlyMap<string, HostRecord>, storeNow: Instant): readonly string[] {
	return [...hosts.values()].filter(({refreshedAt}) => refreshedAt + REGISTRATION_EXPIRY_MS > storeNow).map(({host}) => host);
}

/** Finds the databases of a group that may replace its primary. */
export function findSuccessors(state: FleetState, {group, primary}: PrimacyRecord): readonly Upstream[] {
	return [...state.upstreams.values()].filter(upstream => upstream.group === group && upstream.id !== primary && !upstream.isLeaving);
}

/** Decides whether the primary of a group must be replaced, and why. */
export function decidePromotionCause(state: FleetState, record: PrimacyRecord, liveHosts: number): PromotionCause | undefined {
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

	const suspectingHosts = countSuspectingHosts(state, record);
	return suspectingHosts >= Math.min(MIN_SUSPECTING_HOSTS, Math.max(1, liveHosts)) ? {reason: 'silent', isPlanned: false} : undefined;
}

/** Counts the hosts that suspect the primary; suspicions of earlier incarnations are ignored. */
function countSuspectingHosts({suspicions, hosts}: FleetState, {group, primary, term}: PrimacyRecord): number {
	return [...suspicions.values()].filter(suspicion =>
		suspicion.group === group && suspicion.database === primary && suspicion.term === term
		&& hosts.get(suspicion.host)?.incarnation === suspicion.incarnation).length;
}

/** Returns whether every host that may rely on the old primary has confirmed the promotion. */
export function isConfirmed(state: FleetState, {group, promotion}: PrimacyRecord, liveHosts: readonly string[]): boolean {
	return promotion !== undefined && liveHosts.every(host => state.confirmations.get(`${group}/${host}`) === promotion.id);
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

/** Selects the database with the most advanced log; ties are broken by id. */
export function findCandidate(polled: readonly PolledDatabase[], record: PrimacyRecord, excluded: ReadonlySet<string>): PolledDatabase | undefined {
	return polled
		.filter(({upstream}) => upstream.id !== record.primary && !upstream.isLeaving && !excluded.has(upstream.id))
		.toSorted((left, right) => compareLogPositions(right.status.point, left.status.point) || (left.upstream.id < right.upstream.id ? -1 : 1))
		.at(0);
}
