import {describe, expect, test} from '@jest/globals';
import {createBlackboard, createFakeClock, type FakeClock} from 'heatherpond-core';
import {
	createTeamLimits, EMPTY_FLEET_STATE, computeTotalUsage, type Contracts, type DomainUsage, type FleetState, type Grant, type HostRecord, type TeamLimits, type TeamUsage,
} from '../../index.js';
import {advance} from '../support/steps.js';

const LEADER: HostRecord = {
	host: 'host-1', incarnation: 'run', address: 'a', port: 1, domain: 'd', refreshedAt: 0,
};
const SINGLE_HOST: TeamUsage = {
	otherDomains: {
		demandPerSecond: 0, heard: 0, unheard: 0, coveredFraction: 1,
	}, domainPeersPerSecond: 0, liveDomainHosts: 1,
};

type Fixture = {readonly clock: FakeClock; readonly limits: TeamLimits; usage: TeamUsage; leader: HostRecord | undefined; grant: Grant | undefined; asked: number};

function createFixture(ratePerSecond: number): Fixture {
	const clock = createFakeClock(0);
	const contracts: Contracts = {
		version: 1, routes: new Map(), groups: new Map(), teamsByKey: new Map(), idleTransactionMs: 1000,
		teams: new Map([['team', {team: 'team', ratePerSecond, burst: ratePerSecond}]]),
	};
	const fixture: Fixture = {
		clock, usage: SINGLE_HOST, leader: undefined, grant: undefined, asked: 0,
		limits: createTeamLimits({
			findOtherLimit: () => undefined,
			clock, signal: new AbortController().signal, blackboard: createBlackboard<FleetState>({...EMPTY_FLEET_STATE, arePeersKnown: true, contracts}), readUsage: () => fixture.usage, findDomainLeader: () => fixture.leader,
			async requestGrant() {
				fixture.asked++;
				return fixture.grant;
			},
			readOtherLeaders: () => [],
			requestTransfer: async () => 0,
			writeEvent: () => undefined,
		}),
	};
	return fixture;
}

async function countAdmitted({limits}: Fixture, tries: number): Promise<number> {
	const results = await Promise.all(Array.from({length: tries}, async () => limits.admit('team')));
	return results.filter(retryAfterMs => retryAfterMs === 0).length;
}

describe('team limits', () => {
	test('admits a team that has no limit in the contracts', async () => {
		expect(await createFixture(1).limits.admit('other')).toBe(0);
	});

	test('the domain leader enforces the limit on its own operations', async () => {
		const fixture = createFixture(10);
		const admitted = await countAdmitted(fixture, 100);
		expect(admitted).toBeGreaterThan(5);
		expect(admitted).toBeLessThanOrEqual(25);
	});

	test('a host uses up the operations granted by the leader before it requests more', async () => {
		const fixture = createFixture(10);
		fixture.leader = LEADER;
		fixture.grant = {granted: 4, retryAfterMs: 0};
		expect(await fixture.limits.admit('team')).toBe(0);
		expect(await countAdmitted(fixture, 3)).toBe(3);
		expect(fixture.asked).toBe(1);
		await fixture.limits.admit('team');
		expect(fixture.asked).toBe(2);
	});

	test('unused granted operations expire', async () => {
		const fixture = createFixture(10);
		fixture.leader = LEADER;
		fixture.grant = {granted: 4, retryAfterMs: 0};
		await fixture.limits.admit('team');
		fixture.clock.advanceBy(700);
		fixture.grant = {granted: 0, retryAfterMs: 90};
		expect(await fixture.limits.admit('team')).toBe(90);
	});

	test('a host falls back to its equal part of the domain share when the leader does not respond', async () => {
		const fixture = createFixture(40);
		fixture.leader = LEADER;
		fixture.usage = {...SINGLE_HOST, liveDomainHosts: 4};
		const first = await countAdmitted(fixture, 100);
		expect(first).toBeGreaterThan(2);
		expect(first).toBeLessThanOrEqual(20);
		await advance(fixture.clock, 1000);
		expect(await countAdmitted(fixture, 100)).toBeLessThanOrEqual(14);
	});

	test('the leader admits only its part of the domain share while other hosts of the domain are silent', async () => {
		const fixture = createFixture(40);
		fixture.usage = {...SINGLE_HOST, otherDomains: {...SINGLE_HOST.otherDomains, coveredFraction: 0.25}};
		expect(await countAdmitted(fixture, 100)).toBeLessThanOrEqual(20);
	});
});

describe('the usage report of a domain', () => {
	test('is the sum of the reports of its hosts', () => {
		const usage = {isVerified: false, teams: {a: 1.5, b: 2}, databases: {x: [1, 2]}} satisfies DomainUsage;
		expect(computeTotalUsage([usage, {isVerified: true, teams: {a: 1}, databases: {x: [2, 3], y: [0, 1]}}])).toEqual({
			isVerified: true, teams: {a: 2.5, b: 2}, databases: {x: [3, 5], y: [0, 1]},
		});
	});
});
