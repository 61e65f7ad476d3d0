import {
	afterEach, describe, expect, jest, test,
} from '@jest/globals';
import type {HostBlackboard} from 'heatherpond-core';
import {CONSISTENT_LEDGER, startFailoverHarness, type FailoverHarness} from '../support/failover-harness.js';

/** Jest timeout in milliseconds; the waits inside the tests have shorter deadlines of their own. */
jest.setTimeout(30_000);

let harness: FailoverHarness;

afterEach(() => {
	harness.stop();
});

/** Whether the host has probed the primary successfully since its old connections became unresponsive. */
function hasProbeOnNewConnection({blackboard}: {readonly blackboard: HostBlackboard}): boolean {
	const {faults, member} = harness.findPrimary();
	const state = Object.values(blackboard.read().databases).find(database => database.name === member.name);
	return state?.failures === 0 && state.readAt > faults.unresponsiveBefore;
}

describe('primary failure', () => {
	test('crash while only some hosts monitor the group: writes resume through all hosts', async () => {
		harness = await startFailoverHarness({durability: 'replica', hostsPerDomain: 4});
		const {term} = harness.findGroup();
		harness.findPrimary().faults.isDown = true;
		await harness.waitForTermAfter(term);
		await harness.waitForWrites();
		await expect(harness.check()).resolves.toMatchObject(CONSISTENT_LEDGER);
	});

	test('crash: another member is promoted and no acknowledged write is lost', async () => {
		harness = await startFailoverHarness({durability: 'replica'});
		const {term} = harness.findGroup();
		harness.findPrimary().faults.isDown = true;
		await harness.waitForTermAfter(term);
		await harness.waitForWrites();
		await expect(harness.check()).resolves.toMatchObject({...CONSISTENT_LEDGER, refused: 0});
	});

	test('partition from its group while hosts reach it: no acknowledged write is lost, and it rejoins as a replica that drops its unreplicated tail', async () => {
		harness = await startFailoverHarness({durability: 'replica'});
		const {term} = harness.findGroup();
		const old = harness.findPrimary();
		old.faults.isPartitionedFromGroup = true;
		await harness.waitForTermAfter(term);
		await harness.waitForWrites();
		old.faults.isPartitionedFromGroup = false;
		await harness.waitFor('the old primary to follow the new one', () => {
			const {role, follows, last} = old.database.readStatus();
			return role === 'replica' && follows === harness.findGroup().primary && last.term === harness.findGroup().term;
		});
		await expect(harness.check()).resolves.toMatchObject({...CONSISTENT_LEDGER, refused: 0});
		expect(harness.findPrimary().member.name).not.toBe(old.member.name);
	});

	test('partition from its group and from the hosts of one failure domain: another member is promoted and no acknowledged write is lost', async () => {
		harness = await startFailoverHarness({durability: 'replica'});
		const {term} = harness.findGroup();
		const {faults} = harness.findPrimary();
		faults.isPartitionedFromGroup = true;
		faults.partitionedDomains.add('cpt-a');
		await harness.waitForTermAfter(term);
		await harness.waitForWrites();
		await expect(harness.check()).resolves.toMatchObject(CONSISTENT_LEDGER);
	});

	test('crash of the new primary right after the old one rejoined: a member is promoted again and no acknowledged write is lost', async () => {
		harness = await startFailoverHarness({durability: 'replica'});
		const {term} = harness.findGroup();
		const first = harness.findPrimary();
		first.faults.isDown = true;
		await harness.waitForTermAfter(term);
		await harness.waitForWrites();
		first.faults.isDown = false;
		await harness.waitFor('the first primary to rejoin as a replica', () => first.database.readStatus().last.term > term);
		harness.findPrimary().faults.isDown = true;
		await harness.waitForTermAfter(harness.findGroup().term);
		await harness.waitForWrites();
		await expect(harness.check()).resolves.toMatchObject(CONSISTENT_LEDGER);
	});
});

describe('conditions that must not cause a failover', () => {
	test('unresponsive connections to a primary that accepts new ones: no promotion starts', async () => {
		harness = await startFailoverHarness({durability: 'replica'});
		const {term} = harness.findGroup();
		harness.findPrimary().faults.unresponsiveBefore = performance.now();
		await harness.waitFor('a probe on a new connection', () => harness.deployment.hosts.every(hasProbeOnNewConnection));
		expect(harness.findGroup()).toMatchObject({term, promotion: undefined});
	});

	test('a primary unreachable from the hosts of one failure domain: no promotion starts', async () => {
		harness = await startFailoverHarness({durability: 'replica'});
		const {term} = harness.findGroup();
		const primary = harness.findPrimary();
		primary.faults.partitionedDomains.add('cpt-a');
		const host = harness.deployment.hosts.find(candidate => candidate.identity.domain === 'cpt-a')!;
		await harness.waitFor('several failed probes', () => Object.values(host.blackboard.read().databases).some(state => state.name === primary.member.name && state.failures >= 3));
		await harness.waitForWrites();
		expect(harness.findGroup()).toMatchObject({term, promotion: undefined});
		await expect(harness.check()).resolves.toMatchObject(CONSISTENT_LEDGER);
	});

	test('replicas that lag far behind during writes: no promotion starts', async () => {
		harness = await startFailoverHarness({durability: 'primary'});
		const {term} = harness.findGroup();
		harness.deployment.databases.forEach(database => {
			database.faults.replicationLagMs = 1500;
		});
		const startedAt = performance.now();
		await harness.waitFor('twice the replication lag to pass', () => performance.now() > startedAt + 3000);
		await harness.waitForWrites();
		expect(harness.findGroup()).toMatchObject({term, promotion: undefined});
		await expect(harness.check()).resolves.toMatchObject({...CONSISTENT_LEDGER, unknown: 0, refused: 0});
	});
});
