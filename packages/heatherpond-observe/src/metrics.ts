/** Prometheus metrics of one host: durations by stage, team and group, refusals by reason, and gauges. */
import type {Histogram} from 'hdr-histogram-js';
import type {MetricsRecorder, MetricSubject, RequestStage} from 'heatherpond-core';
import {Counter, Gauge, Registry} from 'prom-client';
import {
	createHistogram, MICROSECONDS_PER_MILLISECOND, QUANTILES, recordElapsedTime,
} from './duration-histogram.js';

/** Gauge whose value is read whenever metrics are collected. */
export type GaugeSource = {
	readonly name: string;
	readonly help: string;
	readonly read: () => number;
};

/** Metrics of one host. */
export type Metrics = MetricsRecorder & {
	/** Renders all metrics in the Prometheus exposition format. */
	readonly renderMetrics: () => Promise<string>;
	readonly contentType: string;
};

/** Durations of the requests of a team and group in one stage. */
type Series = MetricSubject & {readonly stage: RequestStage; readonly histogram: Histogram};

/** Bounds the memory and the number of time series; requests of further teams and groups are recorded together as `other`. */
const MAX_SERIES = 1000;
const OVERFLOW_SUBJECT: MetricSubject = {team: 'other', group: 'other'};

/** Creates the metrics of a host. */
export function createMetrics(gauges: readonly GaugeSource[]): Metrics {
	const registry = new Registry();
	const series = new Map<string, Series>();
	const refusals = new Counter({
		name: 'heatherpond_refusals_total', help: 'Requests that were not run', labelNames: ['team', 'group', 'reason'], registers: [registry],
	});
	registerDurations(registry, series);
	gauges.forEach(({name, help, read}) => {
		registerGauge(registry, name, help, read);
	});

	function findSeries(stage: RequestStage, {team, group}: MetricSubject): Series {
		const key = JSON.stringify([stage, team, group]);
		const existing = series.get(key);
		if (existing) {
			return existing;
		}

		if (series.size >= MAX_SERIES && team !== OVERFLOW_SUBJECT.team) {
			return findSeries(stage, OVERFLOW_SUBJECT);
		}

		const created: Series = {
			stage, team, group, histogram: createHistogram(),
		};
		series.set(key, created);
		return created;
	}

	return {
		recordDuration(stage, subject, elapsedMs) {
			recordElapsedTime(findSeries(stage, subject).histogram, elapsedMs);
		},
		countRefusal({team, group}, reason) {
			refusals.inc({team, group, reason});
		},
		renderMetrics: async () => registry.metrics(),
		contentType: registry.contentType,
	};
}

/** Registers a gauge whose value is read whenever metrics are collected. */
export function registerGauge(registry: Registry, name: string, help: string, read: () => number): void {
	// eslint-disable-next-line no-new -- the gauge registers itself
	new Gauge({
		name, help, registers: [registry], collect() {
			this.set(read());
		},
	});
}

function registerDurations(registry: Registry, series: ReadonlyMap<string, Series>): void {
	const labelNames = ['stage', 'team', 'group'];
	// eslint-disable-next-line no-new -- the gauge registers itself
	new Gauge({
		name: 'heatherpond_stage_duration_milliseconds', help: 'Quantiles of the time that requests spent in a stage', labelNames: [...labelNames, 'quantile'], registers: [registry], collect() {
			series.forEach(({stage, team, group, histogram}) => {
				QUANTILES.forEach(quantile => {
					this.set({
						stage, team, group, quantile,
					}, histogram.getValueAtPercentile(quantile * 100) / MICROSECONDS_PER_MILLISECOND);
				});
			});
		},
	});
	// eslint-disable-next-line no-new -- the gauge registers itself
	new Gauge({
		name: 'heatherpond_stage_requests', help: 'Requests that went through a stage since the start', labelNames, registers: [registry], collect() {
			series.forEach(({stage, team, group, histogram}) => {
				this.set({stage, team, group}, histogram.totalCount);
			});
		},
	});
}
