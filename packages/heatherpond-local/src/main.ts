#!/usr/bin/env node
/** Command-line program that starts a local deployment, runs a demo workload and serves clients until it is stopped. */
import {once} from 'node:events';
import process from 'node:process';
import {
	command, flag, oneOf, option, run,
} from 'cmd-ts';
import {createSystemClock} from 'heatherpond-core';
import {startDemo} from './demo.js';
import {PLANS} from './deployment-plan.js';

/** Runs the demo until SIGTERM or SIGINT, even if the signal arrives during startup. */
async function runDemo(name: keyof typeof PLANS, isPrimaryStopped: boolean): Promise<void> {
	const stop = new AbortController();
	const stopped = once(stop.signal, 'abort');
	['SIGTERM', 'SIGINT'].forEach(signalName => {
		process.on(signalName, () => {
			stop.abort();
		});
	});
	const starting = startDemo({
		plan: PLANS[name],
		isPrimaryStopped,
		clock: createSystemClock(),
		writeLine(line) {
			process.stdout.write(`${line}\n`);
		},
		signal: stop.signal,
	});
	await Promise.race([starting, stopped]);
	await stopped;
}

const demoCommand = command({
	name: 'heatherpond-demo',
	description: 'Starts a complete deployment in one process, runs a short workload and serves clients until stopped',
	args: {
		deployment: option({
			type: oneOf(['kringloop', 'instituto'] as const), long: 'deployment', description: 'Deployment plan to start: kringloop or instituto', defaultValue: () => 'kringloop' as const,
		}),
		isPrimaryStopped: flag({long: 'fail-primary', description: 'Stop the primary of the first group after the workload, to demonstrate a failover'}),
	},
	async handler({deployment, isPrimaryStopped}) {
		await runDemo(deployment, isPrimaryStopped);
		// Exit without waiting for connections that are still closing.
		process.exit(0);
	},
});

await run(demoCommand, process.argv.slice(2));
