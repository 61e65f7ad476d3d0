#!/usr/bin/env node
/** Entry point of the process `heatherpondctl`. */
import {randomBytes, randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {createSystemClock} from 'heatherpond-core';
import {executeCtl} from './ctl.js';

/** Random bytes of a new key. */
const KEY_BYTES = 24;

// A reader of the pipe, such as head, may close it early, which is not an error.
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
