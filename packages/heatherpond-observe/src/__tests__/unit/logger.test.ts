import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {parseLogLines} from '../../log-lines.js';
import {createLogger, type LogFields} from '../../logger.js';

const SEED = 20_261_206;

function formatEvent(fields: LogFields): string {
	const lines: string[] = [];
	createLogger({
		host: 'host-1', domain: 'd', level: 'info', writeLine(line) {
			lines.push(line);
		},
	}).info('caller_refused', fields);
	expect(lines).toHaveLength(1);
	return lines[0]!;
}

describe('a log line', () => {
	// Guards against lines that a client forges with a line feed in a name, and against lines that break.
	test.each([
		'x\ntime=2026-01-01T00:00:00.000Z level=info event=host_stopping host=host-2', 'a\r\nb', '\n', '\u0000\u001B[2J', 'a\u0085b', 'a\u2028b\u2029c', '\uD800', 'a" time=1 event="x', 'back\\slash\\', 'a=b c',
	])('is one line with one event, whatever a field holds: %j', value => {
		const line = formatEvent({database: value, reason: 'unknown_database'});
		expect(line).not.toMatch(/[\p{Cc}\p{Zl}\p{Zp}\p{Cs}]/v);
		expect(parseLogLines(`${line}\n`)).toMatchObject([{event: 'caller_refused', host: 'host-1', fields: {reason: 'unknown_database'}}]);
	});

	test('holds the same fields as the event, except for the characters that are replaced', () => {
		fc.assert(fc.property(fc.string({unit: 'grapheme', minLength: 1, maxLength: 40}), value => {
			const [parsed] = parseLogLines(formatEvent({database: value, reason: 'r'}));
			expect(parsed!.fields).toEqual({database: value.replaceAll(/[\p{Cc}\p{Zl}\p{Zp}\p{Cs}]/gv, character => String.raw`\u${character.codePointAt(0)!.toString(16).padStart(4, '0')}`), reason: 'r'});
		}), {seed: SEED});
	});

	// Guards against a client that fills the disk or the memory of a host with one name of a megabyte.
	test('is bounded, whatever the length of a field', () => {
		const line = formatEvent({database: '\n'.repeat(1_000_000), reason: 'r'});
		expect(line.length).toBeLessThan(20_000);
		expect(parseLogLines(line)).toMatchObject([{fields: {reason: 'r'}}]);
		expect(formatEvent({database: 'x'.repeat(2000)})).toContain('x'.repeat(2000));
	});
});
