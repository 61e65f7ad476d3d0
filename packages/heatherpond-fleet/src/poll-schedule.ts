/**
 * Times at which a host polls. All its periodic requests to the domain leader share one phase, so that they share datagrams;
 * each host has a phase of its own, so that hosts do not poll in lockstep.
 */
import type {Deadline, Instant} from 'heatherpond-core';

/** Milliseconds between requests of a host to its domain leader. */
export const PEER_POLL_INTERVAL_MS = 800;
/** Fraction of the interval below which a gap between two polls is not worth another poll. */
const MIN_GAP_RATIO = 0.05;

/**
 * Finds when the next of a series of polls is due: at most one interval and a small gap after the previous one, at an instant that all
 * series of the same phase share.
 *
 * @param startedAt - when the previous poll started
 * @param intervalMs - maximum time between two polls, in milliseconds
 * @param phase - an instant of the schedule
 */
export function findNextPoll(startedAt: Instant, intervalMs: number, phase: Instant): Deadline {
	const latest = startedAt + intervalMs;
	const next = phase + (Math.floor((latest - phase) / intervalMs) * intervalMs);
	// A poll that starts just before a shared instant takes the one after it.
	return next - startedAt < intervalMs * MIN_GAP_RATIO ? next + intervalMs : next;
}
