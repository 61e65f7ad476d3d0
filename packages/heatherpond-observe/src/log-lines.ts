/** Parses saved log lines of any process. */
import logfmt from 'logfmt';

/** Parsed log line. */
export type LogLine = {
	/** Unix milliseconds, by the wall clock of the host that wrote the line. */
	readonly atMs: number;
	readonly host: string;
	readonly event: string;
	/** All other fields of the line. */
	readonly fields: Readonly<Record<string, string>>;
};

/** Fields that every line has, and that `fields` leaves out. */
const COMMON_FIELDS = new Set(['time', 'level', 'host', 'domain', 'event']);

/**
 * Parses logfmt lines and sorts them by time. Text before the field `time` is ignored, and lines without time, host or
 * event are skipped.
 */
export function parseLogLines(text: string): readonly LogLine[] {
	return text
		.split('\n')
		.map(line => parseLogLine(line))
		.filter(line => line !== undefined)
		.toSorted((left, right) => left.atMs - right.atMs);
}

function parseLogLine(line: string): LogLine | undefined {
	const start = line.indexOf('time=');
	const pairs = start === -1 ? {} : logfmt.parse(line.slice(start));
	const atMs = Date.parse(String(pairs.time));
	if (Number.isNaN(atMs) || typeof pairs.event !== 'string' || typeof pairs.host !== 'string') {
		return undefined;
	}

	const fields = Object.entries(pairs).filter(([name]) => !COMMON_FIELDS.has(name)).map(([name, value]) => [name, String(value)]);
	return {
		atMs, host: pairs.host, event: pairs.event, fields: Object.fromEntries(fields) as Record<string, string>,
	};
}
