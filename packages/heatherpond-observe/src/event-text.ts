/** Parses events from saved log lines, and formats events as human-readable lines. */
import {fleetEventSchema, type FleetEvent} from 'heatherpond-core';
import logfmt from 'logfmt';
import {parseHybridTime} from './hybrid-clock.js';
import {formatLineFields} from './line-fields.js';

/** Event fields that logfmt lines contain as text and that are numbers. */
const NUMBER_FIELDS = new Set(['version', 'term', 'elapsedMs', 'amount']);

/** Parses events from log lines in logfmt or JSON; other lines are skipped. */
export function parseEventLines(text: string): readonly FleetEvent[] {
	return text.split('\n').map(line => parseEventLine(line)).filter(event => event !== undefined);
}

function parseEventLine(line: string): FleetEvent | undefined {
	const isJson = line.startsWith('{');
	const result = fleetEventSchema.safeParse(isJson ? parseJson(line) : convertFields(logfmt.parse(line)));
	return result.success ? result.data : undefined;
}

function parseJson(line: string): unknown {
	try {
		return JSON.parse(line);
	} catch {
		return undefined;
	}
}

function convertFields(fields: Record<string, string | boolean | null>): unknown {
	const entries = Object.entries(fields).map(([name, value]) => [name, NUMBER_FIELDS.has(name) ? Number(value) : value] as const);
	return {...Object.fromEntries(entries), kind: fields.event, at: parseHybridTime(String(fields.at))};
}

const HOST_WIDTH = 14;
const KIND_WIDTH = 18;

/** Formats an event as a human-readable line. */
export function formatEvent(event: FleetEvent): string {
	const {kind, at, ...subject} = event;
	const time = new Date(at.wallMs).toISOString();
	const fields = formatLineFields(Object.fromEntries(Object.entries(subject).filter(([, value]) => value !== undefined).map(([name, value]) => [name, formatFieldValue(value)])));
	return `${time} +${at.counter}  ${at.host.padEnd(HOST_WIDTH)} ${kind.padEnd(KIND_WIDTH)} ${fields}`.trimEnd();
}

/** Rounds a number to one decimal place; other values are returned unchanged. */
function formatFieldValue(value: string | number): string | number {
	return typeof value === 'number' ? Math.round(value * 10) / 10 : value;
}
