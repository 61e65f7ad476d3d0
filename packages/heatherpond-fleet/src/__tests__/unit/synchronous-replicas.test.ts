/** Promotions in a group with a synchronous replica lose no commit that was acknowledged. */
import {
	afterEach, describe, expect, test,
} from '@jest/globals';
import {FLEET_TABLE, type PrimacyRecord} from '../../index.js';
import {advance} from '../support/steps.js';
import {
	createTestFleet, GROUP, REGISTRATIONS_TABLE, type TestDatabase, type TestFleet,
} from '../support/test-fleet.js';

const STARTUP_MS = 2500;
/** Last acknowledged commit in the tests, and where a replica that has received nothing for a while stands. */
const ACKNOWLEDGED = 500n;
const BEHIND = 40n;
let fleet: TestFleet;

afterEach(() => {
	fleet.stop();
});

async function startFleet(syncReplicas = 1): Promise<void> {
	fleet = createTestFleet(['host-1', 'host-2', 'host-3'], {syncReplicas});
	await advance(fleet.clock, STARTUP_MS);
}

function findDatabase(id: string): TestDatabase {
	return fleet.databases.get(id)!;
}

/** Writes the registration of a database, or removes it. */
function writeRegistration(id: string, change: {readonly isLeaving: boolean} | undefined): void {
	const {upstream, isPrimary} = findDatabase(id);
	fleet.store.writeRow(REGISTRATIONS_TABLE, id, change && JSON.stringify({...upstream, ...change, claimsPrimary: isPrimary}));
}

/** Acknowledges commits that the primary and `holder` have, and the other replica lacks. */
function applyCommits(holder: string): void {
	[...fleet.databases.values()].forEach(database => {
		const isHolder = database.isPrimary || database.upstream.id === holder;
		database.position = isHolder ? ACKNOWLEDGED : BEHIND;
		database.isDeaf = !isHolder;
	});
}

/** A database crashes; its registration disappears a moment later if it is removed at all. */
function failDatabase(id: string, isRemoved = false): void {
	findDatabase(id).isUnresponsive = true;
	if (isRemoved) {
		writeRegistration(id, undefined);
	}

	fleet.hosts.forEach(({host}) => {
		host.sessions.upstreams.findCandidates(GROUP, {team: 'team'});
		host.sessions.upstreams.recordFailure(id, 'silent', fleet.clock.readNow());
	});
}

function readPromoted(): readonly string[] {
	return fleet.promotionRequests.map(({database}) => database);
}

function findUsablePrimaries(): ReadonlyArray<string | undefined> {
	return fleet.hosts.map(({host}) => host.sessions.primacy.findPrimary(GROUP)?.database);
}

async function readHolders(): Promise<readonly string[] | undefined> {
	const reading = fleet.store.createPort('test').readTable(FLEET_TABLE, fleet.clock.readNow() + 1000);
	await advance(fleet.clock, 100);
	const {rows} = await reading;
	const {holders} = JSON.parse(rows.find(({key}) => key.startsWith('primacy/'))!.value!) as PrimacyRecord;
	return holders;
}

describe('a group with a synchronous replica', () => {
	// Guards against a promotion that discards acknowledged commits which a replica that drains holds.
	test('promotes the replica that drains for the time that the other one needs to catch up, and sends it no work', async () => {
		await startFleet();
		writeRegistration('db-2', {isLeaving: true});
		applyCommits('db-2');
		await advance(fleet.clock, 1000);
		const used = new Set<string | undefined>();
		failDatabase('db-1');
		findDatabase('db-3').isDeaf = false;
		const end = fleet.clock.readNow() + 4000;
		while (fleet.clock.readNow() < end) {
			await advance(fleet.clock, 10);
			findUsablePrimaries().forEach(id => {
				used.add(id);
			});
		}

		expect(readPromoted()).toEqual(['db-2', 'db-3']);
		expect(findDatabase('db-3').position).toBe(ACKNOWLEDGED);
		expect(findUsablePrimaries()).toEqual(['db-3', 'db-3', 'db-3']);
		expect(used.has('db-2')).toBe(false);
	});

	// Guards against the same when the replica that holds the commits does not answer, and when its registration has disappeared.
	test.each([
		['crashed with the primary', false], ['crashed and lost its registration before the primary', true],
	])('promotes nobody while the replica that holds the commits has %s, and goes on once it is back', async (_, isRemoved) => {
		await startFleet();
		applyCommits('db-2');
		failDatabase('db-2', isRemoved);
		await advance(fleet.clock, isRemoved ? 4000 : 0);
		failDatabase('db-1');
		await advance(fleet.clock, 6000);
		expect(readPromoted()).toEqual([]);
		expect(fleet.events.some(event => event.includes('promotion_without_candidate') && event.includes('db-2'))).toBe(true);
		findDatabase('db-2').isUnresponsive = false;
		writeRegistration('db-2', {isLeaving: false});
		await advance(fleet.clock, 4000);
		expect(readPromoted()).toEqual(['db-2']);
		expect(findUsablePrimaries()).toEqual(['db-2', 'db-2', 'db-2']);
	});

	test('promotes a replica that has caught up since another one departed', async () => {
		await startFleet();
		applyCommits('db-2');
		failDatabase('db-2', true);
		await advance(fleet.clock, 4000);
		findDatabase('db-3').isDeaf = false;
		fleet.updateReplicas(findDatabase('db-1'));
		await advance(fleet.clock, 2000);
		expect(await readHolders()).toEqual(['db-3']);
		failDatabase('db-1');
		await advance(fleet.clock, 3000);
		expect(readPromoted()).toEqual(['db-3']);
	});

	test('remembers a departed replica although all hosts have restarted', async () => {
		await startFleet();
		applyCommits('db-2');
		failDatabase('db-2', true);
		await advance(fleet.clock, 4000);
		['host-1', 'host-2', 'host-3'].forEach(fleet.killHost);
		['host-4', 'host-5', 'host-6'].forEach(name => {
			fleet.startHost(name);
		});
		await advance(fleet.clock, STARTUP_MS);
		expect(await readHolders()).toEqual(['db-2', 'db-3']);
		failDatabase('db-1');
		await advance(fleet.clock, 6000);
		expect(readPromoted()).toEqual([]);
	});

	test('promotes nobody right after a promotion whose primary has crashed before another database caught up', async () => {
		await startFleet();
		applyCommits('db-2');
		failDatabase('db-1');
		await advance(fleet.clock, 2000);
		expect(readPromoted()).toEqual(['db-2']);
		failDatabase('db-2');
		await advance(fleet.clock, 6000);
		expect(readPromoted()).toEqual(['db-2']);
	});

	test('replaces a primary that drains only by one that has caught up with it', async () => {
		await startFleet();
		applyCommits('db-2');
		findDatabase('db-2').isUnresponsive = true;
		writeRegistration('db-1', {isLeaving: true});
		await advance(fleet.clock, 3000);
		expect(readPromoted()).toEqual([]);
		findDatabase('db-3').isDeaf = false;
		fleet.updateReplicas(findDatabase('db-1'));
		await advance(fleet.clock, 2000);
		expect(readPromoted()).toEqual(['db-3']);
	});

	test('is replaced as fast as any other when all its replicas answer', async () => {
		await startFleet();
		failDatabase('db-1');
		await advance(fleet.clock, 1500);
		expect(findUsablePrimaries()).toEqual(['db-2', 'db-2', 'db-2']);
	});
});

describe('a group without synchronous replicas', () => {
	test('has no list of holders, and promotes the most advanced replica that accepts work', async () => {
		await startFleet(0);
		expect(await readHolders()).toBeUndefined();
		writeRegistration('db-2', {isLeaving: true});
		applyCommits('db-2');
		await advance(fleet.clock, 1000);
		failDatabase('db-1');
		await advance(fleet.clock, 2000);
		expect(readPromoted()).toEqual(['db-3']);
		expect(await readHolders()).toBeUndefined();
	});
});
