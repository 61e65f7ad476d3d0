import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {
	applyLogEntry, applyPeerContact, applyViewToWindow, countShare, countWindowShare, createViewWindow, decideConvergedWindow, EMPTY_FLEET_VIEW, SHARE_LEASE_MS, orderHolders,
	type Change, type FleetView, type PeerStates, type SharedQuota, type ViewWindow,
} from '../../index.js';

const SEED = 20_261_203;
const RUNS = 3000;
const SUBJECT: SharedQuota = {key: 'rate/durban', totalUnits: 10_000, maxHolders: 16};
const NAMES = ['jhb-a-1', 'jhb-a-2', 'cpt-a-1', 'dbn-a-1'];

function appendChange(view: FleetView, change: Change, author: string): FleetView {
	return applyLogEntry(view, {
		version: view.version + 1, operationId: `op-${view.version}`, author, writtenAt: '', change,
	});
}

function appendRegistration(view: FleetView, host: string, run: number): FleetView {
	return appendChange(view, {
		kind: 'hostRegistered', host, incarnation: `${host}/${run}`, domain: host.slice(0, 5), peerAddress: `${host}:${run}`,
	}, host);
}

function appendRemoval(view: FleetView, host: string, author: string): FleetView {
	const record = view.hosts[host];
	return record ? appendChange(view, {kind: 'hostRemoved', host, incarnation: record.incarnation}, author) : view;
}

const THREE = ['jhb-a-1', 'cpt-a-1', 'dbn-a-1'].reduce((view, host) => appendRegistration(view, host, 1), EMPTY_FLEET_VIEW);

type Process = {
	readonly host: string;
	readonly incarnation: string;
	readonly peerAddress: string;
	window: ViewWindow;
	peers: PeerStates;
	version: number;
	verifiedAt: number;
	hasEnded: boolean;
};

type World = {view: FleetView; readonly processes: Process[]; now: number; runs: number};

function applyLog(world: World, process: Process): void {
	process.window = process.window.length === 0 ? createViewWindow(world.view, process, world.now) : applyViewToWindow(process.window, world.view, world.now);
	process.version = world.view.version;
	process.verifiedAt = world.now;
}

function applyExchange(world: World, receiver: Process, sender: Process): void {
	receiver.peers = applyPeerContact(receiver.peers, {
		host: sender.host, incarnation: sender.incarnation, peerAddress: sender.peerAddress, domain: sender.host.slice(0, 5), version: sender.version, ledgerVersion: sender.version,
	}, world.now, world.now);
}

function countUsedUnits(world: World, process: Process): number {
	if (process.hasEnded || world.now >= process.verifiedAt + SHARE_LEASE_MS) {
		return 0;
	}

	process.window = decideConvergedWindow({
		window: process.window, peers: process.peers, holder: process, now: world.now,
	});
	return countWindowShare(process.window, SUBJECT, process);
}

function startProcess(world: World, host: string): void {
	const run = ++world.runs;
	world.view = appendRegistration(world.view, host, run);
	const process: Process = {
		host, incarnation: `${host}/${run}`, peerAddress: `${host}:${run}`, window: [], peers: {}, version: 0, verifiedAt: Number.NEGATIVE_INFINITY, hasEnded: false,
	};
	applyLog(world, process);
	world.processes.push(process);
}

const process = fc.nat({max: 20});
const stepArbitrary = fc.oneof(
	{weight: 2, arbitrary: fc.record({kind: fc.constant('start' as const), name: fc.constantFrom(...NAMES)})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('remove' as const), name: fc.constantFrom(...NAMES)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('leave' as const), process})},
	{weight: 6, arbitrary: fc.record({kind: fc.constant('read' as const), process})},
	{weight: 12, arbitrary: fc.record({kind: fc.constant('exchange' as const), process, other: process})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('advanceTime' as const), milliseconds: fc.constantFrom(1000, 100_000, 400_000)})},
);

type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

function runStep(world: World, step: Step): void {
	const chosen = step.kind === 'start' || step.kind === 'remove' || step.kind === 'advanceTime' ? undefined : world.processes.at(step.process % Math.max(1, world.processes.length));
	switch (step.kind) {
		case 'start': {
			startProcess(world, step.name);
			break;
		}

		case 'remove': {
			world.view = appendRemoval(world.view, step.name, 'another');
			break;
		}

		case 'advanceTime': {
			world.now += step.milliseconds;
			break;
		}

		case 'read': {
			updateRunning(chosen, running => {
				applyLog(world, running);
			});
			break;
		}

		case 'exchange': {
			const other = world.processes.at(step.other % Math.max(1, world.processes.length));
			updateRunning(chosen, running => {
				if (other && !other.hasEnded && other !== running) {
					applyExchange(world, running, other);
				}
			});
			break;
		}

		case 'leave': {
			updateRunning(chosen, running => {
				if (world.view.hosts[running.host]?.incarnation === running.incarnation) {
					running.hasEnded = true;
					world.view = appendRemoval(world.view, running.host, running.host);
				}
			});
		}
	}
}

function updateRunning(chosen: Process | undefined, change: (running: Process) => void): void {
	if (chosen && !chosen.hasEnded) {
		change(chosen);
	}
}

describe('shares of the registered hosts', () => {
	test('add up to the quota and alternate between failure domains', () => {
		const holders = Object.values(THREE.hosts).map(record => countShare(THREE.hosts, SUBJECT, record));
		expect(holders.reduce((sum, units) => sum + units, 0)).toBe(SUBJECT.totalUnits);
		const wide = [1, 2, 3, 4].flatMap(run => ['jhb-a', 'cpt-a', 'dbn-a'].map(domain => `${domain}-${run}`)).reduce((view, host) => appendRegistration(view, host, 1), EMPTY_FLEET_VIEW);
		expect(new Set(orderHolders(wide.hosts, SUBJECT.key).slice(0, 3).map(host => host.slice(0, 5))).size).toBe(3);
	});

	test('a new host has no share until every other host has confirmed its registration', () => {
		const view = appendRegistration(THREE, 'jhb-a-2', 2);
		const holder = {host: 'jhb-a-2', incarnation: 'jhb-a-2/2', peerAddress: 'jhb-a-2:2'};
		const window = createViewWindow(view, holder, 0);
		expect(countWindowShare(window, SUBJECT, holder)).toBe(0);
		const peers = Object.values(THREE.hosts).reduce<PeerStates>((known, record) => applyPeerContact(known, {...record, version: view.version, ledgerVersion: view.version}, 1, 1), {});
		const settled = decideConvergedWindow({
			window, peers, holder, now: 1,
		});
		expect(countWindowShare(settled, SUBJECT, holder)).toBe(2500);
	});

	test.each([
		['after its lease when it was removed by another host', 'cpt-a-1', [3333, 5000]],
		['at once when it deregistered itself', 'dbn-a-1', [5000, 5000]],
	])('the share of a removed host goes to the others %s', (_name, author, expected) => {
		const holder = {host: 'cpt-a-1', incarnation: 'cpt-a-1/1', peerAddress: 'cpt-a-1:1'};
		const view = appendRemoval(THREE, 'dbn-a-1', author);
		const window = applyViewToWindow([{...createViewWindow(THREE, holder, 0)[1]!}], view, 0);
		const peers = applyPeerContact({}, {...THREE.hosts['jhb-a-1']!, version: view.version, ledgerVersion: view.version}, 1, 1);
		const shares = [1, SHARE_LEASE_MS + 60_000].map(now => countWindowShare(decideConvergedWindow({
			window, peers, holder, now,
		}), SUBJECT, holder));
		expect(shares.map(units => Math.floor(units / 10))).toEqual(expected.map(units => Math.floor(units / 10)));
	});

	test('never add up to more than the quota while registrations change and hosts lag, stop or lose connectivity', () => {
		fc.assert(fc.property(fc.array(stepArbitrary, {minLength: 1, maxLength: 60, size: 'max'}), steps => {
			const world: World = {
				view: EMPTY_FLEET_VIEW, processes: [], now: 0, runs: 0,
			};
			const used = steps.map(step => {
				runStep(world, step);
				return world.processes.reduce((sum, item) => sum + countUsedUnits(world, item), 0);
			});
			expect(Math.max(...used)).toBeLessThanOrEqual(SUBJECT.totalUnits);
		}), {seed: SEED, numRuns: RUNS});
	}, 60_000);
});
