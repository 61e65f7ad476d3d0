/** Readiness checks of a host: how recently it has verified the contracts, and whether it is registered. */
import type {Instant} from 'heatherpond-core';
import type {FleetState} from './fleet-state.js';

/** Age up to which verified contracts count as fresh, in milliseconds; a host that reaches the store verifies them more often. */
const CONTRACTS_FRESHNESS_MS = 2800;

/** Whether the contracts were verified as recently as on a host that reaches the store. */
export function hasFreshContracts({contractsVerifiedAt}: FleetState, now: Instant): boolean {
	return now < contractsVerifiedAt + CONTRACTS_FRESHNESS_MS;
}

/** Whether the registration has expired. Such a host may not rely on any primary, even if other hosts relay the store's state to it. */
export function isRegistrationExpired({registeredUntil}: FleetState, now: Instant): boolean {
	return now >= registeredUntil;
}

/** Whether the host can accept clients: it is not stopping, knows contracts, databases and primaries, and has verified the contracts within the revocation time of keys. */
export function isReady(state: FleetState, revocationMs: number, now: Instant): boolean {
	return !state.isStopping && state.contracts !== undefined && state.upstreams.size > 0 && state.primacies.size > 0
		&& now < state.contractsVerifiedAt + revocationMs;
}

/** Whether the host has fresh contracts and a valid registration. */
export function isHealthy(state: FleetState, now: Instant): boolean {
	return hasFreshContracts(state, now) && !isRegistrationExpired(state, now);
}
