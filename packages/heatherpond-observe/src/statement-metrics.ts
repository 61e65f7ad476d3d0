/** Prometheus metrics of the statements of one host by route, outcome and database. */
import type {Histogram} from 'hdr-histogram-js';
import {Counter, Gauge, Registry} from 'prom-client';
import {
	createHistogram, MICROSECONDS_PER_MILLISECOND, QUANTILES, recordElapsedTime,
} from './duration-histogram.js';
import {registerGauge, type GaugeSource} from './metrics.js';

/** Measurement of one completed statement. */
export type StatementSample = {
	readonly route: string;
	readonly outcome: string;
	/** Database that responded; absent if none did. */
	readonly database?: string;
	readonly elapsedMs: number;
};

/** Records statements and renders their metrics. */
export type StatementMetrics = {
	readonly recordStatement: (statement: StatementSample) => void;
	/** Renders all metrics in the Prometheus exposition format. */
	readonly renderMetrics: () => Promise<string>;
	readonly contentType: string;
};

type Labels = {readonly route: string; readonly outcome: string; readonly database: string};
type Series = {readonly labels: Labels; readonly histogram: Histogram};

/** Bounds the memory and the number of time series; statements of further routes are recorded together as `other`. */
const MAX_SERIES = 400;
const OVERFLOW_LABEL = 'other';
const LABEL_NAMES = ['route', 'outcome', 'database'];

/** Creates the statement metrics of a host. */
export function createStatementMetrics(gauges: readonly GaugeSource[]): StatementMetrics {
	const registry = new Registry();
	const series = new Map<string, Series>();
	const statements = new Counter({
		name: 'heatherpond_statements_total', help: 'Statements that were answered', labelNames: LABEL_NAMES, registers: [registry],
	});
	registerDurations(registry, series);
	gauges.forEach(({name, help, read}) => {
		registerGauge(registry, name, help, read);
	});

	function findSeries(labels: Labels): Series {
		const key = JSON.stringify([labels.route, labels.outcome, labels.database]);
		const existing = series.get(key);
		if (existing) {
			return existing;
		}

		if (series.size >= MAX_SERIES && labels.route !== OVERFLOW_LABEL) {
			return findSeries({...labels, route: OVERFLOW_LABEL, database: OVERFLOW_LABEL});
		}

		const created: Series = {labels, histogram: createHistogram()};
		series.set(key, created);
		return created;
	}

	return {
		recordStatement({route, outcome, database = '', elapsedMs}) {
			const {labels, histogram} = findSeries({route, outcome, database});
			statements.inc(labels);
			recordElapsedTime(histogram, elapsedMs);
		},
		renderMetrics: async () => registry.metrics(),
		contentType: registry.contentType,
	};
}

function registerDurations(registry: Registry, series: ReadonlyMap<string, Series>): void {
	// eslint-disable-next-line no-new -- the gauge registers itself
	new Gauge({
		name: 'heatherpond_statement_duration_milliseconds', help: 'Quantiles of the time from a statement to its answer', labelNames: [...LABEL_NAMES, 'quantile'], registers: [registry], collect() {
			series.forEach(({labels, histogram}) => {
				QUANTILES.forEach(quantile => {
					this.set({...labels, quantile}, histogram.getValueAtPercentile(quantile * 100) / MICROSECONDS_PER_MILLISECOND);
				});
			});
		},
	});
}
