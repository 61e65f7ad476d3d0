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
	let outcome = 'failed';
	try {
		const result = await runSteps({
			record, isTroubled, defer(teardown) {
				teardowns.push(teardown);
			},
		});
		({outcome} = result);
		record.write(`${outcome}: ${result.text}`);
		console.log(`${outcome}: ${result.text}`);
	} catch (error) {
		record.write(`the case could not run: ${error.stack}`);
		console.log(`the case could not run: ${error.message}`);
	}

	for (const teardown of teardowns.toReversed()) {
		await teardown();
	}

	record.save();
	// Sockets of clients that nobody waits for would keep the process alive.
	process.exit(EXIT_CODES[outcome]); // eslint-disable-line unicorn/no-process-exit
}
