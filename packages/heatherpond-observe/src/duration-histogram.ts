/** Histograms of durations, in microseconds up to a minute. */
import {build, type Histogram} from 'hdr-histogram-js';

/** Microseconds in a millisecond. */
export const MICROSECONDS = 1000;
/** Quantiles that are reported. */
export const QUANTILES: readonly number[] = [0.5, 0.9, 0.99, 0.999];
const MAX_DURATION_US = 60_000_000;
const SIGNIFICANT_DIGITS = 2;

/** Creates an empty histogram. */
export function createHistogram(): Histogram {
	return build({lowestDiscernibleValue: 1, highestTrackableValue: MAX_DURATION_US, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS});
}

/** Records a duration in milliseconds; longer ones than a minute count as a minute. */
export function applyDuration(histogram: Histogram, elapsedMs: number): void {
	histogram.recordValue(Math.min(MAX_DURATION_US, Math.max(0, Math.round(elapsedMs * MICROSECONDS))));
}
