/** Retry budget that all sessions of a host share: retries are limited to a fraction of successful requests. */

/**
 * Each retry spends credit that successful requests earn, so that retries do not multiply the load on failing databases.
 */
export type RetryBudget = {
	/** Adds the credit of one successful request. */
	readonly recordSuccess: () => void;
	/** Spends the credit for one retry; returns false when there is too little. */
	readonly take: () => boolean;
};

/** Successful requests that earn one retry. */
const SUCCESSES_PER_RETRY = 10;

/** Upper limit of the accumulated credit, in retries; also the initial credit. */
const MAX_AVAILABLE_RETRIES = 20;

/** Creates a budget at its upper limit. Credit is counted in successes, so that it stays an integer. */
export function createRetryBudget(): RetryBudget {
	const maxCredit = MAX_AVAILABLE_RETRIES * SUCCESSES_PER_RETRY;
	let credit = maxCredit;
	return {
		recordSuccess() {
			credit = Math.min(maxCredit, credit + 1);
		},
		take() {
			if (credit < SUCCESSES_PER_RETRY) {
				return false;
			}

			credit -= SUCCESSES_PER_RETRY;
			return true;
		},
	};
}

const BASE_BACKOFF_MS = 5;
const MAX_BACKOFF_MS = 200;

/**
 * Computes the delay in milliseconds after a failed attempt: exponential backoff with full jitter.
 *
 * @param attempt - number of the failed attempt, starting at 1
 * @param randomFactor - random number from 0 to 1
 */
export function readRetryDelay(attempt: number, randomFactor: number): number {
	return randomFactor * Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * (2 ** attempt));
}
