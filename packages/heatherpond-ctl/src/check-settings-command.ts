/** `check-settings`: validates a settings file without starting the program. */
import {
	command, flag, oneOf, option, positional, string,
} from 'cmd-ts';
import {
	ctlSettingsSchema, groupStandinSettingsSchema, parseSettings, platformStandinSettingsSchema, proxySettingsSchema,
} from 'heatherpond-config';
import {CtlError, EXIT} from './ctl-error.js';
import type {CommandResult, CtlIo} from './ctl-io.js';
import {runAndWriteResult, type CtlInvocation} from './run-command.js';

/** Schemas of the settings files, by program. */
const SCHEMAS = {
	proxy: proxySettingsSchema, ctl: ctlSettingsSchema, 'group-standin': groupStandinSettingsSchema, 'platform-standin': platformStandinSettingsSchema,
} as const;

type Program = keyof typeof SCHEMAS;

const PROGRAMS = Object.keys(SCHEMAS) as readonly Program[];

const CHECK_ARGS = {
	file: positional({type: string, displayName: 'FILE', description: 'TOML settings file'}),
	program: option({
		type: oneOf(PROGRAMS), long: 'program', description: 'program that the file is for', defaultValue: (): Program => 'proxy',
	}),
	json: flag({long: 'json', description: 'print the result as JSON'}),
};

type CheckArgs = {readonly file: string; readonly program: Program; readonly json: boolean};

async function checkSettings(io: CtlIo, {file, program}: CheckArgs): Promise<CommandResult> {
	const text = await io.readFile(file).catch((error: unknown) => {
		throw new CtlError(`${file}: the file cannot be read`, {cause: error, props: {exitCode: EXIT.badInput}});
	});
	parseSettings(file, text, SCHEMAS[program]);
	return {lines: [`${file}: can be used by ${program}`], json: {file, program, isUsable: true}};
}

/** Creates `check-settings`. */
export function createCheckSettingsCommand(invocation: CtlInvocation) {
	return command({
		name: 'check-settings',
		description: 'Validates a settings file and reports each error with key path, value and allowed values',
		args: CHECK_ARGS,
		handler: async args => runAndWriteResult(invocation, args, async () => checkSettings(invocation.io, args)),
	});
}
