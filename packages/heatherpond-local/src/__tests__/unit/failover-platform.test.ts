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

/** Creates a logger wrapper that calls `callback` once, with the host name, when a promotion first enters a step. */
function createStepListener(step: string, callback: (promoter: string) => void): (host: string, logger: Logger) => Logger {
	let isCalled = false;
	return (host, logger) => ({
		...logger,
		info(event: string, fields: LogFields) {
			logger.info(event, fields);
			if (event === 'promotionStep' && fields.step === step && !isCalled) {
				isCalled = true;
				callback(host);
			}
		},
	});
}

describe('platform outage', () => {
	test('without any other failure: writes continue on replica proofs after the lease has expired', async () => {
		harness = await startFailoverHarness({durability: 'primary'});
		harness.deployment.platform.faults.isDown = true;
		await harness.waitFor('leases to expire on every host', () => harness.deployment.hosts.every(host => performance.now() - host.blackboard.read().stamp.verifiedAt > 1000));
		await harness.waitForWrites(30);
		await expect(harness.check()).resolves.toMatchObject({...CONSISTENT_LEDGER, unknown: 0, refused: 0});
	});

	test('before the primary crashes: the promotion waits for the platform and no acknowledged write is lost', async () => {
		harness = await startFailoverHarness({durability: 'replica'});
		const {term} = harness.findGroup();
		harness.deployment.platform.faults.isDown = true;
		harness.findPrimary().faults.isDown = true;
		const startedAt = performance.now();
		await harness.waitFor('1 s to pass without the platform', () => performance.now() > startedAt + 1000);
		expect(harness.findGroup().term).toBe(term);
		harness.deployment.platform.faults.isDown = false;
		await harness.waitForTermAfter(term);
		await harness.waitForWrites();
		await expect(harness.check()).resolves.toMatchObject(CONSISTENT_LEDGER);
	});

	test.each(['raising', 'outwaiting', 'recording'])('of 800 ms starting at the promotion step %s: the promotion completes and no acknowledged write is lost', async step => {
		let outages = 0;
		harness = await startFailoverHarness({
			durability: 'replica',
			wrapLogger: createStepListener(step, () => {
				outages++;
				harness.deployment.platform.faults.isDown = true;
				setTimeout(() => {
					harness.deployment.platform.faults.isDown = false;
				}, 800);
			}),
		});
		const {term} = harness.findGroup();
		harness.findPrimary().faults.isDown = true;
		await harness.waitForTermAfter(term);
		await harness.waitForWrites();
		await expect(harness.check()).resolves.toMatchObject(CONSISTENT_LEDGER);
		expect(outages).toBe(1);
	});

	test('right after a promotion: writes continue', async () => {
		harness = await startFailoverHarness({durability: 'replica'});
		const {term} = harness.findGroup();
		harness.findPrimary().faults.isDown = true;
		await harness.waitForTermAfter(term);
		harness.deployment.platform.faults.isDown = true;
		await harness.waitFor('every host to reach the same view version', () => harness.deployment.hosts.every(host => host.blackboard.read().view.version === harness.deployment.hosts[0]!.blackboard.read().view.version));
		await harness.waitForWrites(30);
		await expect(harness.check()).resolves.toMatchObject(CONSISTENT_LEDGER);
	});
});

describe('platform responses lost after the call took effect', () => {
	test.each([['commit', 1], ['commit', 3], ['scan', 4]] as const)('call %s, %i in a row: exactly one promotion completes and no acknowledged write is lost', async (call, count) => {
		// Long enough that a brief stall of the machine does not cause a second promotion.
		harness = await startFailoverHarness({durability: 'replica', timings: {suspicionMs: 1000, takeoverMs: 5000}});
		const {term} = harness.findGroup();
		harness.deployment.platform.faults.lostResponses.set(call, count);
		harness.findPrimary().faults.isDown = true;
		await harness.waitForTermAfter(term);
		await harness.waitForWrites();
		await expect(harness.check()).resolves.toMatchObject(CONSISTENT_LEDGER);
		expect(harness.findGroup().term).toBe(term + 1);
	});
});

describe('simultaneous failures', () => {
	test('the primary crashes, then its promoter as the platform fails for 800 ms: the promotion completes and no acknowledged write is lost', async () => {
		let promoterKills = 0;
		harness = await startFailoverHarness({
			durability: 'replica',
			wrapLogger: createStepListener('outwaiting', promoter => {
				promoterKills++;
				harness.deployment.platform.faults.isDown = true;
				setTimeout(() => {
					harness.deployment.platform.faults.isDown = false;
				}, 800);
				harness.kill(promoter);
			}),
		});
		const {term} = harness.findGroup();
		harness.findPrimary().faults.isDown = true;
		await harness.waitForTermAfter(term);
		await harness.waitForWrites();
		await expect(harness.check()).resolves.toMatchObject(CONSISTENT_LEDGER);
		expect(promoterKills).toBe(1);
	});

	test('a primary partitioned from its group, in a domain partitioned from the platform, with durability primary: no more acknowledged writes are lost than its dropped tail contains', async () => {
		harness = await startFailoverHarness({durability: 'primary'});
		const {term} = harness.findGroup();
		const old = harness.findPrimary();
		await harness.waitForWrites(30);
		old.faults.isPartitionedFromGroup = true;
		harness.deployment.platform.faults.partitionedDomains.add(old.member.domain);
		await harness.waitForTermAfter(term);
		const result = await harness.check();
		const start = harness.findGroup().termStarts.at(-1)!;
		const dropped = old.database.readHistory().filter(record => record.point.term === term && record.point.position > start.start).length;
		expect(result).toMatchObject({duplicated: [], executedThoughRefused: []});
		expect(result.lost.length).toBeLessThanOrEqual(dropped);
	});
});
