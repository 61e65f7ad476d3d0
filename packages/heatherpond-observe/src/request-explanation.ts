/** Explains the outcome of a request from the log lines of all hosts. */
import type {LogLine} from './log-lines.js';

/** What a log line has in common with the explained request: it is about the request itself, or about its session, team, group or host. */
export type LineRelation = 'request' | 'session' | 'team' | 'group' | 'host';

/** Explanation of the outcome of a request. */
export type RequestExplanation = {
	readonly request: string;
	readonly host: string;
	/** Most likely cause, in one sentence. */
	readonly cause: string;
	/** Log lines related to the request, in the order of time. */
	readonly steps: ReadonlyArray<{readonly relation: LineRelation; readonly line: LogLine}>;
};

/** Lines about the group, host or team count as related if they are at most this long before the first line of the request. */
const GROUP_LOOKBACK_MS = 6000;
const HOST_LOOKBACK_MS = 6000;
const TEAM_LOOKBACK_MS = 1500;
/** Related lines are at most this long after the last line of the request. */
const LOOKAHEAD_MS = 500;
/** Number of lines about the limit of the team that are included, the latest ones. */
const MAX_TEAM_LINES = 3;

/** Events that change what a host may serve: its start and stop, registration, and access to the store and the contracts. */
const HOST_STATE_EVENTS = new Set([
	'host_started', 'host_registered', 'store_restored', 'host_stopping', 'table_lost', 'table_regained', 'register_failed', 'clock_drift', 'contracts_in_force', 'relay_lost', 'lines_dropped',
]);

/** Explains a request; `undefined` if no log line has its id. */
export function findRequestExplanation(lines: readonly LogLine[], request: string): RequestExplanation | undefined {
	const ownLines = lines.filter(({fields}) => fields.request === request);
	const lastLine = ownLines.at(-1);
	if (!lastLine) {
		return undefined;
	}

	const related = lines.flatMap(line => {
		const relation = findRelation(line, ownLines, lastLine);
		return relation ? [{relation, line}] : [];
	});
	const latestOfTeam = new Set(related.filter(({relation}) => relation === 'team').slice(-MAX_TEAM_LINES));
	const steps = related.filter(step => step.relation !== 'team' || latestOfTeam.has(step));
	return {
		request, host: lastLine.host, cause: findCause(lastLine, steps.map(({line}) => line)), steps,
	};
}

function findRelation(line: LogLine, ownLines: readonly LogLine[], lastLine: LogLine): LineRelation | undefined {
	const {fields, event} = line;
	if (ownLines.includes(line)) {
		return 'request';
	}

	const firstLine = ownLines[0]!;
	function isWithinWindow(beforeMs: number): boolean {
		return line.atMs >= firstLine.atMs - beforeMs && line.atMs <= lastLine.atMs + LOOKAHEAD_MS;
	}

	if (fields.session !== undefined && fields.session === lastLine.fields.session && fields.request === undefined && isWithinWindow(HOST_LOOKBACK_MS)) {
		return 'session';
	}

	if (event === 'limit_reached' && fields.team === lastLine.fields.team && isWithinWindow(TEAM_LOOKBACK_MS)) {
		return 'team';
	}

	const databases = new Set(ownLines.map(({fields: {database}}) => database));
	const isOfGroup = (fields.group !== undefined && fields.group === lastLine.fields.group) || (fields.database !== undefined && databases.has(fields.database));
	if (isOfGroup && fields.request === undefined && isWithinWindow(GROUP_LOOKBACK_MS)) {
		return 'group';
	}

	return line.host === lastLine.host && HOST_STATE_EVENTS.has(event) && isWithinWindow(HOST_LOOKBACK_MS) ? 'host' : undefined;
}

function findLastLine(lines: readonly LogLine[], ...events: readonly string[]): LogLine | undefined {
	return lines.findLast(({event}) => events.includes(event));
}

function formatLimit({rate, share, asked, asked_elsewhere: elsewhere}: LogLine['fields'], retryAfterMs: string | undefined): string {
	return `the team was over its limit: rate ${rate} per second, share of this domain ${share}, requested here ${asked}, in other domains ${elsewhere}; told to retry after ${retryAfterMs} ms`;
}

/** Finds the most likely cause; specific causes are checked before general ones. */
function findCause(lastLine: LogLine, lines: readonly LogLine[]): string {
	const {code, reason = ''} = lastLine.fields;
	const limit = findLastLine(lines, 'limit_reached');
	const promotion = findLastLine(lines, 'promotion_due', 'primary_suspected');
	const started = findLastLine(lines, 'host_started');
	const lost = findLastLine(lines, 'table_lost', 'register_failed', 'clock_drift');
	if (reason.includes('over its rate')) {
		return limit ? formatLimit(limit.fields, lastLine.fields.retry_after_ms) : 'the team was over its limit; no log line has the figures';
	}

	if (code === 'in_doubt') {
		return `the outcome is unknown: ${reason}${promotion ? `, around a promotion of ${promotion.fields.group} (${promotion.fields.reason ?? promotion.event})` : ''}`;
	}

	if (reason.includes('verified')) {
		return `the host could not verify the contracts${lost ? `, since ${lost.event} (${lost.fields.reason ?? ''})` : ''}`;
	}

	if (reason.includes('no proven primary') && promotion) {
		return `the group had no proven primary: promotion of ${promotion.fields.group} was in progress (${promotion.fields.reason ?? promotion.event})`;
	}

	if (reason.includes('no proven primary') && started) {
		return `the group had no proven primary on this host, which had started ${lastLine.atMs - started.atMs} ms earlier`;
	}

	if (reason.includes('no proven primary')) {
		return `the group had no proven primary${lost ? `, because the host had lost contact with the store (${lost.event})` : ' on this host'}`;
	}

	const attempts = lines.filter(({event}) => event === 'attempt_failed' || event === 'connection_failed');
	return attempts.length > 0
		? `${attempts.length} attempts failed, the last one at ${attempts.at(-1)!.fields.database} (${attempts.at(-1)!.fields.reason}); response: ${code ?? lastLine.event} ${reason}`.trim()
		: `${lastLine.event}: ${[code, reason].filter(Boolean).join(', ')}`;
}
