import {describe, expect, test} from '@jest/globals';
import {createFakeClock} from 'heatherpond-core';
import {
	applyStoreEra, createMemoryStore, createStoreVersion, HOSTS_TABLE, LEASE_MS, readEra, readRowVersion, type StoreCopy,
} from '../../index.js';
import {advance} from '../support/steps.js';
import {
	createTestFleet, CONTRACTS_TABLE, GROUP, STORE_LATENCY_MS, type TestFleet,
} from '../support/test-fleet.js';

const HOSTS = ['host-1', 'host-2', 'host-3'];
/** Time for which the store is away when it comes back from a copy, in milliseconds. */
const OUTAGE_MS = 300;

/** Takes the store away and brings it back from a copy. */
async function runRestore(fleet: TestFleet, copy: StoreCopy, afterStep?: () => void): Promise<void> {
	fleet.store.setFaults(() => 'silent');
	await advance(fleet.clock, OUTAGE_MS, afterStep);
	fleet.store.restoreCopy(copy);
	fleet.store.setFaults(() => undefined);
}

/** Checks that no host relies on a primary of an earlier term than that of a database which has been promoted. */
function checkPrimaries({hosts, databases}: TestFleet): void {
	const newestTerm = Math.max(...[...databases.values()].filter(({isPrimary}) => isPrimary).map(({term}) => term));
	hosts.filter(({isKilled}) => !isKilled).forEach(({host}) => {
		const primary = host.sessions.primacy.findPrimary(GROUP);
		expect(primary === undefined || primary.term >= newestTerm).toBe(true);
	});
}

/** Checks that fencing tokens never go back, and that each one is used by one host. */
function checkTokens({promotionRequests}: TestFleet): void {
	const fences = promotionRequests.map(({fence}) => fence);
	expect(fences).toEqual(fences.toSorted((left, right) => left - right));
	const holders = new Map<number, Set<string>>();
	promotionRequests.forEach(({fence, holder}) => {
		holders.set(fence, (holders.get(fence) ?? new Set()).add(holder));
	});
	expect([...holders.values()].every(({size}) => size === 1)).toBe(true);
}

function countServing({hosts}: TestFleet): number {
	return hosts.filter(({isKilled, host}) => !isKilled && host.sessions.primacy.findPrimary(GROUP) !== undefined).length;
}

/** Waits until all running hosts rely on a primary; returns the milliseconds that it took. */
async function waitUntilServing(fleet: TestFleet, limitMs: number, afterStep?: () => void): Promise<number> {
	const startedAt = fleet.clock.readNow();
	while (countServing(fleet) < fleet.hosts.filter(({isKilled}) => !isKilled).length) {
		await advance(fleet.clock, 20, afterStep);
		expect(fleet.clock.readNow() - startedAt).toBeLessThan(limitMs);
	}

	return fleet.clock.readNow() - startedAt;
}

function stopDatabase(fleet: TestFleet, id: string): void {
	const database = fleet.databases.get(id)!;
	database.isUnresponsive = true;
	fleet.store.writeRow('registrations', id, undefined);
}

describe('a store version', () => {
	test('orders eras before row versions and gives both back', () => {
		expect(createStoreVersion(1, 5)).toBeGreaterThan(createStoreVersion(0, 9_000_000));
		expect(readEra(createStoreVersion(3, 77))).toBe(3);
		expect(readRowVersion(createStoreVersion(3, 77))).toBe(77);
		expect(() => createStoreVersion(1e6, 1)).toThrow('out of range');
		expect(() => createStoreVersion(0, -1)).toThrow('out of range');
	});
});

describe('the versioned store', () => {
	async function waitUntilSettled<Value>(clock: ReturnType<typeof createFakeClock>, promise: Promise<Value>): Promise<Value | Error> {
		const settled = promise.catch((error: unknown) => error as Error);
		await advance(clock, 40);
		return settled;
	}

	test('does not read changes across a restore, also when the version exists again', async () => {
		const clock = createFakeClock(0);
		const store = createMemoryStore({clock, latencyMs: 10});
		const port = store.createPort('host');
		store.writeRow('t', 'a', '1');
		const copy = store.createCopy();
		store.writeRow('t', 'a', '2');
		const page = await waitUntilSettled(clock, port.readTable('t', 1000));
		store.restoreCopy(copy);
		store.writeRow('t', 'b', '1');
		store.writeRow('t', 'b', '2');
		const {version} = page as {version: number};
		expect(await waitUntilSettled(clock, port.readChanges('t', version, 1000))).toMatchObject({failure: 'history_lost'});
	});

	test('neither sends a condition of an earlier era nor takes it for met', async () => {
		const clock = createFakeClock(0);
		const store = createMemoryStore({clock, latencyMs: 10});
		const port = store.createPort('host');
		const other = store.createPort('other');
		const copy = store.createCopy();
		store.writeRow('t', 'a', 'mine');
		const page = await waitUntilSettled(clock, port.readTable('t', 1000)) as {version: number};
		store.restoreCopy(copy);
		// The row of another host gets the version that was read before.
		store.writeRow('t', 'a', 'other');
		const transaction = {expected: [{table: 't', key: 'a', version: page.version}], puts: [{table: 't', key: 'a', value: 'late'}], removed: []};
		expect(await waitUntilSettled(clock, port.writeRows(transaction, 1000))).toMatchObject({failure: 'silent'});
		expect(await waitUntilSettled(clock, port.writeRows(transaction, 1000))).toEqual({kind: 'conflict'});
		const current = await waitUntilSettled(clock, other.readTable('t', 1000)) as {rows: ReadonlyArray<{version: number}>};
		expect(readEra(current.rows[0]!.version)).toBe(1);
	});
});

describe('after a restore of the store, a fleet', () => {
	test('relies on its primary again within a second and registers with few calls', async () => {
		const fleet = createTestFleet(HOSTS);
		await advance(fleet.clock, 4000);
		const copy = fleet.store.createCopy();
		await advance(fleet.clock, 3000);
		await runRestore(fleet, copy, () => {
			checkPrimaries(fleet);
		});
		let calls = 0;
		fleet.store.setFaults(() => {
			calls++;
			return undefined;
		});
		await advance(fleet.clock, 900);
		expect(await waitUntilServing(fleet, 100)).toBeLessThan(100);
		await advance(fleet.clock, 9000, () => {
			checkPrimaries(fleet);
		});
		expect(countServing(fleet)).toBe(3);
		expect(fleet.promotionRequests).toHaveLength(0);
		expect(calls).toBeLessThan(80);
		expect(fleet.events.filter(event => event.includes('store_restored'))).toHaveLength(3);
		fleet.stop();
	});

	test('does not go back to a primary that was replaced in the lost time', async () => {
		const fleet = createTestFleet(HOSTS);
		await advance(fleet.clock, 4000);
		const copy = fleet.store.createCopy();
		stopDatabase(fleet, 'db-1');
		await advance(fleet.clock, 8000);
		expect(fleet.databases.get('db-2')!.isPrimary || fleet.databases.get('db-3')!.isPrimary).toBe(true);
		await waitUntilServing(fleet, 3000);
		await runRestore(fleet, copy);
		await advance(fleet.clock, 1500, () => {
			checkPrimaries(fleet);
		});
		expect(countServing(fleet)).toBe(3);
		expect(fleet.hosts[0]!.host.sessions.primacy.findPrimary(GROUP)).toMatchObject({term: 2});
		checkTokens(fleet);
		fleet.stop();
	});

	test.each(Array.from({length: 12}, (_, index) => index * 400))('has one primary and rising tokens when the store came back %i ms into a promotion', async delayMs => {
		const fleet = createTestFleet(HOSTS);
		await advance(fleet.clock, 4000);
		const copy = fleet.store.createCopy();
		stopDatabase(fleet, 'db-1');
		await advance(fleet.clock, 2500 + delayMs);
		await runRestore(fleet, copy, () => {
			checkPrimaries(fleet);
		});
		fleet.store.writeRow('registrations', 'db-1', undefined);
		await advance(fleet.clock, 20_000, () => {
			checkPrimaries(fleet);
		});
		checkTokens(fleet);
		expect(countServing(fleet)).toBe(3);
		expect(fleet.hosts[0]!.host.sessions.primacy.findPrimary(GROUP)?.term).toBeGreaterThan(1);
		fleet.stop();
	});

	test('does not request a promotion whose rows were lost right before the request', async () => {
		const fleet = createTestFleet(HOSTS);
		await advance(fleet.clock, 4000);
		const copy = fleet.store.createCopy();
		stopDatabase(fleet, 'db-1');
		const restored = {at: Number.POSITIVE_INFINITY};
		fleet.store.setFaults(({transaction}) => {
			if (transaction?.puts.some(({value}) => value.includes('candidate')) && !Number.isFinite(restored.at)) {
				restored.at = fleet.clock.readNow() + STORE_LATENCY_MS - 2;
				fleet.clock.registerTimer(restored.at, () => {
					fleet.store.restoreCopy(copy);
					fleet.store.writeRow('registrations', 'db-1', undefined);
				});
			}

			return undefined;
		});
		await advance(fleet.clock, 20_000, () => {
			checkPrimaries(fleet);
		});
		expect(fleet.promotionRequests.length).toBeGreaterThan(0);
		expect(fleet.promotionRequests.every(({at}) => at > restored.at + LEASE_MS)).toBe(true);
		checkTokens(fleet);
		expect(countServing(fleet)).toBe(3);
		fleet.stop();
	});

	test('does not take the word of a host that missed the promotion', async () => {
		const fleet = createTestFleet(HOSTS);
		await advance(fleet.clock, 4000);
		const copy = fleet.store.createCopy();
		const cut = fleet.hosts[2]!;
		cut.isIsolated = true;
		fleet.store.setFaults(({caller}) => caller === 'host-3' ? 'silent' : undefined);
		stopDatabase(fleet, 'db-1');
		await advance(fleet.clock, 12_000);
		expect([...fleet.databases.values()].some(({term}) => term === 2)).toBe(true);
		fleet.killHost('host-1');
		fleet.killHost('host-2');
		await runRestore(fleet, copy);
		cut.isIsolated = false;
		await waitUntilServing(fleet, 9000, () => {
			checkPrimaries(fleet);
		});
		expect(cut.host.sessions.primacy.findPrimary(GROUP)).toMatchObject({term: 2});
		fleet.stop();
	});

	test('that has started anew asks the databases, and only after everything of the lost time has ended', async () => {
		const fleet = createTestFleet(HOSTS);
		await advance(fleet.clock, 4000);
		const copy = fleet.store.createCopy();
		stopDatabase(fleet, 'db-1');
		await advance(fleet.clock, 8000);
		await runRestore(fleet, copy);
		HOSTS.forEach(fleet.killHost);
		await advance(fleet.clock, 500);
		HOSTS.forEach(name => {
			fleet.startHost(name);
		});
		const startedAt = fleet.clock.readNow();
		await waitUntilServing(fleet, 9000, () => {
			checkPrimaries(fleet);
		});
		expect(fleet.clock.readNow() - startedAt).toBeGreaterThan(4400);
		expect(fleet.hosts.at(-1)!.host.sessions.primacy.findPrimary(GROUP)).toMatchObject({term: 2});
		fleet.stop();
	});

	test('keeps the newest contracts, and verifies them once the operator has had time to write them again', async () => {
		const fleet = createTestFleet(HOSTS);
		await advance(fleet.clock, 4000);
		const copy = fleet.store.createCopy();
		fleet.store.writeRow(CONTRACTS_TABLE, 'config', '2');
		await advance(fleet.clock, 2000);
		await runRestore(fleet, copy);
		const restoredAt = fleet.clock.readNow();
		const {contractsVerifiedAt} = fleet.hosts[0]!.host.blackboard.read();
		await advance(fleet.clock, 900);
		expect(fleet.hosts.every(({host}) => host.blackboard.read().contractsVerifiedAt <= restoredAt)).toBe(true);
		await advance(fleet.clock, 2500);
		expect(fleet.hosts.map(({host}) => host.blackboard.read().contracts!.version)).toEqual([2, 2, 2]);
		expect(fleet.hosts.every(({host}) => host.blackboard.read().contractsVerifiedAt > Math.max(contractsVerifiedAt, restoredAt + 900))).toBe(true);
		fleet.stop();
	});

	test('does not count a registration that was written before the restore and answered after it', async () => {
		const fleet = createTestFleet(HOSTS.slice(0, 1));
		const {blackboard} = fleet.hosts[0]!.host;
		fleet.store.setFaults(({kind}) => {
			if (kind === 'write') {
				// The host learns of the new era from a read while its write is under way.
				blackboard.update(state => applyStoreEra(state, 1, fleet.clock.readNow()));
			}

			return undefined;
		});
		await advance(fleet.clock, 500);
		expect(blackboard.read()).toMatchObject({storeEra: 1, registeredUntil: Number.NEGATIVE_INFINITY});
		fleet.stop();
	});

	test('registers again, through the domain leader', async () => {
		const fleet = createTestFleet(HOSTS);
		const copy = fleet.store.createCopy();
		await advance(fleet.clock, 4000);
		await runRestore(fleet, copy);
		const writers = new Set<string>();
		fleet.store.setFaults(({caller, kind}) => {
			if (kind === 'write') {
				writers.add(caller);
			}

			return undefined;
		});
		await advance(fleet.clock, 1100);
		expect(HOSTS.every(name => fleet.store.readRow(HOSTS_TABLE, name) !== undefined)).toBe(true);
		expect(writers.size).toBeLessThanOrEqual(2);
		fleet.stop();
	});
});
