import {describe, expect, test} from '@jest/globals';
import {createFakeClock} from 'heatherpond-core';
import {executeCtl} from '../../ctl.js';
import {EXIT} from '../../ctl-error.js';

const EXPLANATION = {
	outcome: 'placed', reason: 'lowest expected delay, or about as low', database: 'db-2', team: 'team-1', group: 'group-1', after: '3.1207',
	candidates: [
		{
			database: 'db-2', isPrimary: false, totalMs: 21.04, terms: {
				statementMs: 15, queueMs: 5.04, roundTripMs: 1, lagMs: 0,
			},
		},
		// JSON has no infinity.
		{
			database: 'db-3', isPrimary: false, totalMs: null, terms: {statementMs: 15, lagMs: null},
		},
	],
};

async function runPlacement(answer: string, ...args: string[]) {
	const urls: string[] = [];
	const output: string[] = [];
	const errors: string[] = [];
	const exitCode = await executeCtl(['placement', '10.0.0.1:9464', '--database', 'shop', ...args], {
		env: {HEATHERPOND_KEY: 'secret'}, readFile: async () => '',
		async readUrl(url) {
			urls.push(url);
			return answer;
		},
		writeOutput(line) {
			output.push(line);
		},
		writeError(line) {
			errors.push(line);
		},
		clock: createFakeClock(0), createId: () => 'id', createKey: () => 'key', signal: new AbortController().signal,
	});
	return {
		exitCode, urls, output, errors,
	};
}

describe('placement', () => {
	test('asks the host and shows every database with the terms of its expected delay', async () => {
		const {exitCode, urls, output} = await runPlacement(JSON.stringify(EXPLANATION));
		expect(exitCode).toBe(EXIT.done);
		expect(urls).toEqual(['http://10.0.0.1:9464/placement?database=shop&key=secret&access=read']);
		expect(output).toEqual([
			'placed on db-2: lowest expected delay, or about as low',
			'group group-1, team team-1, after 3.1207',
			'  db-2: 21 ms = statement 15 + queue 5 + roundTrip 1',
			'  db-3: excluded ms = statement 15 + lag excluded',
		]);
	});

	test('prints the answer as JSON', async () => {
		const {output} = await runPlacement(JSON.stringify(EXPLANATION), '--json', '--access', 'write');
		expect(JSON.parse(output.join('\n'))).toMatchObject({database: 'db-2'});
	});

	test.each(['', '{}', '<html>'])('reports an answer that is no explanation: %j', async answer => {
		const {exitCode, errors} = await runPlacement(answer);
		expect(exitCode).toBe(EXIT.failed);
		expect(errors.join('\n')).toContain('not an explanation');
	});
});
