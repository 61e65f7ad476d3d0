import {
	afterEach, describe, expect, jest, test,
} from '@jest/globals';
import type {LogFields, Logger} from 'heatherpond-observe';
import {CONSISTENT_LEDGER, startFailoverHarness, type FailoverHarness} from '../support/failover-harness.js';

/** Jest timeout in milliseconds; the waits inside the tests have shorter deadlines of their own. */
jest.setTimeout(30_000);

let harness: FailoverHarness;

afterEach(() => {
	harness.stop();
});

/** Creates a logger wrapper that kills the first host whose promotion enters a step. */
function createCrashAtStep(step: string): {readonly wrap: (host: string, logger: Logger) => Logger; readonly readCrashed: () => string | undefined} {
	let crashed: string | undefined;
	return {
		readCrashed: () => crashed,
		wrap: (host, logger) => ({
			...logger,
			info(event: string, fields: LogFields) {
				logger.info(event, fields);
				if (event === 'promotionStep' && fields.step === step && crashed === undefined) {
					crashed = host;
					harness.kill(host);
				}
			},
		}),
	};
}

describe('promoter crash', () => {
	test.each(['announcing', 'raising', 'catchingUp', 'outwaiting', 'promoting', 'recording', 'redirecting'])('at step %s: another host takes over without losing acknowledged writes', async step => {
		const crash = createCrashAtStep(step);
		harness = await startFailoverHarness({durability: 'replica', wrapLogger: crash.wrap});
		const {term} = harness.findGroup();
		harness.findPrimary().faults.isDown = true;
		await harness.waitFor('the crash of the promoter', () => crash.readCrashed() !== undefined);
		await harness.waitForTermAfter(term);
		await harness.waitForWrites();
		await expect(harness.check()).resolves.toMatchObject(CONSISTENT_LEDGER);
	});
});

describe('a promotion started in error by a host that no longer exists', () => {
	test('is completed by another host with the old primary and the only remaining replica', async () => {
		harness = await startFailoverHarness({durability: 'replica'});
		const {term, primary, settings} = harness.findGroup();
		const replica = harness.deployment.databases.find(database => database.member.name !== primary)!;
		replica.faults.isDown = true;
		await harness.deployment.appendChange({
			kind: 'promotionStarted', group: settings.name, term: term + 1, promoter: 'gone.12345678',
		});
		await harness.waitForTermAfter(term);
		await harness.waitForWrites();
		await expect(harness.check()).resolves.toMatchObject(CONSISTENT_LEDGER);
	});
});
