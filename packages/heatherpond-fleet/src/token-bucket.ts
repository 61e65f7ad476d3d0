/**
 * Token bucket of one failure domain for one team's rate limit. The domains report to each other the demand of each team,
 * and each domain refills its bucket with the share of the limit that matches its share of the demand. All domains compute
 * the shares from the same reports, so the shares add up to the limit. The tolerance granted to a distributed limit is
 * divided among the domains too, so that operations which arrive at the same time are not refused.
 */
import type {Instant} from 'heatherpond-core';

/** Rate limit of one team, or of one cold database, which applies to all hosts together. */
export type TeamLimit = {
	readonly ratePerSecond: number;
	readonly burst: number;
	/** Whether there is no tolerance: new buckets are empty, and a host admits nothing of its own accord while its leader is silent. */
	readonly isStrict?: boolean;
};

/** Demand for one team in the other failure domains, and how much of the own domain the bucket covers. */
export type OtherDomains = {
	/** Operations per second that the team requests in the other domains whose reports have been received. */
	readonly demandPerSecond: number;
	/** Number of domains whose report is known. */
	readonly heard: number;
	/** Number of domains that have running hosts but no known report; each is assumed to have the same demand as this one. */
	readonly unheard: number;
	/** Fraction of the own domain that the bucket covers, from 0 to 1; the rest belongs to hosts that do not answer. */
	readonly coveredFraction: number;
};

/** State of the bucket of one team; immutable. */
export type TokenBucket = {
	/** Operations that can be admitted now; may be fractional. */
	readonly tokens: number;
	readonly refilledAt: Instant;
	/** Demand of the domain, in operations per second, as last reported to the other domains. */
	readonly reportedDemandPerSecond: number;
	/** Retry time given to the last refused operation; the next one refused gets a later time, so that retries spread out. */
	readonly lastRetryAt: Instant;
};

/** Window over which the tolerance of a limit is computed, in seconds. */
const TOLERANCE_WINDOW_S = 5;
/** Tolerance on top of the burst for all hosts together: a fraction of the operations in the window, plus a fixed number. */
const TOLERANCE_SHARE = 0.05;
const TOLERANCE_OPERATIONS = 12;
/**
 * Tokens in the new buckets of all domains together: a fraction of the operations in the window, plus a fixed number. They come
 * on top of what earlier leaders have admitted in the same window, so they are taken from the tolerance that their buckets leave.
 */
const INITIAL_SHARE = 0.03;
const INITIAL_OPERATIONS = 5;
/** Bounds of the retry delay: the lowest refill rate assumed, in operations per second, and the limit for spreading retries, in milliseconds. */
const MIN_REFILL_PER_SECOND = 0.01;
const MAX_RETRY_AFTER_MS = 5000;
/** Fraction of the rate that is added to the demand of every domain, so that an idle domain can admit its first clients. */
const BASE_DEMAND_SHARE = 0.05;

/** Creates the bucket of a host that has just started to enforce the limit. */
export function createTokenBucket(limit: TeamLimit, otherDomains: OtherDomains, now: Instant): TokenBucket {
	const start: TokenBucket = {
		tokens: 0, refilledAt: now, reportedDemandPerSecond: 0, lastRetryAt: now,
	};
	return limit.isStrict ? start : {...start, tokens: Math.max(otherDomains.coveredFraction, computeDomainPart((computeCovered(limit) * INITIAL_SHARE) + INITIAL_OPERATIONS, otherDomains))};
}

/** Reads the fraction of the limit that the bucket is refilled with, from 0 to 1. */
export function readLimitShare({reportedDemandPerSecond}: TokenBucket, {ratePerSecond}: TeamLimit, otherDomains: OtherDomains): number {
	const baseDemand = ratePerSecond * BASE_DEMAND_SHARE;
	const own = reportedDemandPerSecond + baseDemand;
	const remote = otherDomains.demandPerSecond + (otherDomains.heard * baseDemand);
	return otherDomains.coveredFraction * own / (own + remote + (otherDomains.unheard * own));
}

/** Computes the operations that a limit allows in one window. */
function computeCovered({ratePerSecond, burst}: TeamLimit): number {
	return (ratePerSecond * TOLERANCE_WINDOW_S) + burst;
}

/** Computes the equal part of this domain of a number of operations for all domains. */
function computeDomainPart(operations: number, {coveredFraction, heard, unheard}: OtherDomains): number {
	return operations * coveredFraction / (heard + unheard + 1);
}

/** Reads the capacity of the bucket, in operations. */
function readCapacity(bucket: TokenBucket, limit: TeamLimit, otherDomains: OtherDomains): number {
	const tolerance = limit.isStrict ? 0 : computeDomainPart((computeCovered(limit) * TOLERANCE_SHARE) + TOLERANCE_OPERATIONS, otherDomains);
	return Math.max(1, (limit.burst * readLimitShare(bucket, limit, otherDomains)) + tolerance);
}

/** Adds the tokens that have accrued since the last refill. */
export function applyRefill(bucket: TokenBucket, limit: TeamLimit, otherDomains: OtherDomains, now: Instant): TokenBucket {
	const seconds = Math.max(0, now - bucket.refilledAt) / 1000;
	return {
		...bucket,
		tokens: Math.min(readCapacity(bucket, limit, otherDomains), bucket.tokens + (limit.ratePerSecond * seconds * readLimitShare(bucket, limit, otherDomains))),
		refilledAt: now,
	};
}

/** Records the demand that is being reported to the other domains; they compute the shares from the same figure. */
export function recordReportedDemand(bucket: TokenBucket, demandPerSecond: number): TokenBucket {
	return {...bucket, reportedDemandPerSecond: demandPerSecond};
}

/** Result of a request for tokens. */
export type TakeResult = {
	/** The bucket after the request. */
	readonly share: TokenBucket;
	/** Number of operations admitted. */
	readonly granted: number;
	/** Milliseconds after which the team may retry when no operation was admitted, otherwise 0. */
	readonly retryAfterMs: number;
};

/**
 * Takes up to `wanted` tokens for another domain, which has an operation waiting. Parts of tokens are given too, because every
 * domain may have less than one left while together they have several.
 */
export function takeTokensForTransfer(previous: TokenBucket, limit: TeamLimit, otherDomains: OtherDomains, {wanted, now}: {readonly wanted: number; readonly now: Instant}): {readonly bucket: TokenBucket; readonly given: number} {
	const bucket = applyRefill(previous, limit, otherDomains, now);
	const given = Math.max(0, Math.min(wanted, bucket.tokens));
	return {bucket: {...bucket, tokens: bucket.tokens - given}, given};
}

/** Adds tokens that other domains have given; what exceeds the capacity of the bucket is lost at its next refill. */
export function insertTokens(bucket: TokenBucket, tokens: number): TokenBucket {
	return {...bucket, tokens: bucket.tokens + tokens};
}

/** Takes up to `wanted` tokens; when there is none, computes when to retry. */
export function takeTokens(previous: TokenBucket, limit: TeamLimit, otherDomains: OtherDomains, {wanted, now}: {readonly wanted: number; readonly now: Instant}): TakeResult {
	const bucket = applyRefill(previous, limit, otherDomains, now);
	const granted = Math.min(wanted, Math.floor(bucket.tokens));
	if (granted > 0) {
		return {share: {...bucket, tokens: bucket.tokens - granted}, granted, retryAfterMs: 0};
	}

	const operationMs = 1000 / Math.max(MIN_REFILL_PER_SECOND, limit.ratePerSecond * readLimitShare(bucket, limit, otherDomains));
	const retryAt = Math.max(now + ((1 - bucket.tokens) * operationMs), Math.min(bucket.lastRetryAt + operationMs, now + MAX_RETRY_AFTER_MS));
	return {share: {...bucket, lastRetryAt: retryAt}, granted: 0, retryAfterMs: Math.max(1, Math.ceil(retryAt - now))};
}
