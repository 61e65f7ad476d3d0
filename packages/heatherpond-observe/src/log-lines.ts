/** Saved log lines of any process, read back. */
import logfmt from 'logfmt';

/** One line. */
export type LogLine = {
	/** Unix milliseconds, by the clock of the host that wrote it. */
	readonly atMs: number;
	readonly host: string;
	readonly event: string;
	readonly fields: Readonly<Record<string, string>>;
};

/** Fields that every line has. */
const COMMON_FIELDS = new Set(['time', 'level', 'host', 'domain', 'event']);

/** Parses lines of key=value pairs in the order of their times; text before the first pair and lines without an event are passed over. */
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
