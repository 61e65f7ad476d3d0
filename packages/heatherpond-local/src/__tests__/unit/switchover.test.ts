import {
	afterEach, describe, expect, jest, test,
} from '@jest/globals';
import {openAdminConnection, type AdminConnection} from 'heatherpond-admin';
import {createSystemClock} from 'heatherpond-core';
import {CONSISTENT_LEDGER, startFailoverHarness, type FailoverHarness} from '../support/failover-harness.js';

/** Jest timeout in milliseconds; the waits inside the tests have shorter deadlines of their own. */
jest.setTimeout(30_000);

const CALL_TIMEOUT_MS = 8000;

let harness: FailoverHarness;
let admin: AdminConnection;

afterEach(() => {
	admin.close();
	harness.stop();
});

/** Requests a switchover through the first host. */
async function submitSwitchover(candidate: string) {
	const clock = createSystemClock();
	admin = openAdminConnection({address: harness.deployment.hosts[0]!.identity.peerAddress, clock});
	return admin.requestSwitchover({group: harness.findGroup().settings.name, candidate}, {deadline: clock.readNow() + CALL_TIMEOUT_MS, signal: new AbortController().signal});
}

/** Counts the consecutive failed probes of a database by the first host. */
function countFailures(database: string): number {
	return Object.values(harness.deployment.hosts[0]!.blackboard.read().databases).find(state => state.name === database)?.failures ?? 0;
}

describe('a planned switchover', () => {
	test.each(['replica', 'primary'] as const)('with durability %s loses and refuses no write, and leaves no write with an unknown outcome', async durability => {
		harness = await startFailoverHarness({durability});
		const {term, primary, settings} = harness.findGroup();
		const candidate = settings.members.find(member => member.name !== primary)!.name;
		await expect(submitSwitchover(candidate)).resolves.toMatchObject({primary: candidate});
		expect(harness.findGroup().term).toBeGreaterThan(term);
		await harness.waitForWrites();
		await expect(harness.check()).resolves.toMatchObject({...CONSISTENT_LEDGER, unknown: 0, refused: 0});
	});

	test.each([
		['the primary itself', (): string => harness.findGroup().primary!],
		['an unknown database', (): string => 'nowhere'],
		['an unreachable replica', (): string => {
			const replica = harness.deployment.databases.find(database => database.member.name !== harness.findGroup().primary)!;
			replica.faults.isDown = true;
			return replica.member.name;
		}],
	])('to %s is refused and leaves the group unchanged', async (_name, findCandidate) => {
		harness = await startFailoverHarness({durability: 'replica'});
		const {term} = harness.findGroup();
		const candidate = findCandidate();
		const down = harness.deployment.databases.filter(({faults}) => faults.isDown);
		await harness.waitFor('failed probes of the stopped databases', () => down.every(({member}) => countFailures(member.name) > 2));
		await expect(submitSwitchover(candidate)).rejects.toThrow('was not changed');
		expect(harness.findGroup()).toMatchObject({term, promotion: undefined});
		await harness.waitForWrites();
		await expect(harness.check()).resolves.toMatchObject(CONSISTENT_LEDGER);
	});
});
