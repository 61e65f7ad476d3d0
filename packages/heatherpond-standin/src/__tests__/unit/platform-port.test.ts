import {Buffer} from 'node:buffer';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, test,
} from '@jest/globals';
import {
	createFakeClock, createSystemClock, EMPTY_FLEET_VIEW, type AppendOutcome, type Clock, type EntryDraft, type FakeClock, type PlatformPort,
} from 'heatherpond-core';
import {openPlatform} from 'heatherpond-changelog';
import type {PlatformCall} from '../../platform-faults.js';
import {startPlatformStandin, type PlatformStandin} from '../../platform-server.js';
import {startTcpRelay} from '../../tcp-relay.js';

const STEP_MS = 5;
const CALL_MS = 10_000;
let stop: AbortController;
let fakeClock: FakeClock;
let standin: PlatformStandin;
let port: PlatformPort;

beforeEach(async () => {
	stop = new AbortController();
	fakeClock = createFakeClock();
	standin = await startPlatformStandin({
		listen: '127.0.0.1:0', clock: fakeClock, hostListLagMs: 0, signal: stop.signal,
	});
	port = openPort(standin.address, fakeClock);
});

afterEach(() => {
	stop.abort();
});

function openPort(address: string, clock: Clock): PlatformPort {
	return openPlatform({
		address, domain: 'jhb-a', clock, signal: stop.signal,
	});
}

function createDraft(operationId: string, team = 'durban'): EntryDraft {
	return {operationId, author: 'nomsa', change: {kind: 'contractRemoved', team}};
}

function createOptions(milliseconds = CALL_MS) {
	return {deadline: fakeClock.readNow() + milliseconds, signal: stop.signal};
}

/** Advances the fake clock until the promise settles. */
async function runToEnd<Result>(work: Promise<Result>): Promise<Result> {
	const progress = {isDone: false};
	void work.finally(() => {
		progress.isDone = true;
	}).catch(() => undefined);
	while (!progress.isDone) {
		await waitForTurn();
		fakeClock.advanceBy(STEP_MS);
	}

	return work;
}

async function append(operationId: string, expectedVersion: number, milliseconds = CALL_MS): Promise<AppendOutcome> {
	return runToEnd(port.appendEntry(createDraft(operationId), expectedVersion, createOptions(milliseconds)));
}

async function readOperations(): Promise<readonly string[]> {
	const page = await runToEnd(port.readEntries(0, createOptions()));
	return page.entries.map(entry => entry.operationId);
}

describe('appending to the log', () => {
	test('returns the version, or the conflicting entries when the expected version is outdated', async () => {
		expect(await append('one', 0)).toEqual({kind: 'accepted', version: 1});
		expect(await append('two', 0)).toMatchObject({kind: 'conflict', entries: [{version: 1, operationId: 'one', author: 'nomsa'}]});
	});

	test.each<PlatformCall>(['commit', 'scan'])('returns the true outcome after a lost response to %s', async call => {
		standin.faults.lostResponses.set('commit', 1);
		standin.faults.lostResponses.set(call, 1);
		expect(await append('one', 0)).toEqual({kind: 'accepted', version: 1});
		expect(await readOperations()).toEqual(['one']);
	});

	test('returns a conflict when another entry was appended before and the response was lost', async () => {
		await append('one', 0);
		standin.faults.lostResponses.set('commit', 1);
		expect(await append('two', 0)).toMatchObject({kind: 'conflict'});
		expect(await readOperations()).toEqual(['one']);
	});

	test('succeeds with 3 s latency per call and a lost response', async () => {
		standin.faults.delayMs = 3000;
		standin.faults.lostResponses.set('commit', 1);
		expect(await append('one', 0, 20_000)).toEqual({kind: 'accepted', version: 1});
	});

	test('appends exactly once when the platform recovers before the deadline', async () => {
		standin.faults.isDown = true;
		fakeClock.registerTimer(6000, () => {
			standin.faults.isDown = false;
		});
		expect(await append('one', 0, 20_000)).toEqual({kind: 'accepted', version: 1});
		expect(await readOperations()).toEqual(['one']);
	});

	test('fails with an unknown outcome when the platform is down until the deadline', async () => {
		standin.faults.isDown = true;
		await expect(append('one', 0, 2000)).rejects.toMatchObject({code: 'unavailable', message: expect.stringContaining('unknown')});
	});

	test('returns the original version when an accepted operation is retried after later entries', async () => {
		await append('one', 0);
		await append('two', 1);
		expect(await append('one', 2)).toEqual({kind: 'accepted', version: 1});
		expect(await readOperations()).toEqual(['one', 'two']);
	});

	test('concurrent writers append each operation exactly once despite lost responses', async () => {
		standin.faults.lostResponses.set('commit', 4);
		standin.faults.lostResponses.set('scan', 3);
		const names = ['a', 'b', 'c', 'd', 'e', 'f'];
		await runToEnd(Promise.all(names.map(async name => appendWhereFree(name, 0))));
		const operations = await readOperations();
		expect(operations.toSorted()).toEqual(names);
	});
});

async function appendWhereFree(operationId: string, expectedVersion: number): Promise<void> {
	const outcome = await port.appendEntry(createDraft(operationId), expectedVersion, createOptions(60_000));
	if (outcome.kind === 'conflict') {
		await appendWhereFree(operationId, outcome.entries.at(-1)!.version);
	}
}

describe('snapshots', () => {
	const view = {...EMPTY_FLEET_VIEW, version: 5};

	async function writeView(version: number): Promise<void> {
		await runToEnd(port.writeSnapshot({...view, version}, createOptions()));
	}

	test('an older snapshot does not replace a newer one', async () => {
		await writeView(5);
		await writeView(4);
		expect(await runToEnd(port.readSnapshot(createOptions()))).toEqual(view);
	});

	test('reading returns undefined when there is no snapshot', async () => {
		expect(await runToEnd(port.readSnapshot(createOptions()))).toBeUndefined();
	});

	test('reading fails when the snapshot object is missing', async () => {
		await writeView(5);
		standin.objects.clear();
		await expect(runToEnd(port.readSnapshot(createOptions()))).rejects.toMatchObject({code: 'invalid', message: expect.stringContaining('missing')});
	});

	test('reading fails when the snapshot object is corrupt, until a newer snapshot is written', async () => {
		await writeView(5);
		standin.objects.forEach((_content, name) => {
			standin.objects.set(name, Buffer.from('{}'));
		});
		await expect(runToEnd(port.readSnapshot(createOptions()))).rejects.toMatchObject({code: 'invalid', message: expect.stringContaining('corrupt')});
		await writeView(6);
		expect(await runToEnd(port.readSnapshot(createOptions()))).toMatchObject({version: 6});
	});

	test.each<PlatformCall>(['putObject', 'scan', 'commit'])('a write fails on a lost response to %s and can be retried', async call => {
		standin.faults.lostResponses.set(call, 1);
		await expect(writeView(5)).rejects.toMatchObject({code: 'unavailable'});
		await writeView(5);
		expect(await runToEnd(port.readSnapshot(createOptions()))).toEqual(view);
	});

	test('a read fails on a lost response to getObject', async () => {
		await writeView(5);
		standin.faults.lostResponses.set('getObject', 1);
		await expect(runToEnd(port.readSnapshot(createOptions()))).rejects.toMatchObject({code: 'unavailable'});
	});
});

test('readHosts fails on a lost response, and the next call succeeds', async () => {
	standin.faults.lostResponses.set('listHosts', 1);
	await expect(runToEnd(port.readHosts(createOptions()))).rejects.toMatchObject({code: 'unavailable'});
	expect(await runToEnd(port.readHosts(createOptions()))).toEqual([]);
});

test('after a timeout on an unresponsive connection, the next call uses a new connection', async () => {
	const clock = createSystemClock();
	const relay = await startTcpRelay({address: '127.0.0.1', targetPort: Number(standin.address.split(':')[1]), signal: stop.signal});
	const relayed = openPort(relay.address, clock);
	const call = async () => relayed.readEntries(0, {deadline: clock.readNow() + 300, signal: stop.signal});
	expect(await runToEnd(call())).toMatchObject({isComplete: true});
	relay.dropTraffic();
	await expect(runToEnd(call())).rejects.toMatchObject({code: 'unavailable'});
	expect(await runToEnd(call())).toMatchObject({isComplete: true});
	expect(relay.countOpened()).toBe(2);
});
