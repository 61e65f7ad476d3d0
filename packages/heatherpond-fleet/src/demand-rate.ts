/** Measures how many operations a team requests, as an exponentially decaying average. */
import type {Instant} from 'heatherpond-core';
import type {TeamLimit} from './token-bucket.js';

/** Operations per second that a team requests from one host, as of the instant `at`. */
export type DemandRate = {readonly perSecond: number; readonly at: Instant};

/** Bounds of the time constant of the average, in milliseconds, and the number of operations that it should span. */
const MIN_TIME_CONSTANT_MS = 1500;
const MAX_TIME_CONSTANT_MS = 6000;
const AVERAGED_OPERATIONS = 15;

/** A low limit gets a longer time constant, so that a single operation does not noticeably change a domain's share of the limit. */
function computeTimeConstantMs({ratePerSecond}: TeamLimit): number {
	return Math.min(MAX_TIME_CONSTANT_MS, Math.max(MIN_TIME_CONSTANT_MS, AVERAGED_OPERATIONS * 1000 / ratePerSecond));
}

/** Reads the demand, decayed to `now`. */
export function readDemand(rate: DemandRate | undefined, limit: TeamLimit, now: Instant): number {
	return rate ? rate.perSecond * Math.exp(-Math.max(0, now - rate.at) / computeTimeConstantMs(limit)) : 0;
}

/** Adds one requested operation, admitted or not. */
export function recordOperation(rate: DemandRate | undefined, limit: TeamLimit, now: Instant): DemandRate {
	return {perSecond: readDemand(rate, limit, now) + (1000 / computeTimeConstantMs(limit)), at: now};
}
