/** `check-settings`: whether a settings file of a program can be used, before it is. */
import {
	command, flag, oneOf, option, positional, string,
} from 'cmd-ts';
import {
	ctlSettingsSchema, groupStandinSettingsSchema, parseSettings, platformStandinSettingsSchema, proxySettingsSchema,
} from 'heatherpond-config';
import {CtlError, EXIT} from './ctl-error.js';
import type {CommandResult, CtlIo} from './ctl-io.js';
import {runAnswering, type CtlRun} from './run-command.js';

/** Programs and what their files may hold. */
const SCHEMAS = {
	proxy: proxySettingsSchema, ctl: ctlSettingsSchema, 'group-standin': groupStandinSettingsSchema, 'platform-standin': platformStandinSettingsSchema,
} as const;

type Program = keyof typeof SCHEMAS;

const PROGRAMS = Object.keys(SCHEMAS) as readonly Program[];

const CHECK_ARGS = {
	file: positional({type: string, displayName: 'FILE', description: 'TOML file'}),
	program: option({
		type: oneOf(PROGRAMS), long: 'program', description: 'program whose file it is', defaultValue: (): Program => 'proxy',
	}),
	json: flag({long: 'json', description: 'answers with JSON'}),
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
export function createCheckSettingsCommand(ctl: CtlRun) {
	return command({
		name: 'check-settings',
		description: 'Checks a settings file and names each fault with its place, value and what is allowed',
		args: CHECK_ARGS,
		handler: async args => runAnswering(ctl, args, async () => checkSettings(ctl.io, args)),
	});
}
