/** Parses the subset of the Prometheus exposition format that hosts write. */

/** One sample of a metric with its labels. */
export type MetricSample = {readonly name: string; readonly labels: Readonly<Record<string, string>>; readonly value: number};

const SAMPLE_PATTERN = /^(?<name>[a-z_][\w]*)(?:\{(?<labels>.*)\})? (?<value>\S+)$/iv;
const LABEL_PATTERN = /(?<name>\w+)="(?<value>(?:[^"\\]|\\.)*)"/gv;

/** Parses the samples of a text; comments and malformed lines are skipped. */
export function parseMetrics(text: string): readonly MetricSample[] {
	return text.split('\n').map(line => SAMPLE_PATTERN.exec(line)?.groups).filter(groups => groups !== undefined).map(groups => ({
		name: groups.name!,
		labels: Object.fromEntries([...(groups.labels ?? '').matchAll(LABEL_PATTERN)].map(match => [match.groups!.name!, match.groups!.value!])),
		value: Number(groups.value),
	}));
}
