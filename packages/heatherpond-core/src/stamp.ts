/**
 * The stamp of freshness: a host's view of the change log is complete up to `version` as of `verifiedAt`.
 *
 * `verifiedAt` is the host's own monotonic clock, read before it sent the question that the answer settled. A stamp
 * that is relayed carries its age, which the receiver subtracts from the time at which it sent its own question, so
 * relaying can make a stamp older but never younger.
 */
import {z} from 'zod';
import type {Instant} from './clock.js';

export const stampSchema = z.object({
	/** Version of the log up to which the view is complete. */
	version: z.number().int().nonnegative(),
	/** Monotonic milliseconds of this host; `-Infinity` when the view was never verified. */
	verifiedAt: z.number(),
});

export type Stamp = z.infer<typeof stampSchema>;

/** The stamp of a host that has verified nothing yet. */
export const UNVERIFIED_STAMP: Stamp = {version: 0, verifiedAt: Number.NEGATIVE_INFINITY};

/** Reads the age of a stamp in milliseconds. */
export function readStampAge(stamp: Stamp, now: Instant): number {
	return now - stamp.verifiedAt;
}

/** Creates the stamp that follows from the platform's own answer to a question sent at `requestedAt`. */
export function createPlatformStamp(version: number, requestedAt: Instant): Stamp {
	return {version, verifiedAt: requestedAt};
}

/**
 * Creates the stamp that follows from a peer's answer.
 *
 * @param version - version of the peer's stamp
 * @param age - age of the peer's stamp in milliseconds when it answered
 * @param requestedAt - when this host sent its question, on its own clock
 */
export function createRelayedStamp(version: number, age: number, requestedAt: Instant): Stamp {
	return {version, verifiedAt: requestedAt - Math.max(0, age)};
}

/** Decides which of two stamps stands: the later verification, provided that it does not go back in the log. */
export function decideNewerStamp(current: Stamp, candidate: Stamp): Stamp {
	if (candidate.version < current.version || candidate.verifiedAt <= current.verifiedAt) {
		return current;
	}

	return candidate;
}
