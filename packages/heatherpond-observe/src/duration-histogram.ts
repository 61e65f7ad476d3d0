/** Histograms of durations from a microsecond to a minute. */
import {build, type Histogram} from 'hdr-histogram-js';

/** Histograms store microseconds; durations are passed in milliseconds. */
export const MICROSECONDS_PER_MILLISECOND = 1000;
/** Quantiles that metrics report. */
export const QUANTILES: readonly number[] = [0.5, 0.9, 0.99, 0.999];
const MAX_DURATION_US = 60_000_000;
const SIGNIFICANT_DIGITS = 2;

/** Creates an empty histogram. */
export function createHistogram(): Histogram {
	return build({lowestDiscernibleValue: 1, highestTrackableValue: MAX_DURATION_US, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS});
}

/** Records a duration in milliseconds; durations longer than a minute are recorded as a minute. */
export function recordElapsedTime(histogram: Histogram, elapsedMs: number): void {
	histogram.recordValue(Math.min(MAX_DURATION_US, Math.max(0, Math.round(elapsedMs * MICROSECONDS_PER_MILLISECOND))));
}
