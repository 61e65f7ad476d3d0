/**
 * Decides whether a host may rely on a primary. A host relies on a primacy record for the duration of a lease after it last
 * verified that no promotion was in progress. A host that promotes another database first records the promotion, then waits
 * until every registered host has confirmed it or every lease has expired.
 */
import type {Instant} from 'heatherpond-core';
import type {Primary} from 'heatherpond-session';
import type {PrimacyRecord} from './fleet-records.js';
import type {FleetState} from './fleet-state.js';

/** Milliseconds for which a host may rely on a primary after a verification. */
export const LEASE_MS = 4300;

/** Milliseconds that the promoting host waits beyond the end of the lease. */
export const LEASE_MARGIN_MS = 100;

/** Finds the primary of a group that may receive new statements; nothing during a promotion or without a valid lease. */
export function findPrimary(state: FleetState, group: string, now: Instant): Primary | undefined {
	const known = state.primacies.get(group)?.record;
	if (!known?.primary || known.promotion) {
		return undefined;
	}

	const primary = {group, database: known.primary, term: known.term};
	return isProven(state, primary, now) ? primary : undefined;
}

/** Returns whether commits of a primary may be acknowledged to clients. */
export function isProven(state: FleetState, primary: Primary, now: Instant): boolean {
	const verifiedAt = state.leaseVerifiedAt.get(primary.group) ?? Number.NEGATIVE_INFINITY;
	const isLeased = verifiedAt >= state.registeredAt && now < verifiedAt + LEASE_MS && now < state.registeredUntil;
	const record = state.primacies.get(primary.group)?.record;
	return isLeased && record !== undefined && isAffirmed(state, record) && !isReplaced(state, primary);
}

/** Returns whether a primacy record was written or affirmed in the current era of the store. */
export function isAffirmed({storeEra}: Pick<FleetState, 'storeEra'>, {era}: PrimacyRecord): boolean {
	return (era ?? 0) === (storeEra ?? 0);
}

/** Returns whether the host has confirmed the replacement of a primary, or knows another one. */
export function isReplaced(state: FleetState, {group, database, term}: Primary): boolean {
	const known = state.primacies.get(group)?.record;
	if (known?.primary !== database || known.term !== term) {
		return true;
	}

	return known.promotion !== undefined && state.ownConfirmations.get(group)?.promotionId === known.promotion.id;
}
