/** `top`: shows request counts, durations by stage and refusals of each team on all hosts. */
import {command} from 'cmd-ts';
import {AdminError} from 'heatherpond-admin';
import {COMMON_ARGS} from './command-args.js';
import type {CommandResult} from './ctl-io.js';
import {formatTable} from './format-table.js';
import {parseMetrics, type MetricSample} from './parse-metrics.js';
import {runCommand, type CtlInvocation} from './run-command.js';
import type {CtlSession} from './submit-changes.js';

const HOST_TIMEOUT_MS = 5000;

/** Metrics of a host; without samples if it did not respond. */
type HostMetrics = {readonly host: string; readonly samples?: readonly MetricSample[]};

async function readHostSamples({fleet, io}: CtlSession, host: string, address: string): Promise<HostMetrics> {
	try {
		const {text} = await fleet.readMetricsOf(address, io.clock.readNow() + HOST_TIMEOUT_MS);
		return {host, samples: parseMetrics(text)};
	} catch (error) {
		if (error instanceof AdminError) {
			return {host};
		}

		throw error;
	}
}

function findQuantile(samples: readonly MetricSample[], labels: MetricSample['labels'], quantile: string): string {
	const sample = samples.find(candidate => candidate.name === 'heatherpond_stage_duration_milliseconds' && candidate.labels.quantile === quantile
		&& ['stage', 'team', 'group'].every(label => candidate.labels[label] === labels[label]));
	return sample ? sample.value.toFixed(1) : '-';
}

/** Formats one table row for each stage, team and group of a host. */
function formatStages({host, samples = []}: HostMetrics): ReadonlyArray<readonly string[]> {
	return samples
		.filter(sample => sample.name === 'heatherpond_stage_requests')
		.map(({labels, value}) => [host, labels.team!, labels.group!, labels.stage!, String(value), findQuantile(samples, labels, '0.5'), findQuantile(samples, labels, '0.99')]);
}

function formatRefusals({host, samples = []}: HostMetrics): readonly string[] {
	return samples
		.filter(sample => sample.name === 'heatherpond_refusals_total')
		.map(({labels, value}) => `${host} refused ${value} of ${labels.team} on ${labels.group}: ${labels.reason}`);
}

async function readTop(session: CtlSession): Promise<CommandResult> {
	const view = await session.fleet.readView();
	const hosts = await Promise.all(Object.values(view.hosts).map(async ({host, peerAddress}) => readHostSamples(session, host, peerAddress)));
	const unresponsive = hosts.filter(host => !host.samples).map(({host}) => `# ${host} gave no answer`);
	return {
		lines: [...formatTable(['HOST', 'TEAM', 'GROUP', 'STAGE', 'REQUESTS', 'P50 MS', 'P99 MS'], hosts.flatMap(formatStages)), ...hosts.flatMap(formatRefusals), ...unresponsive],
		json: hosts,
	};
}

/** Creates `top`. */
export function createTopCommand(invocation: CtlInvocation) {
	return command({
		name: 'top', description: 'Shows request counts, durations by stage and refusals, by team', args: COMMON_ARGS, handler: async args => runCommand(invocation, args, readTop),
	});
}
