/** Runs a case: its record, its exit code, and the end of all that it started. */
import path from 'node:path';
import process from 'node:process';
import {createRecord} from './record.js';

/** Exit codes of a case: the rule held, it was broken, or the case could not run. */
const EXIT_CODES = {held: 0, broken: 1, failed: 2};

/**
 * Runs a case and ends the process.
 *
 * @param folder - where `record.txt` is written
 * @param runSteps - runs the case; resolves to the outcome and a line about it. `defer` registers what has to be stopped
 */
export async function runCase(folder, runSteps) {
	const record = createRecord(path.join(folder, 'record.txt'));
	const isTroubled = process.env.TROUBLE !== '0';
	const teardowns = [];

	async function endCase({outcome, text}) {
		record.write(`${outcome}: ${text}`);
		console.log(`${outcome}: ${text}`);
		for (const teardown of teardowns.toReversed()) {
			await teardown();
		}

		record.save();
		// Sockets of clients that nobody waits for would keep the process alive.
		process.exit(EXIT_CODES[outcome]); // eslint-disable-line unicorn/no-process-exit
	}

	['SIGTERM', 'SIGINT'].forEach(signal => {
		process.once(signal, async () => {
			await endCase({outcome: 'failed', text: `ended by ${signal}`});
		});
	});
	try {
		await endCase(await runSteps({
			record, isTroubled, defer(teardown) {
				teardowns.push(teardown);
			},
		}));
	} catch (error) {
		await endCase({outcome: 'failed', text: `the case could not run: ${error.stack}`});
	}
}
