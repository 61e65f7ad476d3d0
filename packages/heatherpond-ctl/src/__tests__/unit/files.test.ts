import {describe, expect, test} from '@jest/globals';
import {createFakeClock} from 'heatherpond-core';
import {executeCtl, EXIT} from '../../index.js';

type CtlResult = {readonly exitCode: number; readonly output: string; readonly error: string};

async function runCtl(args: readonly string[], files: Readonly<Record<string, string>>): Promise<CtlResult> {
	const output: string[] = [];
	const errors: string[] = [];
	const exitCode = await executeCtl(args, {
		env: {},
		async readFile(path) {
			const text = files[path];
			if (text === undefined) {
				throw new Error('no such file');
			}

			return text;
		},
		readUrl: async () => '',
		writeOutput(line) {
			output.push(line);
		},
		writeError(line) {
			errors.push(line);
		},
		clock: createFakeClock(0),
		createId: () => 'unused',
		createKey: () => 'unused',
		signal: new AbortController().signal,
	});
	return {exitCode, output: output.join('\n'), error: errors.join('\n')};
}

const LOG = 'time=2026-07-09T18:45:21.042Z level=info event=statement_refused host=front-1 domain=a request=r1 session=s-1 code=busy reason="the team is over its rate" retry_after_ms=90';

describe('heatherpondctl explain', () => {
	test('prints the cause of the outcome of a request, as text and as JSON', async () => {
		const files = {'a.log': '', 'b.log': LOG};
		const result = await runCtl(['explain', 'r1', '--log', 'a.log', '--log', 'b.log'], files);
		expect(result).toMatchObject({exitCode: EXIT.done, error: ''});
		expect(result.output).toContain('cause: the team was over its limit');
		const json = await runCtl(['explain', 'r1', '--log', 'b.log', '--json'], files);
		expect(JSON.parse(json.output)).toMatchObject({request: 'r1', host: 'front-1'});
	});

	test('fails when no line names the request, when a log file is missing, and when none is given', async () => {
		expect(await runCtl(['explain', 'r2', '--log', 'b.log'], {'b.log': LOG})).toMatchObject({exitCode: EXIT.failed, error: expect.stringContaining('no line names the request r2')});
		expect(await runCtl(['explain', 'r1', '--log', 'none.log'], {})).toMatchObject({exitCode: EXIT.badInput, error: expect.stringContaining('none.log: the file cannot be read')});
		expect(await runCtl(['explain', 'r1'], {})).toMatchObject({exitCode: EXIT.badInput});
	});
});

describe('heatherpondctl check-settings', () => {
	test('accepts a valid settings file', async () => {
		expect(await runCtl(['check-settings', 'ctl.toml', '--program', 'ctl'], {'ctl.toml': 'author = "ops"\n'})).toMatchObject({exitCode: EXIT.done, output: 'ctl.toml: can be used by ctl'});
	});

	test('reports invalid settings with key path, value and allowed keys', async () => {
		const result = await runCtl(['check-settings', 'ctl.toml', '--program', 'ctl'], {'ctl.toml': 'author = 3\nauhtor = "ops"\n'});
		expect(result.exitCode).toBe(EXIT.badInput);
		expect(result.error).toContain('author has the value 3');
		expect(result.error).toContain('auhtor');
		expect(result.error).toContain('allowed keys:');
	});
});
