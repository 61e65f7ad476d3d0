/**
 * Decides whether a host may rely on a primary. A host relies on a record of primacy for the length of a lease after it
 * last verified that no promotion was under way; whoever promotes another database first writes that down, then waits
 * until every registered host has confirmed it, or until every lease has run out.
 */
import type {Instant} from 'heatherpond-core';
import type {Primary} from 'heatherpond-session';
import type {FleetState} from './fleet-state.js';

/** Milliseconds for which a host relies on a primary after a verification. */
export const LEASE_MS = 4300;

/** Milliseconds that whoever promotes waits beyond the lease. */
export const LEASE_MARGIN_MS = 100;

/** Finds the primary that may be given new work. */
export function findPrimary(state: FleetState, group: string, now: Instant): Primary | undefined {
	const known = state.primacies.get(group)?.record;
	if (!known?.primary || known.promotion) {
		return undefined;
	}

	const primary = {group, database: known.primary, term: known.term};
	return isProven(state, primary, now) ? primary : undefined;
}

/** Tells whether what a primary has committed may be acknowledged. */
export function isProven(state: FleetState, primary: Primary, now: Instant): boolean {
	const verifiedAt = state.leaseVerifiedAt.get(primary.group) ?? Number.NEGATIVE_INFINITY;
	const isLeased = verifiedAt >= state.registeredAt && now < verifiedAt + LEASE_MS && now < state.registeredUntil;
	return isLeased && !isReplaced(state, primary);
}

/** Tells whether the host has given up a primary, or knows another one. */
export function isReplaced(state: FleetState, {group, database, term}: Primary): boolean {
	const known = state.primacies.get(group)?.record;
	if (known?.primary !== database || known.term !== term) {
		return true;
	}

	return known.promotion !== undefined && state.ownConfirmations.get(group)?.promotionId === known.promotion.id;
}
