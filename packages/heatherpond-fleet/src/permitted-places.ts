/**
 * Decides where statements may be sent: to databases in their home regions, and not into evacuated failure domains. Work that
 * is open when a failure domain is evacuated may go on for a short time; then its databases are closed.
 */
import type {Clock, Deadline} from 'heatherpond-core';
import {
	createUpstreamError, isHome, type ConnectionHandle, type Homes,
} from 'heatherpond-session';
import type {FleetBlackboard} from './fleet-state.js';
import {isAcceptingWork, type Upstream} from './upstream.js';

/** Decisions on places. */
export type PermittedPlaces = {
	/** Whether a database may be given new work with these homes. */
	readonly isCandidate: (upstream: Upstream, homes: Homes | undefined) => boolean;
	/** Whether statements with these homes may be sent to a database, if only for the time that its evacuation leaves. */
	readonly isPermitted: (upstream: Upstream, homes: Homes | undefined) => boolean;
	/** Whether statements with these homes may be sent through a host in a failure domain. */
	readonly isPermittedRelay: (domain: string, homes: Homes | undefined) => boolean;
	/**
	 * Checks that a database is not closed.
	 *
	 * @throws UpstreamError when its failure domain has been evacuated
	 */
	readonly checkOpen: (upstream: Upstream | undefined) => void;
	/** Wraps a connection so that no step is sent once its database is closed; the database then rolls back what is open. */
	readonly createGuardedHandle: (handle: ConnectionHandle) => ConnectionHandle;
};

/** Dependencies of the decisions. */
export type PermittedPlacesOptions = {
	readonly clock: Clock;
	readonly blackboard: FleetBlackboard;
	/** Failure domain of this host. */
	readonly domain: string;
	readonly readRegion: (domain: string) => string;
	/** Milliseconds after a host has learned of an evacuation for which open work may go on. */
	readonly evacuationGraceMs: number;
};

/** Creates the decisions. */
export function createPermittedPlaces({clock, blackboard, domain, readRegion, evacuationGraceMs}: PermittedPlacesOptions): PermittedPlaces {
	function isClosed({evacuatedSince}: Upstream): boolean {
		const closesAt: Deadline = (evacuatedSince ?? Number.POSITIVE_INFINITY) + evacuationGraceMs;
		return clock.readNow() >= closesAt;
	}

	function checkOpen(upstream: Upstream | undefined): void {
		if (upstream && isClosed(upstream)) {
			throw createUpstreamError('the failure domain of the database is evacuated', 'evacuated', false);
		}
	}

	return {
		isCandidate: (upstream, homes) => isAcceptingWork(upstream) && isHome(homes, readRegion(upstream.domain)),
		isPermitted: (upstream, homes) => !isClosed(upstream) && isHome(homes, readRegion(upstream.domain)),
		isPermittedRelay: (relayDomain, homes) => isHome(homes, readRegion(relayDomain)) || readRegion(relayDomain) === readRegion(domain),
		checkOpen,
		createGuardedHandle: handle => ({
			...handle,
			async run(step) {
				try {
					checkOpen(blackboard.read().upstreams.get(handle.database));
				} catch (error) {
					handle.release();
					throw error;
				}

				return handle.run(step);
			},
		}),
	};
}
