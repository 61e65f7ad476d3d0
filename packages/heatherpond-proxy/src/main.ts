#!/usr/bin/env node
/** Command-line program of the entry host. */
import {once} from 'node:events';
import process from 'node:process';
import {
	command, flag, option, run, string,
} from 'cmd-ts';
import {
	proxySettingsSchema, readSettingsFile, SettingsError, type ProxySettings,
} from 'heatherpond-config';
import {createSystemClock} from 'heatherpond-core';
import {createLogger} from 'heatherpond-observe';
import {startProxyHost} from './proxy-host.js';

const EXIT_BAD_SETTINGS = 2;

async function runProxy({config, checkConfig}: {readonly config: string; readonly checkConfig: boolean}): Promise<void> {
	const settings = await readSettingsFile(config, proxySettingsSchema);
	if (checkConfig) {
		process.stdout.write(`${config}: the settings are valid\n`);
		return;
	}

	await runUntilStopped(settings);
}

/** Serves until SIGTERM or SIGINT, then drains. A second signal stops the process immediately. */
async function runUntilStopped(settings: ProxySettings): Promise<void> {
	const clock = createSystemClock();
	const stop = new AbortController();
	const drainRequest = new AbortController();
	const drainRequested = once(drainRequest.signal, 'abort');
	['SIGTERM', 'SIGINT'].forEach(name => {
		process.on(name, () => {
			(drainRequest.signal.aborted ? stop : drainRequest).abort();
		});
	});
	const logger = createLogger({host: settings.host, domain: settings.domain, level: settings.logLevel});
	const starting = startProxyHost({
		settings, clock, logger, signal: stop.signal,
	});
	const host = await Promise.race([starting, drainRequested.then(() => undefined)]);
	if (host) {
		await drainRequested;
		await host.drain(clock.readNow() + settings.limits.drainTimeoutMs);
	}

	stop.abort();
	// Explicit, because requests to the platform or to databases may still be pending and keep the process alive.
	process.exit(0);
}

const proxyCommand = command({
	name: 'heatherpond-proxy',
	description: 'Database proxy: serves clients in front of groups of replicated databases',
	args: {
		config: option({type: string, long: 'config', description: 'Path of the TOML settings file'}),
		checkConfig: flag({long: 'check-config', description: 'Check the settings and exit'}),
	},
	async handler(args) {
		try {
			await runProxy(args);
		} catch (error) {
			if (!(error instanceof SettingsError)) {
				throw error;
			}

			process.stderr.write(`${error.message}\n`);
			process.exitCode = EXIT_BAD_SETTINGS;
		}
	},
});

await run(proxyCommand, process.argv.slice(2));
