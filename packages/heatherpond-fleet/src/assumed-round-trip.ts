/** Round trips between hosts and databases that are assumed until they have been measured. */

/** Where a host is, and how failure domains are grouped. */
export type HostLocation = {
	/** Failure domain of the host. */
	readonly domain: string;
	/** Reads the region of a failure domain. */
	readonly readRegion: (domain: string) => string;
};

/** Round-trip times to a database in the same failure domain, in the same region and elsewhere, in milliseconds, assumed until they have been measured. */
const DOMAIN_ROUND_TRIP_MS = 1;
const REGION_ROUND_TRIP_MS = 4;
const REMOTE_ROUND_TRIP_MS = 30;

/** Reads the round trip from a host to a failure domain, in milliseconds. */
export function readAssumedRoundTrip({domain: own, readRegion}: HostLocation, domain: string): number {
	if (domain === own) {
		return DOMAIN_ROUND_TRIP_MS;
	}

	return readRegion(domain) === readRegion(own) ? REGION_ROUND_TRIP_MS : REMOTE_ROUND_TRIP_MS;
}
