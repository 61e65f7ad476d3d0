/** Applies updates of the registration table to the set of known databases. */
import type {Instant} from 'heatherpond-core';
import type {RowChange} from './store-port.js';
import type {TableUpdate} from './table-follower.js';
import type {Upstream} from './upstream.js';

/** The known databases, including those whose registration has disappeared recently. */
export type UpstreamView = {
	readonly upstreams: ReadonlyMap<string, Upstream>;
	/** By database: when its registration was first found to be missing. */
	readonly missingSince: ReadonlyMap<string, Instant>;
};

/** The view before the registration table was read. */
export const EMPTY_UPSTREAM_VIEW: UpstreamView = {upstreams: new Map(), missingSince: new Map()};

/**
 * Milliseconds for which a database is still used after its registration has disappeared. Registrations also expire while
 * the store is unavailable, and reappear shortly after it recovers.
 */
const MISSING_GRACE_MS = 2500;

/** Applies a snapshot or a set of changes; a row that cannot be parsed counts as a missing registration. */
export function applyUpstreamUpdate(view: UpstreamView, {kind, page, receivedAt}: TableUpdate, parseUpstream: (row: RowChange) => Upstream | undefined): UpstreamView {
	if (page.rows.length === 0 && kind === 'changes') {
		// The same view keeps controllers that listen to it from being woken by every poll.
		return removeExpiredUpstreams(view, receivedAt);
	}

	const changed = new Map(page.rows.map(row => [row.key, parseUpstream(row)] as const));
	const absent = kind === 'snapshot' ? [...view.upstreams.keys()].filter(id => !changed.has(id)) : [];
	const present = [...changed.values()].filter(upstream => upstream !== undefined);
	const missing = [...absent, ...[...changed].filter(([, upstream]) => upstream === undefined).map(([id]) => id)];
	const missingSince = new Map([...view.missingSince].filter(([id]) => !changed.get(id)));
	missing.filter(id => view.upstreams.has(id) && !missingSince.has(id)).forEach(id => {
		missingSince.set(id, receivedAt);
	});
	return removeExpiredUpstreams({
		upstreams: new Map([...view.upstreams, ...present.map(upstream => [upstream.id, upstream] as const)]),
		missingSince,
	}, receivedAt);
}

/** Removes databases whose registration has been missing for longer than the grace period, or that were already draining. */
export function removeExpiredUpstreams(view: UpstreamView, now: Instant): UpstreamView {
	const expired = [...view.missingSince].filter(([id, since]) => now - since >= MISSING_GRACE_MS || view.upstreams.get(id)?.isLeaving).map(([id]) => id);
	if (expired.length === 0) {
		return view;
	}

	return {
		upstreams: new Map([...view.upstreams].filter(([id]) => !expired.includes(id))),
		missingSince: new Map([...view.missingSince].filter(([id]) => !expired.includes(id))),
	};
}
