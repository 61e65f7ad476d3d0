import {describe, expect, test} from '@jest/globals';
import type {FleetEvent} from 'heatherpond-core';
import {collectTimeline, eventFilterSchema} from '../../event-filter.js';
import {createEventRecorder, type EventRecorder} from '../../event-recorder.js';
import {formatEvent, parseEventLines} from '../../event-text.js';
import {createHybridClock} from '../../hybrid-clock.js';
import {createLogger} from '../../logger.js';

type Host = {readonly recorder: EventRecorder; readonly lines: string[]};

function createHost(host: string, level: 'debug' | 'info' | 'silent', readWallMs = () => 1000): Host {
	const lines: string[] = [];
	const logger = createLogger({
		host, domain: `recorder-${level}`, level, writeLine(line) {
			lines.push(line);
		},
	});
	return {
		lines, recorder: createEventRecorder({
			hybridClock: createHybridClock(host, readWallMs), logger, statementCapacity: 3, capacity: 2,
		}),
	};
}

describe('event recorder', () => {
	test('routine statement events do not overwrite other events, and overwritten events are counted', () => {
		const {recorder} = createHost('h1', 'silent');
		recorder.recordEvent('promotionStep', {group: 'g', step: 'raising'});
		['r1', 'r2', 'r3', 'r4', 'r5'].forEach(request => {
			recorder.recordEvent('requestRouted', {request});
		});

		expect(recorder.readEvents().map(event => event.request ?? event.step)).toEqual(['raising', 'r3', 'r4', 'r5']);
		expect(recorder.countDropped()).toBe(2);
	});

	test('events are logged at the level of their kind, and log lines are parsed back as the same events', () => {
		const {recorder, lines} = createHost('h2', 'info');
		recorder.recordEvent('requestRouted', {request: 'r1'});
		recorder.recordEvent('promotionStep', {group: 'g', term: 3, step: 'a "quoted" step'});

		expect(lines).toHaveLength(1);
		expect(parseEventLines(`${lines.join('\n')}\nnoise`)).toEqual(recorder.readEvents().filter(event => event.kind === 'promotionStep'));
	});

	// Guards against events that nobody recorded, in a timeline whose names hold line ends.
	test('an event is one line of a timeline, whatever its names hold', () => {
		const {recorder} = createHost('h4', 'silent');
		recorder.recordEvent('requestRefused', {team: 'a\n2026-01-01T00:00:00.000Z +0  h1  promotionStep  group=g', reason: 'over_rate'});
		expect(formatEvent(recorder.readEvents()[0]!)).not.toMatch(/[\p{Cc}\p{Zl}\p{Zp}]/v);
	});

	test('events are parsed back from JSON lines', () => {
		const {recorder} = createHost('h3', 'silent');
		recorder.recordEvent('requestRefused', {team: 'durban', reason: 'over_rate'});
		const events = recorder.readEvents();

		expect(parseEventLines(events.map(event => JSON.stringify(event)).join('\n'))).toEqual(events);
	});
});

describe('event timeline', () => {
	const sources: ReadonlyArray<readonly FleetEvent[]> = [
		[{kind: 'operatorCommand', version: 7, at: {wallMs: 5, counter: 0, host: 'h1'}}, {kind: 'requestRefused', team: 'a', at: {wallMs: 9, counter: 0, host: 'h1'}}],
		[{kind: 'entryApplied', version: 7, at: {wallMs: 5, counter: 1, host: 'h2'}}, {kind: 'entryApplied', version: 6, at: {wallMs: 4, counter: 1, host: 'h2'}}],
	];

	test.each([
		['version', {version: 7}, ['operatorCommand h1', 'entryApplied h2']],
		['host', {host: 'h2'}, ['entryApplied h2', 'entryApplied h2']],
		['team', {team: 'a'}, ['requestRefused h1']],
		['kind', {kinds: ['operatorCommand']}, ['operatorCommand h1']],
		['time', {fromMs: 5, untilMs: 5}, ['operatorCommand h1', 'entryApplied h2']],
	])('merges the events of several hosts in causal order, filtered by %s', (_name, filter, expected) => {
		expect(collectTimeline(sources, eventFilterSchema.parse(filter)).map(event => `${event.kind} ${event.at.host}`)).toEqual(expected);
	});
});
