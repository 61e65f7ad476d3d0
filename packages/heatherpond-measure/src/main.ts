#!/usr/bin/env node
/** Command-line interface for measurements and benchmarks. */
import {mkdir, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {
	command, flag, number, oneOf, option, run, string, subcommands,
} from 'cmd-ts';
import {formatResult} from './format-result.js';
import type {Measurement} from './measurement.js';
import {BENCHMARKS, MEASUREMENTS} from './measurements.js';

const DEFAULT_SEED = 20_261_203;
const EXIT_GUARANTEE_VIOLATED = 1;
const DEFAULT_MEASUREMENT = 'suite';

function createCommand(measurement: Measurement) {
	return command({
		name: measurement.name,
		description: measurement.description,
		args: {
			deployment: option({
				type: oneOf(['kringloop', 'instituto'] as const), long: 'deployment', description: 'Deployment to simulate', defaultValue: () => 'kringloop' as const,
			}),
			isQuick: flag({long: 'quick', description: 'Run a shorter version'}),
			seed: option({
				type: number, long: 'seed', description: 'Seed of the random number generators', defaultValue: () => DEFAULT_SEED,
			}),
			output: option({
				type: string, long: 'output', description: 'Directory for the JSON result', defaultValue: () => 'reports',
			}),
		},
		async handler({output, ...options}) {
			const stop = new AbortController();
			process.once('SIGINT', () => {
				stop.abort();
			});
			const result = await measurement.run({
				...options,
				signal: stop.signal,
				writeLine(line) {
					process.stderr.write(`${line}\n`);
				},
			});
			await mkdir(output, {recursive: true});
			await writeFile(`${output}/${measurement.name}.json`, `${JSON.stringify(result, undefined, '\t')}\n`);
			process.stdout.write(`${formatResult(result)}\n`);
			process.exitCode = result.brokenPromises.length > 0 ? EXIT_GUARANTEE_VIOLATED : 0;
			stop.abort();
		},
	});
}

function createCommands(measurements: readonly Measurement[]) {
	return Object.fromEntries(measurements.map(measurement => [measurement.name, createCommand(measurement)]));
}

const measureCommand = subcommands({
	name: 'heatherpond-measure',
	description: 'Measures heatherpond over loopback connections, with stand-ins for databases and platform',
	cmds: {
		...createCommands(MEASUREMENTS),
		bench: subcommands({name: 'bench', description: 'Benchmarks of individual components', cmds: createCommands(BENCHMARKS)}),
	},
});

const args = process.argv.slice(2);
const isNameOmitted = args[0] === undefined || (args[0].startsWith('--') && args[0] !== '--help');
await run(measureCommand, isNameOmitted ? [DEFAULT_MEASUREMENT, ...args] : args);
