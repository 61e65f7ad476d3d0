/** Decides whether a host takes callers, by how well it knows the contracts and whether it is registered. */
import type {Instant} from 'heatherpond-core';
import type {FleetState} from './fleet-state.js';

/** Milliseconds within which a host that reaches the store has verified the contracts. */
const CONTRACTS_FRESHNESS_MS = 2800;

/** Tells whether the contracts have been verified as often as a host that reaches the store does. */
export function hasFreshContracts({contractsVerifiedAt}: FleetState, now: Instant): boolean {
	return now < contractsVerifiedAt + CONTRACTS_FRESHNESS_MS;
}

/** A host whose registration has lapsed relies on no primary, even if others tell it what the store says. */
export function isLapsed({registeredUntil}: FleetState, now: Instant): boolean {
	return now >= registeredUntil;
}

/** A host takes callers once it knows contracts, databases and primaries, and as long as keys can be verified. */
export function isReady(state: FleetState, revocationMs: number, now: Instant): boolean {
	return !state.isStopping && state.contracts !== undefined && state.upstreams.size > 0 && state.primacies.size > 0
		&& now < state.contractsVerifiedAt + revocationMs;
}

/** Decides whether a host has verified the contracts lately and is registered. */
export function isWhole(state: FleetState, now: Instant): boolean {
	return hasFreshContracts(state, now) && !isLapsed(state, now);
}
