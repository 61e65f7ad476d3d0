/** Decides whether a client may use a route, according to the newest contracts that this host has read. */
import type {Instant} from 'heatherpond-core';
import {findCommonHomes, type SessionAccess} from 'heatherpond-session';
import type {FleetState} from './fleet-state.js';

/** Milliseconds before the end of the revocation period at which keys are no longer accepted without a new verification. */
const KEY_MARGIN_MS = 100;

/** Team to which requests on open routes are attributed when the key is unknown. */
const OPEN_TEAM = '-';

/** Credentials that a client presents when it connects. */
export type CallerCredentials = {readonly database: string; readonly key: string};

/**
 * Decides whether a client may use a route. Closed routes require contracts that were verified within the revocation
 * period; open routes are allowed with contracts of any age. A client whose team or group databases cannot be told is refused.
 *
 * @param revocationMs - milliseconds within which a withdrawn key must stop working
 */
export function decideAccess(state: FleetState, {database, key}: CallerCredentials, revocationMs: number, now: Instant): SessionAccess {
	const {contracts} = state;
	if (!contracts) {
		return {kind: 'refuse', reason: 'unverified'};
	}

	const isVerified = now < state.contractsVerifiedAt + revocationMs - KEY_MARGIN_MS;
	const route = contracts.routes.get(database);
	if (!route) {
		return {kind: 'refuse', reason: isVerified ? 'unknown_database' : 'unverified'};
	}

	const known = contracts.teamsByKey.get(key);
	if (!route.isOpen && !isVerified) {
		return {kind: 'refuse', reason: 'unverified'};
	}

	const team = known ?? (route.isOpen ? OPEN_TEAM : undefined);
	if (team === undefined) {
		return {kind: 'refuse', reason: 'unknown_key'};
	}

	if (contracts.unsendableNames && [route.group, team].some(name => contracts.unsendableNames!.has(name))) {
		return {kind: 'refuse', reason: 'unsendable_name'};
	}

	return {
		kind: 'allow', route, team, homes: findCommonHomes(route.homes, known === undefined ? undefined : contracts.teams.get(known)?.homes),
	};
}
