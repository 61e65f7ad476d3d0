import {describe, expect, test} from '@jest/globals';
import type {TeamLimit} from '../../index.js';
import {advance} from '../support/steps.js';
import {createTestFleet, TEAM, type TestFleet} from '../support/test-fleet.js';

/** Load: a team that asks every host for far more than its limit, from the first moment of a fleet on. */
const HOSTS = ['domain-1/host-1', 'domain-1/host-2', 'domain-1/host-3', 'domain-2/host-1', 'domain-2/host-2', 'domain-3/host-1', 'domain-3/host-2'];
const ATTEMPT_INTERVAL_MS = 5;
/** The limit in any window: the operations that the contract allows in it, with the tolerance of a distributed limit. */
const WINDOW_MS = 5000;
const TOLERATED_SHARE = 0.1;
const TOLERATED_OPERATIONS = 20;

const LIMITS: ReadonlyArray<readonly [string, TeamLimit]> = [
	['thin', {ratePerSecond: 9, burst: 6}],
	['usual', {ratePerSecond: 72, burst: 30}],
	['wide, with a burst of several seconds', {ratePerSecond: 60, burst: 240}],
];

/** Sends operations to all running hosts that know the contracts; records when they were admitted. */
async function runFlood(fleet: TestFleet, lengthMs: number, admittedAt: number[]): Promise<void> {
	let nextAt = fleet.clock.readNow();
	await advance(fleet.clock, lengthMs, () => {
		if (fleet.clock.readNow() < nextAt) {
			return;
		}

		nextAt = fleet.clock.readNow() + ATTEMPT_INTERVAL_MS;
		fleet.hosts.filter(({isKilled, host}) => !isKilled && host.blackboard.read().contracts).forEach(({host}) => {
			void host.sessions.admission.admit(TEAM).then(retryAfterMs => {
				if (retryAfterMs === 0) {
					admittedAt.push(fleet.clock.readNow());
				}
			});
		});
	});
}

function countFullestWindow(admittedAt: readonly number[]): number {
	return Math.max(...admittedAt.map((end, index) => admittedAt.slice(0, index + 1).filter(at => at > end - WINDOW_MS).length));
}

function countAllowed({ratePerSecond, burst}: TeamLimit): number {
	return (((ratePerSecond * WINDOW_MS / 1000) + burst) * (1 + TOLERATED_SHARE)) + TOLERATED_OPERATIONS;
}

describe.each(LIMITS)('a %s limit is kept in every window', (_name, limit) => {
	test('when all hosts start at once and do not know each other yet', async () => {
		const fleet = createTestFleet(HOSTS, {limit});
		const admittedAt: number[] = [];
		await runFlood(fleet, 9000, admittedAt);
		fleet.stop();
		expect(countFullestWindow(admittedAt)).toBeLessThanOrEqual(countAllowed(limit));
	});

	test('when the hosts start one after the other', async () => {
		const fleet = createTestFleet(HOSTS.slice(0, 1), {limit, seeds: HOSTS.slice(0, 2)});
		const admittedAt: number[] = [];
		for (const name of HOSTS.slice(1)) {
			await runFlood(fleet, 130, admittedAt);
			fleet.startHost(name, name.split('/')[0]);
		}

		await runFlood(fleet, 8000, admittedAt);
		fleet.stop();
		expect(countFullestWindow(admittedAt)).toBeLessThanOrEqual(countAllowed(limit));
	});

	test.each([600, 1500])('when all hosts are killed at once and are back after %i ms', async downtimeMs => {
		const fleet = createTestFleet(HOSTS, {limit});
		const admittedAt: number[] = [];
		await runFlood(fleet, 8000, admittedAt);
		HOSTS.forEach(fleet.killHost);
		await advance(fleet.clock, downtimeMs);
		HOSTS.forEach(name => {
			fleet.startHost(name, name.split('/')[0]);
		});
		await runFlood(fleet, 7000, admittedAt);
		fleet.stop();
		expect(countFullestWindow(admittedAt)).toBeLessThanOrEqual(countAllowed(limit));
	});

	test('when the leaders of all domains are killed one after the other, also while nobody asks', async () => {
		const fleet = createTestFleet(HOSTS, {limit});
		const admittedAt: number[] = [];
		await runFlood(fleet, 3000, admittedAt);
		await advance(fleet.clock, 6000);
		for (const name of ['domain-1/host-1', 'domain-2/host-1', 'domain-3/host-1']) {
			await runFlood(fleet, 700, admittedAt);
			fleet.killHost(name);
		}

		await runFlood(fleet, 7000, admittedAt);
		fleet.stop();
		expect(countFullestWindow(admittedAt)).toBeLessThanOrEqual(countAllowed(limit));
	});

	test('when leaders are cut off from their domains and go on serving', async () => {
		const fleet = createTestFleet(HOSTS, {limit});
		const admittedAt: number[] = [];
		await runFlood(fleet, 6000, admittedAt);
		fleet.hosts.filter(({name}) => name.endsWith('host-1')).forEach(host => {
			host.isIsolated = true;
		});
		await runFlood(fleet, 7000, admittedAt);
		fleet.stop();
		expect(countFullestWindow(admittedAt)).toBeLessThanOrEqual(countAllowed(limit));
	});
});
