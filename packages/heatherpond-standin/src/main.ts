#!/usr/bin/env node
/** Command line program that runs a stand-in for the platform or for one database group. */
import {once} from 'node:events';
import process from 'node:process';
import {
	command, flag, option, run, string, subcommands,
} from 'cmd-ts';
import {
	groupStandinSettingsSchema, platformStandinSettingsSchema, readSettingsFile, SettingsError, type GroupStandinSettings, type PlatformStandinSettings,
} from 'heatherpond-config';
import {createSystemClock} from 'heatherpond-core';
import {createLogger} from 'heatherpond-observe';
import type {z} from 'zod';
import {startGroupProcess, startPlatformProcess} from './standin-process.js';

/** Exit code for invalid settings. */
const EXIT_INVALID_SETTINGS = 2;

/** Command line options of all subcommands. */
const COMMAND_OPTIONS = {
	config: option({type: string, long: 'config', description: 'Path of the TOML settings file'}),
	checkConfig: flag({long: 'check-config', description: 'Validate the settings and exit'}),
};

/** Parsed command line options. */
type Args = {readonly config: string; readonly checkConfig: boolean};

/** Starts a stand-in from validated settings. */
type StartStandin<Settings> = (settings: Settings, context: Parameters<typeof startPlatformProcess>[1]) => Promise<void>;

/** Reads the settings and runs the stand-in until SIGTERM or SIGINT; with `--check-config` only validates them. */
async function runStandin<Schema extends z.ZodType<PlatformStandinSettings | GroupStandinSettings>>(args: Args, schema: Schema, start: StartStandin<z.output<Schema>>): Promise<void> {
	const settings = await readSettingsFile(args.config, schema);
	if (args.checkConfig) {
		process.stdout.write(`${args.config}: the settings are valid\n`);
		return;
	}

	const stop = new AbortController();
	const stopped = once(stop.signal, 'abort');
	['SIGTERM', 'SIGINT'].forEach(name => {
		process.once(name, () => {
			stop.abort();
		});
	});
	const logger = createLogger({host: 'standin', domain: 'name' in settings ? settings.name : 'platform', level: settings.logLevel});
	await start(settings, {clock: createSystemClock(), logger, signal: stop.signal});
	await stopped;
	logger.info('stopped', {});
}

/** Reports invalid settings on stderr with their own exit code; other errors are rethrown. */
async function runWithSettingsCheck(action: () => Promise<void>): Promise<void> {
	try {
		await action();
	} catch (error) {
		if (!(error instanceof SettingsError)) {
			throw error;
		}

		process.stderr.write(`${error.message}\n`);
		process.exitCode = EXIT_INVALID_SETTINGS;
	}
}

const standinCommand = subcommands({
	name: 'heatherpond-standin',
	description: 'Development stand-ins for the platform and for database groups; not for production use',
	cmds: {
		platform: command({
			name: 'platform',
			description: 'Run the platform: table service, object store and host list',
			args: COMMAND_OPTIONS,
			handler: async args => runWithSettingsCheck(async () => runStandin(args, platformStandinSettingsSchema, startPlatformProcess)),
		}),
		group: command({
			name: 'group',
			description: 'Run all databases of one database group',
			args: COMMAND_OPTIONS,
			handler: async args => runWithSettingsCheck(async () => runStandin(args, groupStandinSettingsSchema, startGroupProcess)),
		}),
	},
});

await run(standinCommand, process.argv.slice(2));
