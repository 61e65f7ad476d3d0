/**
 * The failure domains that the operator evacuates: nothing more is to be sent to their databases until the evacuation is taken
 * back. Every host follows the operator's rows and applies them itself, so an evacuation needs no message between hosts, and
 * holds over restarts.
 */
import type {Instant} from 'heatherpond-core';
import {CONTRACTS_SETTLE_MS} from './store-restore.js';
import type {TableUpdate} from './table-follower.js';
import type {Upstream} from './upstream.js';

/** An evacuation; `since` is when this host learned of it, and `expiresAt` when it ends unless it is confirmed after a restore of the store. */
export type Evacuation = {readonly since: Instant; readonly expiresAt: Instant};

/** Evacuations by failure domain. */
export type Evacuations = ReadonlyMap<string, Evacuation>;

/**
 * Applies a snapshot of the operator's rows, or changes of them.
 *
 * @param parseDomain - returns the failure domain that a row evacuates, or nothing for other rows
 * @param restoredAt - when the store last came back from an older copy, which may lack rows that the operator writes again
 */
export function applyEvacuationUpdate(known: Evacuations, {kind, page, requestedAt, receivedAt}: TableUpdate, parseDomain: (key: string) => string | undefined, restoredAt: Instant): Evacuations {
	const settledAt = restoredAt + CONTRACTS_SETTLE_MS;
	const start = new Map([...known]
		.map(([domain, evacuation]) => [domain, kind === 'snapshot' ? createLimitedEvacuation(evacuation, requestedAt < settledAt ? settledAt : receivedAt) : evacuation] as const)
		.filter(([, {expiresAt}]) => expiresAt > receivedAt));
	return page.rows.reduce((evacuations, {key, value}) => {
		const domain = parseDomain(key);
		if (domain === undefined) {
			return evacuations;
		}

		if (value === undefined) {
			evacuations.delete(domain);
			return evacuations;
		}

		return evacuations.set(domain, {since: known.get(domain)?.since ?? receivedAt, expiresAt: Number.POSITIVE_INFINITY});
	}, start);
}

function createLimitedEvacuation({since, expiresAt}: Evacuation, limit: Instant): Evacuation {
	return {since, expiresAt: Math.min(expiresAt, limit)};
}

/** Marks the databases of evacuated failure domains; databases whose state does not change stay the same objects. */
export function applyEvacuations(registrations: ReadonlyMap<string, Upstream>, evacuations: Evacuations): ReadonlyMap<string, Upstream> {
	if (evacuations.size === 0) {
		return registrations;
	}

	return new Map([...registrations].map(([id, upstream]) => {
		const evacuatedSince = evacuations.get(upstream.domain)?.since;
		return [id, evacuatedSince === undefined ? upstream : {...upstream, evacuatedSince}];
	}));
}

/** Whether two sets of evacuations concern the same failure domains since the same instants. */
export function isSameEvacuations(left: Evacuations, right: Evacuations): boolean {
	return left.size === right.size && [...left].every(([domain, {since}]) => right.get(domain)?.since === since);
}
