/** Reference model for rate limits: a single token bucket for the whole fleet. */

/** Rate limit of a team: requests per second, and the most requests at once. */
export type TokenBucketLimit = {readonly rate: number; readonly burst: number};

/** Counts how many requests at the given times, in milliseconds, a single fleet-wide bucket would admit. */
export function countIdealAdmissions(instants: readonly number[], {rate, burst}: TokenBucketLimit): number {
	return instants.toSorted((left, right) => left - right).reduce((state, instant) => {
		const tokens = Math.min(burst, state.tokens + ((instant - state.at) / 1000 * rate));
		return tokens >= 1 ? {tokens: tokens - 1, at: instant, admitted: state.admitted + 1} : {...state, tokens, at: instant};
	}, {tokens: burst, at: instants.length > 0 ? Math.min(...instants) : 0, admitted: 0}).admitted;
}

/** Finds the most by which admissions in any time window exceed `rate * window + burst`; 0 if none does. */
export function findMaxExcess(instants: readonly number[], {rate, burst}: TokenBucketLimit): number {
	return instants.toSorted((left, right) => left - right).reduce((state, instant) => {
		// The largest number of admissions above `rate * window` over all windows that end at this request.
		const debt = Math.max(0, state.debt - ((instant - state.at) / 1000 * rate)) + 1;
		return {debt, at: instant, worst: Math.max(state.worst, debt - burst)};
	}, {debt: 0, at: 0, worst: 0}).worst;
}
