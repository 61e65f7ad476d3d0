/** Hedged calls: an idempotent call is repeated while earlier attempts are pending, and the first response wins. */
import ModernError from 'modern-errors';
import {waitUntil, type Clock} from 'heatherpond-core';

/** Settings of a hedged call. */
export type HedgeOptions = {
	readonly clock: Clock;
	/** Delay without a response, in milliseconds, after which another attempt starts. */
	readonly hedgeDelayMs: number;
	/** Maximum number of attempts. */
	readonly maxAttempts: number;
	readonly signal: AbortSignal;
};

/**
 * Runs an idempotent call with hedging.
 *
 * @param call - resolves with `undefined` if the attempt got no response
 * @returns the first response, or `undefined` if no attempt got one
 */
export async function runHedged<Result>(call: () => Promise<Result | undefined>, {clock, hedgeDelayMs, maxAttempts, signal}: HedgeOptions): Promise<Result | undefined> {
	const attempts: Array<Promise<Result>> = [];
	const stop = new AbortController();
	const delaySignal = AbortSignal.any([signal, stop.signal]);
	try {
		while (attempts.length < maxAttempts && !signal.aborted) {
			attempts.push(runAttempt(call));
			const delay = waitUntil(clock, clock.readNow() + hedgeDelayMs, delaySignal);
			const first = await Promise.race([waitForFirst(attempts), delay.then((): undefined => undefined)]);
			if (first) {
				return first.answer;
			}
		}

		const last = await waitForFirst(attempts);
		return last.answer;
	} finally {
		stop.abort();
	}
}

/** Result of all attempts together: the first response, if any. */
type FirstResponse<Result> = {readonly answer: Result | undefined};

async function runAttempt<Result>(call: () => Promise<Result | undefined>): Promise<Result> {
	const response = await call();
	if (response === undefined) {
		throw new NoResponseError('the call got no response');
	}

	return response;
}

async function waitForFirst<Result>(attempts: ReadonlyArray<Promise<Result>>): Promise<FirstResponse<Result>> {
	try {
		return {answer: await Promise.any(attempts)};
	} catch (error) {
		const failure = (error as AggregateError).errors.find(one => !(one instanceof NoResponseError)) as Error | undefined;
		if (failure) {
			throw failure;
		}

		return {answer: undefined};
	}
}

const NoResponseError = ModernError.subclass('NoResponseError');
