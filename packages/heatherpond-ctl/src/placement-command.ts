/** `placement`: explains where a statement would go now on a host, and why, without sending it. */
import {
	command, flag, oneOf, option, positional, string,
} from 'cmd-ts';
import * as z from 'zod';
import {CtlError, EXIT} from './ctl-error.js';
import type {CommandResult, CtlIo} from './ctl-io.js';
import {runAndWriteResult, type CtlInvocation} from './run-command.js';

const explanationSchema = z.object({
	outcome: z.enum(['placed', 'waits', 'refused']),
	reason: z.string(),
	database: z.string().optional(),
	team: z.string().optional(),
	group: z.string().optional(),
	after: z.string().optional(),
	candidates: z.array(z.object({
		database: z.string(), isPrimary: z.boolean(), totalMs: z.number().nullable(), terms: z.record(z.string(), z.number().nullable()),
	})),
});

type Explanation = z.infer<typeof explanationSchema>;

const PLACEMENT_ARGS = {
	address: positional({type: string, displayName: 'HOST:PORT', description: 'metrics address of the host'}),
	database: option({type: string, long: 'database', description: 'logical database that the client connects to'}),
	keyVariable: option({
		type: string, long: 'key-from', description: 'environment variable that holds the API key', defaultValue: () => 'HEATHERPOND_KEY',
	}),
	access: option({
		type: oneOf(['read', 'write']), long: 'access', description: 'read or write', defaultValue: () => 'read',
	}),
	json: flag({long: 'json', description: 'print the result as JSON'}),
};

type PlacementArgs = {readonly address: string; readonly database: string; readonly keyVariable: string; readonly access: string; readonly json: boolean};

async function readExplanation(io: CtlIo, {address, database, keyVariable, access}: PlacementArgs): Promise<Explanation> {
	const query = new URLSearchParams({database, key: io.env[keyVariable] ?? '', access});
	const text = await io.readUrl(`http://${address}/placement?${query.toString()}`).catch((error: unknown) => {
		throw new CtlError(`${address}: no answer from the host`, {cause: error, props: {exitCode: EXIT.failed}});
	});
	const parsed = explanationSchema.safeParse(readJson(text));
	if (!parsed.success) {
		throw new CtlError(`${address}: the answer is not an explanation; is this the metrics address of a host?`, {props: {exitCode: EXIT.failed}});
	}

	return parsed.data;
}

function readJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		// The schema rejects undefined, which the caller reports.
		return undefined;
	}
}

/** Formats milliseconds; JSON has no infinity, so what excludes a database arrives as null. */
function formatMs(value: number | null): string {
	return value === null ? 'excluded' : `${Math.round(value * 10) / 10}`;
}

function formatExplanation({outcome, reason, database, team, group, after, candidates}: Explanation): readonly string[] {
	const head = `${outcome}${database === undefined ? '' : ` on ${database}`}: ${reason}`;
	const facts = Object.entries({group, team, after}).filter(([, value]) => value !== undefined).map(([name, value]) => `${name} ${value}`).join(', ');
	const rows = candidates.map(candidate => {
		const terms = Object.entries(candidate.terms).filter(([, value]) => value !== 0).map(([name, value]) => `${name.replace(/Ms$/v, '')} ${formatMs(value)}`).join(' + ');
		return `  ${candidate.database}${candidate.isPrimary ? ' (primary)' : ''}: ${formatMs(candidate.totalMs)} ms = ${terms}`;
	});
	return [head, ...(facts === '' ? [] : [facts]), ...rows];
}

async function createExplanation(io: CtlIo, args: PlacementArgs): Promise<CommandResult> {
	const explanation = await readExplanation(io, args);
	return {lines: formatExplanation(explanation), json: explanation};
}

/** Creates `placement`. */
export function createPlacementCommand(invocation: CtlInvocation) {
	return command({
		name: 'placement',
		description: 'Explains where a statement would go now on a host, and why, without sending it',
		args: PLACEMENT_ARGS,
		handler: async args => runAndWriteResult(invocation, args, async () => createExplanation(invocation.io, args)),
	});
}
