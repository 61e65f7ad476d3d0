/** Metrics of one host: histograms by stage, team and group, refusals by reason, and gauges read when asked for. */
import type {Histogram} from 'hdr-histogram-js';
import type {MetricsRecorder, MetricSubject, RequestStage} from 'heatherpond-core';
import {Counter, Gauge, Registry} from 'prom-client';
import {
	createHistogram, MICROSECONDS, QUANTILES, applyDuration,
} from './duration-histogram.js';

/** A figure that is read when metrics are asked for. */
export type GaugeSource = {
	readonly name: string;
	readonly help: string;
	readonly read: () => number;
};

/** Metrics of one host. */
export type Metrics = MetricsRecorder & {
	/** Renders everything in the usual exposition format. */
	readonly renderMetrics: () => Promise<string>;
	readonly contentType: string;
};

type Series = MetricSubject & {readonly stage: RequestStage; readonly histogram: Histogram};

/** Series that a host keeps; requests of further teams and groups are counted together as `other`. */
const MAX_SERIES = 1000;
const OTHER: MetricSubject = {team: 'other', group: 'other'};

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
		const key = `${stage} ${team} ${group}`;
		const known = series.get(key);
		if (known) {
			return known;
		}

		if (series.size >= MAX_SERIES && team !== OTHER.team) {
			return findSeries(stage, OTHER);
		}

		const created: Series = {
			stage, team, group, histogram: createHistogram(),
		};
		series.set(key, created);
		return created;
	}

	return {
		recordDuration(stage, subject, elapsedMs) {
			applyDuration(findSeries(stage, subject).histogram, elapsedMs);
		},
		countRefusal({team, group}, reason) {
			refusals.inc({team, group, reason});
		},
		renderMetrics: async () => registry.metrics(),
		contentType: registry.contentType,
	};
}

/** Registers a figure that is read when metrics are asked for. */
export function registerGauge(registry: Registry, name: string, help: string, read: () => number): void {
	// eslint-disable-next-line no-new
	new Gauge({
		name, help, registers: [registry], collect() {
			this.set(read());
		},
	});
}

function registerDurations(registry: Registry, series: ReadonlyMap<string, Series>): void {
	const labelNames = ['stage', 'team', 'group'];
	// eslint-disable-next-line no-new
	new Gauge({
		name: 'heatherpond_stage_duration_milliseconds', help: 'Quantiles of the time that requests spent in a stage', labelNames: [...labelNames, 'quantile'], registers: [registry], collect() {
			series.forEach(({stage, team, group, histogram}) => {
				QUANTILES.forEach(quantile => {
					this.set({
						stage, team, group, quantile,
					}, histogram.getValueAtPercentile(quantile * 100) / MICROSECONDS);
				});
			});
		},
	});
	// eslint-disable-next-line no-new
	new Gauge({
		name: 'heatherpond_stage_requests', help: 'Requests that went through a stage since the start', labelNames, registers: [registry], collect() {
			series.forEach(({stage, team, group, histogram}) => {
				this.set({stage, team, group}, histogram.totalCount);
			});
		},
	});
}
