#!/usr/bin/env node
/** Entry point of the process `heatherpondctl`. */
import {randomBytes, randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {createSystemClock} from 'heatherpond-core';
import {executeCtl} from './ctl.js';

/** Time within which a host must answer, in milliseconds. */
const HTTP_TIMEOUT_MS = 5000;

async function readUrl(url: string, signal: AbortSignal): Promise<string> {
	const response = await fetch(url, {signal: AbortSignal.any([signal, AbortSignal.timeout(HTTP_TIMEOUT_MS)])});
	if (!response.ok) {
		throw new Error(`HTTP status ${response.status}`);
	}

	return response.text();
}

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
	readUrl: async url => readUrl(url, stop.signal),
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
