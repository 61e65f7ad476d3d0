/** `explain`: reports the outcome of a request and its cause, from saved logs. */
import {
	array, command, flag, multioption, positional, string,
} from 'cmd-ts';
import {findRequestExplanation, parseLogLines, type RequestExplanation} from 'heatherpond-observe';
import {CtlError, EXIT} from './ctl-error.js';
import type {CommandResult, CtlIo} from './ctl-io.js';
import {runAndWriteResult, type CtlInvocation} from './run-command.js';

const EXPLAIN_ARGS = {
	request: positional({type: string, displayName: 'REQUEST-ID', description: 'id of the request, as reported to the client or in a log line'}),
	log: multioption({type: array(string), long: 'log', description: 'file with saved log lines; repeat for the logs of several processes'}),
	json: flag({long: 'json', description: 'print the result as JSON'}),
};

type ExplainArgs = {readonly request: string; readonly log: readonly string[]; readonly json: boolean};

async function readLogs(io: CtlIo, paths: readonly string[]): Promise<string> {
	if (paths.length === 0) {
		throw new CtlError('no log file is given; use --log FILE at least once', {props: {exitCode: EXIT.badInput}});
	}

	const texts = await Promise.all(paths.map(async path => io.readFile(path).catch((error: unknown) => {
		throw new CtlError(`${path}: the file cannot be read`, {cause: error, props: {exitCode: EXIT.badInput}});
	})));
	return texts.join('\n');
}

function formatExplanation({request, host, cause, steps}: RequestExplanation): readonly string[] {
	const rows = steps.map(({relation, line}) => {
		const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(' ');
		return `${new Date(line.atMs).toISOString()}  ${relation.padEnd(8)} ${line.host}  ${line.event}  ${fields}`;
	});
	return [`request ${request} on ${host}`, `cause: ${cause}`, ...rows];
}

async function createExplanation(io: CtlIo, {request, log}: ExplainArgs): Promise<CommandResult> {
	const explanation = findRequestExplanation(parseLogLines(await readLogs(io, log)), request);
	if (!explanation) {
		throw new CtlError(`no line names the request ${request}; it was served without errors, or its log lines were dropped (see event lines_dropped)`, {props: {exitCode: EXIT.failed}});
	}

	return {lines: formatExplanation(explanation), json: explanation};
}

/** Creates `explain`. */
export function createExplainCommand(invocation: CtlInvocation) {
	return command({
		name: 'explain',
		description: 'Explains the outcome of a request from the saved logs of all processes',
		args: EXPLAIN_ARGS,
		handler: async args => runAndWriteResult(invocation, args, async () => createExplanation(invocation.io, args)),
	});
}
