/**
 * Decides how many statements one host has at work on one database: additive increase while latency stays near its
 * floor, multiplicative decrease when it rises well over it, never under one. Hosts that know little of each other so
 * come to share the database's slots, and what waits, waits in the fair queues.
 */
import type {Instant} from './clock.js';

/** What is known of one database's latency, and the limit that follows. */
export type AdaptiveLimit = {
	readonly limit: number;
	readonly maxLimit: number;
	/** Lowest latency of the current and of the last period, in milliseconds; the floor is the lower one. */
	readonly currentFloorMs: number;
	readonly lastFloorMs: number;
	readonly periodEndsAt: Instant;
	/** Exponentially weighted mean of latency in milliseconds. */
	readonly meanMs: number;
	readonly measuredAt: Instant;
	/** No decrease before this instant: its effect must show first. */
	readonly nextDecreaseAt: Instant;
};

/** How one statement went. */
export type LatencySample = {
	readonly latencyMs: number;
	/** Statements at work, this one included, when it ended. */
	readonly inFlight: number;
	readonly hasFailed: boolean;
};

const FLOOR_PERIOD_MS = 10_000;
const DECREASE_FACTOR = 0.75;
/** Latency over the floor, as a factor and in milliseconds, from which the database counts as crowded. */
const CONGESTION_FACTOR = 2;
const CONGESTION_MARGIN_MS = 2;
const MEAN_WEIGHT = 0.1;
/** Milliseconds over which an old mean falls back to the floor, so that a database is tried again. */
const MEAN_DECAY_MS = 1000;

/** Creates the limit of a database whose latency is not known yet. */
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

/** Reads the lowest latency of late, in milliseconds; infinite before the first sample. */
export function readLatencyFloor(state: AdaptiveLimit): number {
	return Math.min(state.currentFloorMs, state.lastFloorMs);
}

/** Reads the latency to expect of the next statement, in milliseconds. */
export function readExpectedLatency(state: AdaptiveLimit, now: Instant): number {
	const floor = readLatencyFloor(state);
	if (!Number.isFinite(floor)) {
		return 1;
	}

	return floor + (Math.max(0, state.meanMs - floor) * Math.exp(-Math.max(0, now - state.measuredAt) / MEAN_DECAY_MS));
}

/** Applies the end of one statement. */
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
