#!/usr/bin/env node
/** The operators' command line as a process. */
import {randomBytes, randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {createSystemClock} from 'heatherpond-core';
import {executeCtl} from './ctl.js';

const KEY_BYTES = 24;

// A reader such as head may have seen enough; that is no fault of the command.
process.stdout.on('error', (error: Error & {readonly code?: string}) => {
	if (error.code !== 'EPIPE') {
		throw error;
	}
});

const stop = new AbortController();
['SIGTERM', 'SIGINT'].forEach(name => {
	process.once(name, () => {
		stop.abort();
	});
});

process.exitCode = await executeCtl(process.argv.slice(2), {
	env: process.env,
	readFile: async path => readFile(path, 'utf8'),
	writeOutput(line) {
		process.stdout.write(`${line}\n`);
	},
	writeError(line) {
		process.stderr.write(`${line}\n`);
	},
	clock: createSystemClock(),
	createId: randomUUID,
	createKey: () => randomBytes(KEY_BYTES).toString('base64url'),
	signal: stop.signal,
});
