/**
 * Freshness stamp: states that a host's view of the change log was complete up to `version` at `verifiedAt`.
 *
 * `verifiedAt` is read from the host's own monotonic clock before it sends the request that verifies the view. A
 * relayed stamp carries its age, and the receiver subtracts that age from the instant at which it sent its own request.
 * Relaying can therefore make a stamp older, but never younger.
 */
import * as z from 'zod';
import type {Instant} from './clock.js';

/** Schema of a freshness stamp. */
export const stampSchema = z.object({
	/** Log version up to which the view is complete. */
	version: z.number().int().nonnegative(),
	/** Instant on this host's monotonic clock; `-Infinity` when the view was never verified. */
	verifiedAt: z.number(),
});

export type Stamp = z.infer<typeof stampSchema>;

/** Stamp of a host whose view has never been verified. */
export const UNVERIFIED_STAMP: Stamp = {version: 0, verifiedAt: Number.NEGATIVE_INFINITY};

/** Returns the age of a stamp in milliseconds. */
export function readStampAge(stamp: Stamp, now: Instant): number {
	return now - stamp.verifiedAt;
}

/** Creates the stamp for a response of the platform to a request sent at `requestedAt`. */
export function createPlatformStamp(version: number, requestedAt: Instant): Stamp {
	return {version, verifiedAt: requestedAt};
}

/**
 * Creates the stamp for a peer's response.
 *
 * @param version - version of the peer's stamp
 * @param age - age of the peer's stamp in milliseconds when it responded; negative ages count as 0
 * @param requestedAt - instant at which this host sent its request, on its own clock
 */
export function createRelayedStamp(version: number, age: number, requestedAt: Instant): Stamp {
	return {version, verifiedAt: requestedAt - Math.max(0, age)};
}

/** Returns the candidate if it was verified later and its log version is not lower, otherwise the current stamp. */
export function decideNewerStamp(current: Stamp, candidate: Stamp): Stamp {
	if (candidate.version < current.version || candidate.verifiedAt <= current.verifiedAt) {
		return current;
	}

	return candidate;
}
