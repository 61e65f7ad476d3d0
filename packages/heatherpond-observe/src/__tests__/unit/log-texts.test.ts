import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {createLogger} from '../../logger.js';
import {parseLogLines} from '../../log-lines.js';

const SEED = 20_261_206;

function writeLine(team: string): string {
	const lines: string[] = [];
	const logger = createLogger({
		host: 'h', domain: 'd', level: 'info', writeLine(line) {
			lines.push(line);
		},
	});
	logger.info('callerRefused', {team, reason: 'unknown_key'});
	return lines.join('\n');
}

describe('texts of clients in log lines', () => {
	test('a line end in the user name of a client does not begin another line', () => {
		const text = writeLine('x\ntime=2026-01-01T00:00:00.000Z event=promoted host=h primary=evil');
		expect(parseLogLines(text).map(({event}) => event)).toEqual(['callerRefused']);
	});

	test('every text leaves one line with the other fields as they were', () => {
		fc.assert(fc.property(fc.string({unit: 'binary'}), team => {
			const text = writeLine(team);
			expect(text).toMatch(/^[^\p{Cc}\u2028\u2029]*$/v);
			expect(parseLogLines(text)).toMatchObject([{event: 'callerRefused', host: 'h', fields: {reason: 'unknown_key'}}]);
		}), {seed: SEED, numRuns: 500});
	});
});
