/** `explain`: what became of one request and why, from saved logs. */
import {
	array, command, flag, multioption, positional, string,
} from 'cmd-ts';
import {findAccount, parseLogLines, type RequestAccount} from 'heatherpond-observe';
import {CtlError, EXIT} from './ctl-error.js';
import type {CommandResult, CtlIo} from './ctl-io.js';
import {runAnswering, type CtlRun} from './run-command.js';

const EXPLAIN_ARGS = {
	request: positional({type: string, displayName: 'REQUEST-ID', description: 'id of the request, as the caller or a log line has it'}),
	log: multioption({type: array(string), long: 'log', description: 'file of saved log lines; repeated for the logs of several processes'}),
	json: flag({long: 'json', description: 'answers with JSON'}),
};

type ExplainArgs = {readonly request: string; readonly log: readonly string[]; readonly json: boolean};

async function readLogs(io: CtlIo, paths: readonly string[]): Promise<string> {
	if (paths.length === 0) {
		throw new CtlError('no logs are given; allowed: --log FILE, at least once', {props: {exitCode: EXIT.badInput}});
	}

	const texts = await Promise.all(paths.map(async path => io.readFile(path).catch((error: unknown) => {
		throw new CtlError(`${path}: the file cannot be read`, {cause: error, props: {exitCode: EXIT.badInput}});
	})));
	return texts.join('\n');
}

function formatAccount({request, host, cause, steps}: RequestAccount): readonly string[] {
	const rows = steps.map(({relation, line}) => {
		const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(' ');
		return `${new Date(line.atMs).toISOString()}  ${relation.padEnd(8)} ${line.host}  ${line.event}  ${fields}`;
	});
	return [`request ${request} on ${host}`, `cause: ${cause}`, ...rows];
}

async function createAccount(io: CtlIo, {request, log}: ExplainArgs): Promise<CommandResult> {
	const account = findAccount(parseLogLines(await readLogs(io, log)), request);
	if (!account) {
		throw new CtlError(`no line names the request ${request}; it was served, or its lines were dropped (event lines_dropped)`, {props: {exitCode: EXIT.failed}});
	}

	return {lines: formatAccount(account), json: account};
}

/** Creates `explain`. */
export function createExplainCommand(ctl: CtlRun) {
	return command({
		name: 'explain',
		description: 'Tells what became of a request and why, from the saved logs of all processes',
		args: EXPLAIN_ARGS,
		handler: async args => runAnswering(ctl, args, async () => createAccount(ctl.io, args)),
	});
}
