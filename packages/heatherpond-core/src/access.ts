/** Authorizes clients on routes. */
import type {Instant} from './clock.js';
import type {Contract, Route} from './contract.js';
import type {FleetView} from './fleet-view.js';
import {readStampAge, type Stamp} from './stamp.js';

/** Credentials that a client presents when it connects. */
export type Credentials = {
	readonly team: string;
	readonly route: string;
	/** SHA-256 of the API key in lower-case hexadecimal; absent when the client presents none. */
	readonly keyHash?: string;
};

/** Reason for which access is denied. */
export type AccessRefusal = 'unknown_route' | 'missing_key' | 'unknown_key' | 'withdrawn_key' | 'wrong_team' | 'no_contract' | 'route_not_allowed' | 'unverified_view';

/** Result of an access check. */
export type AccessDecision
	/** `contract` is absent for clients of an open route that present no key. */
	= | {readonly kind: 'allow'; readonly route: Route; readonly contract?: Contract; readonly keyId?: string}
		| {readonly kind: 'refuse'; readonly reason: AccessRefusal};

/** Team under which clients without a key are counted on open routes. */
export const ANONYMOUS_TEAM = 'anonymous';

/** Decides whether a client may use a route. Checked when it connects and again for every request. */
export function decideAccess(view: FleetView, stamp: Stamp, credentials: Credentials, now: Instant): AccessDecision {
	const route = view.routes[credentials.route];
	if (!route) {
		return {kind: 'refuse', reason: 'unknown_route'};
	}

	if (route.open) {
		return {kind: 'allow', route};
	}

	if (!credentials.keyHash) {
		return {kind: 'refuse', reason: 'missing_key'};
	}

	const decision = decideKey(view, {...credentials, keyHash: credentials.keyHash}, route);
	return decision.kind === 'allow' && !isVerified(decision.contract, readStampAge(stamp, now)) ? {kind: 'refuse', reason: 'unverified_view'} : decision;
}

/** Returns whether a view with a stamp of this age, in milliseconds, is recent enough to accept a key of the contract. */
function isVerified(contract: Contract | undefined, stampAge: number): boolean {
	return contract === undefined || stampAge <= contract.unverifiedKeySeconds * 1000;
}

function decideKey(view: FleetView, credentials: Required<Credentials>, route: Route): AccessDecision {
	const key = view.keys[credentials.keyHash];
	if (!key) {
		return {kind: 'refuse', reason: 'unknown_key'};
	}

	if (key.isWithdrawn) {
		return {kind: 'refuse', reason: 'withdrawn_key'};
	}

	if (key.team !== credentials.team) {
		return {kind: 'refuse', reason: 'wrong_team'};
	}

	const contract = view.contracts[key.team];
	if (!contract) {
		return {kind: 'refuse', reason: 'no_contract'};
	}

	if (!contract.routes.includes(route.name)) {
		return {kind: 'refuse', reason: 'route_not_allowed'};
	}

	return {
		kind: 'allow', route, contract, keyId: key.keyId,
	};
}
