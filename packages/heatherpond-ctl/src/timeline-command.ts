/** `timeline`: shows the events of the fleet, read from all hosts or from saved logs. */
import {
	array, command, flag, multioption, number, option, optional, string,
} from 'cmd-ts';
import {AdminError} from 'heatherpond-admin';
import {eventKindSchema, fleetEventSchema, type FleetEvent} from 'heatherpond-core';
import {
	collectTimeline, eventFilterSchema, FAILOVER_KINDS, formatEvent, parseEventLines, type EventFilter,
} from 'heatherpond-observe';
import {COMMON_ARGS, type CommonArgs} from './command-args.js';
import {CtlError, EXIT} from './ctl-error.js';
import type {CommandResult, CtlIo} from './ctl-io.js';
import {runAndWriteResult, runWithFleet, type CtlInvocation} from './run-command.js';
import type {CtlSession} from './submit-changes.js';
import {renderTimeline} from './timeline-page.js';

const HOST_TIMEOUT_MS = 5000;

const TIMELINE_ARGS = {
	...COMMON_ARGS,
	log: multioption({type: array(string), long: 'log', description: 'file with saved log lines in logfmt or JSON, to read instead of the hosts; may be repeated'}),
	request: option({type: optional(string), long: 'request', description: 'events of one request'}),
	session: option({type: optional(string), long: 'session', description: 'events of one session'}),
	team: option({type: optional(string), long: 'team', description: 'events of one team'}),
	group: option({type: optional(string), long: 'group', description: 'events of one database group'}),
	on: option({type: optional(string), long: 'on', description: 'events on one host, or about it as a peer'}),
	kind: multioption({type: array(string), long: 'kind', description: 'events of one kind; may be repeated'}),
	version: option({type: optional(number), long: 'version', description: 'events of the change with this version: when and where it took effect'}),
	failover: flag({long: 'failover', description: 'events that describe a failover'}),
	from: option({type: optional(string), long: 'from', description: 'earliest time, such as 2026-05-12T10:00:00Z'}),
	until: option({type: optional(string), long: 'until', description: 'latest time'}),
	html: flag({long: 'html', description: 'print an HTML page with a chart of the events by host'}),
};

type TimelineArgs = CommonArgs & {
	readonly log: readonly string[];
	readonly request?: string;
	readonly session?: string;
	readonly team?: string;
	readonly group?: string;
	readonly on?: string;
	readonly kind: readonly string[];
	readonly version?: number;
	readonly failover: boolean;
	readonly from?: string;
	readonly until?: string;
	readonly html: boolean;
};

/** Events by source, and remarks on events that are missing. */
type CollectedTimeline = {readonly sources: ReadonlyArray<readonly FleetEvent[]>; readonly remarks: readonly string[]};

function parseTimestamp(text: string | undefined): number | undefined {
	const timeMs = text === undefined ? undefined : Date.parse(text);
	if (timeMs !== undefined && Number.isNaN(timeMs)) {
		throw new CtlError(`"${text}" is not a valid time; allowed: a time such as 2026-05-12T10:00:00Z`, {props: {exitCode: EXIT.badInput}});
	}

	return timeMs;
}

function createFilter(args: TimelineArgs): EventFilter {
	const result = eventFilterSchema.safeParse({
		...args, host: args.on, kinds: [...args.kind, ...(args.failover ? FAILOVER_KINDS : [])], fromMs: parseTimestamp(args.from), untilMs: parseTimestamp(args.until),
	});
	if (!result.success) {
		throw new CtlError(`unknown kind of event; allowed: ${eventKindSchema.options.join(', ')}`, {props: {exitCode: EXIT.badInput}});
	}

	return result.data;
}

async function collectFromHosts({fleet, io}: CtlSession, filter: EventFilter): Promise<CollectedTimeline> {
	const view = await fleet.readView();
	const deadline = io.clock.readNow() + HOST_TIMEOUT_MS;
	const results = await Promise.all(Object.values(view.hosts).map(async ({host, peerAddress}) => {
		try {
			const {events, dropped} = await fleet.collectEventsOf(peerAddress, JSON.stringify(filter), deadline);
			const remarks = dropped > 0 ? [`${host} has discarded ${dropped} older events`] : [];
			return {events: events.map(text => fleetEventSchema.parse(JSON.parse(text))), remarks};
		} catch (error) {
			if (error instanceof AdminError) {
				return {events: [], remarks: [`${host} gave no answer: ${error.reason}`]};
			}

			throw error;
		}
	}));
	return {sources: results.map(result => result.events), remarks: results.flatMap(result => result.remarks)};
}

async function collectFromLogs(io: CtlIo, paths: readonly string[]): Promise<CollectedTimeline> {
	const texts = await Promise.all(paths.map(async path => io.readFile(path).catch((error: unknown) => {
		throw new CtlError(`${path}: the file cannot be read`, {cause: error, props: {exitCode: EXIT.badInput}});
	})));
	return {sources: texts.map(text => parseEventLines(text)), remarks: []};
}

function createResult(args: TimelineArgs, filter: EventFilter, {sources, remarks}: CollectedTimeline): CommandResult {
	const events = collectTimeline(sources, filter);
	const lines = args.html ? [renderTimeline(events, remarks)] : [...events.map(event => formatEvent(event)), ...remarks.map(remark => `# ${remark}`)];
	return {lines, json: {events, remarks}};
}

async function runTimeline(invocation: CtlInvocation, args: TimelineArgs): Promise<void> {
	await runAndWriteResult(invocation, args, async () => {
		const filter = createFilter(args);
		return args.log.length > 0
			? createResult(args, filter, await collectFromLogs(invocation.io, args.log))
			: runWithFleet(invocation.io, args, async session => createResult(args, filter, await collectFromHosts(session, filter)));
	});
}

/** Creates `timeline`. */
export function createTimelineCommand(invocation: CtlInvocation) {
	return command({
		name: 'timeline',
		description: 'Shows the events of the fleet in causal order',
		args: TIMELINE_ARGS,
		handler: async args => runTimeline(invocation, args),
	});
}
