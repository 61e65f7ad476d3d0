/**
 * Adaptive concurrency limit of one host on one database (AIMD): the limit increases additively while latency stays
 * near its floor and decreases multiplicatively when latency rises well above it, but never below 1. Hosts share the
 * slots of a database this way without coordination, and excess requests wait in the fair queues.
 */
import type {Instant} from './clock.js';

/** Latency statistics of one database and the resulting limit. */
export type AdaptiveLimit = {
	readonly limit: number;
	readonly maxLimit: number;
	/** Lowest latency in the current and in the previous period, in milliseconds; the floor is the lower of the two. */
	readonly currentFloorMs: number;
	readonly lastFloorMs: number;
	readonly periodEndsAt: Instant;
	/** Exponentially weighted moving average of the latency in milliseconds. */
	readonly meanMs: number;
	readonly measuredAt: Instant;
	/** Earliest instant of the next decrease, by which the previous one has taken effect. */
	readonly nextDecreaseAt: Instant;
};

/** Measurement of one completed statement. */
export type LatencySample = {
	readonly latencyMs: number;
	/** Statements in flight when it completed, including itself. */
	readonly inFlight: number;
	readonly hasFailed: boolean;
};

/** Length of a period over which the lowest latency is taken, in milliseconds. */
const FLOOR_PERIOD_MS = 10_000;
/** Factor by which the limit decreases under congestion. */
const DECREASE_FACTOR = 0.75;
/** A database counts as congested when its latency exceeds floor x factor + margin; the margin is in milliseconds. */
const CONGESTION_FACTOR = 2;
const CONGESTION_MARGIN_MS = 2;
/** Weight of a new sample in the moving average. */
const MEAN_WEIGHT = 0.1;
/**
 * Time constant in milliseconds with which an outdated mean decays to the floor, so that a slow database is tried
 * again.
 */
const MEAN_DECAY_MS = 1000;

/** Creates the limit of a database without latency samples. */
export function createAdaptiveLimit(maxLimit: number): AdaptiveLimit {
	return {
		limit: 1,
		maxLimit: Math.max(1, maxLimit),
		currentFloorMs: Number.POSITIVE_INFINITY,
		lastFloorMs: Number.POSITIVE_INFINITY,
		periodEndsAt: Number.NEGATIVE_INFINITY,
		meanMs: 0,
		measuredAt: Number.NEGATIVE_INFINITY,
		nextDecreaseAt: Number.NEGATIVE_INFINITY,
	};
}

/** Returns the latency floor in milliseconds; infinite before the first sample. */
export function readLatencyFloor(state: AdaptiveLimit): number {
	return Math.min(state.currentFloorMs, state.lastFloorMs);
}

/** Returns the expected latency of the next statement in milliseconds. */
export function readExpectedLatency(state: AdaptiveLimit, now: Instant): number {
	const floor = readLatencyFloor(state);
	if (!Number.isFinite(floor)) {
		return 1;
	}

	return floor + (Math.max(0, state.meanMs - floor) * Math.exp(-Math.max(0, now - state.measuredAt) / MEAN_DECAY_MS));
}

/** Applies the measurement of one completed statement. */
export function applyLatencySample(state: AdaptiveLimit, sample: LatencySample, now: Instant): AdaptiveLimit {
	const measured = applyMeasurement(state, sample, now);
	const isCongested = sample.hasFailed || sample.latencyMs > (readLatencyFloor(measured) * CONGESTION_FACTOR) + CONGESTION_MARGIN_MS;
	if (isCongested) {
		return now < measured.nextDecreaseAt
			? measured
			: {...measured, limit: Math.max(1, measured.limit * DECREASE_FACTOR), nextDecreaseAt: now + Math.max(sample.latencyMs, 1)};
	}

	const isSaturated = sample.inFlight >= Math.floor(measured.limit);
	return isSaturated ? {...measured, limit: Math.min(measured.maxLimit, measured.limit + (1 / measured.limit))} : measured;
}

function applyMeasurement(state: AdaptiveLimit, {latencyMs, hasFailed}: LatencySample, now: Instant): AdaptiveLimit {
	if (hasFailed) {
		return state;
	}

	const hasPeriodEnded = now >= state.periodEndsAt;
	const currentFloorMs = hasPeriodEnded ? latencyMs : Math.min(state.currentFloorMs, latencyMs);
	const isFirst = !Number.isFinite(readLatencyFloor(state));
	return {
		...state,
		currentFloorMs,
		lastFloorMs: hasPeriodEnded ? state.currentFloorMs : state.lastFloorMs,
		periodEndsAt: hasPeriodEnded ? now + FLOOR_PERIOD_MS : state.periodEndsAt,
		meanMs: isFirst ? latencyMs : (state.meanMs * (1 - MEAN_WEIGHT)) + (latencyMs * MEAN_WEIGHT),
		measuredAt: now,
	};
}
