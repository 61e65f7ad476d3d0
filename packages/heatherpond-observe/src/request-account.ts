/** Finds out from log lines what became of one request, and why. */
import type {LogLine} from './log-lines.js';

/** How a line bears on the request. */
export type Relation = 'request' | 'session' | 'team' | 'group' | 'host';

/** The account of one request. */
export type RequestAccount = {
	readonly request: string;
	readonly host: string;
	/** One sentence. */
	readonly cause: string;
	readonly steps: ReadonlyArray<{readonly relation: Relation; readonly line: LogLine}>;
};

/** Milliseconds around the request's lines within which lines about its group and its host may have a bearing on it. */
const GROUP_BEFORE_MS = 6000;
const HOST_BEFORE_MS = 6000;
const TEAM_BEFORE_MS = 1500;
const AFTER_MS = 500;
/** Lines about the limit of the team that are kept, the latest ones. */
const MAX_TEAM_LINES = 3;

/** What changes a host's belief about itself. */
const HOST_EVENTS = new Set([
	'host_started', 'host_registered', 'host_stopping', 'table_lost', 'table_regained', 'register_failed', 'clock_drift', 'contracts_in_force', 'relay_lost', 'lines_dropped',
]);

/** Explains a request; nothing when no line names it. */
export function findAccount(lines: readonly LogLine[], request: string): RequestAccount | undefined {
	const own = lines.filter(({fields}) => fields.request === request);
	const last = own.at(-1);
	if (!last) {
		return undefined;
	}

	const related = lines.flatMap(line => {
		const relation = findRelation(line, own, last);
		return relation ? [{relation, line}] : [];
	});
	const latestOfTeam = new Set(related.filter(({relation}) => relation === 'team').slice(-MAX_TEAM_LINES));
	const steps = related.filter(step => step.relation !== 'team' || latestOfTeam.has(step));
	return {
		request, host: last.host, cause: findCause(last, steps.map(({line}) => line)), steps,
	};
}

function findRelation(line: LogLine, own: readonly LogLine[], last: LogLine): Relation | undefined {
	const {fields, event} = line;
	if (own.includes(line)) {
		return 'request';
	}

	const first = own[0]!;
	function isNear(beforeMs: number): boolean {
		return line.atMs >= first.atMs - beforeMs && line.atMs <= last.atMs + AFTER_MS;
	}

	if (fields.session !== undefined && fields.session === last.fields.session && fields.request === undefined && isNear(HOST_BEFORE_MS)) {
		return 'session';
	}

	if (event === 'limit_reached' && fields.team === last.fields.team && isNear(TEAM_BEFORE_MS)) {
		return 'team';
	}

	const databases = new Set(own.map(({fields: {database}}) => database));
	const isOfGroup = (fields.group !== undefined && fields.group === last.fields.group) || (fields.database !== undefined && databases.has(fields.database));
	if (isOfGroup && fields.request === undefined && isNear(GROUP_BEFORE_MS)) {
		return 'group';
	}

	return line.host === last.host && HOST_EVENTS.has(event) && isNear(HOST_BEFORE_MS) ? 'host' : undefined;
}

function findLast(lines: readonly LogLine[], ...events: readonly string[]): LogLine | undefined {
	return lines.findLast(({event}) => events.includes(event));
}

function formatLimit({rate, share, asked, asked_elsewhere: elsewhere}: LogLine['fields'], retryAfterMs: string | undefined): string {
	return `the team was over its limit: rate ${rate} a second, share of this domain ${share}, asked here ${asked}, elsewhere ${elsewhere}; told to return after ${retryAfterMs} ms`;
}

/** The causes that are looked for, the most telling first. */
function findCause(last: LogLine, lines: readonly LogLine[]): string {
	const {code, reason = ''} = last.fields;
	const limit = findLast(lines, 'limit_reached');
	const promotion = findLast(lines, 'promotion_due', 'primary_suspected');
	const started = findLast(lines, 'host_started');
	const lost = findLast(lines, 'table_lost', 'register_failed', 'clock_drift');
	if (reason.includes('over its rate')) {
		return limit ? formatLimit(limit.fields, last.fields.retry_after_ms) : 'the team was over its limit; the host that decided logged no figures';
	}

	if (code === 'in_doubt') {
		return `the outcome is unknown: ${reason}${promotion ? `, around a promotion of ${promotion.fields.group} (${promotion.fields.reason ?? promotion.event})` : ''}`;
	}

	if (reason.includes('verified')) {
		return `the host could not verify the contracts${lost ? `, since ${lost.event} (${lost.fields.reason ?? ''})` : ''}`;
	}

	if (reason.includes('no proven primary') && promotion) {
		return `the group had no proven primary: promotion of ${promotion.fields.group} was under way (${promotion.fields.reason ?? promotion.event})`;
	}

	if (reason.includes('no proven primary') && started) {
		return `the group had no proven primary on this host, which had started ${last.atMs - started.atMs} ms before`;
	}

	if (reason.includes('no proven primary')) {
		return `the group had no proven primary${lost ? `, since the host had lost the store (${lost.event})` : ' on this host'}`;
	}

	const attempts = lines.filter(({event}) => event === 'attempt_failed' || event === 'connection_failed');
	return attempts.length > 0
		? `${attempts.length} attempts failed, the last one at ${attempts.at(-1)!.fields.database} (${attempts.at(-1)!.fields.reason}); answered: ${code ?? last.event} ${reason}`.trim()
		: `${last.event}: ${[code, reason].filter(Boolean).join(', ')}`;
}
