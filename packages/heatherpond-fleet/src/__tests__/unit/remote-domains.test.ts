import {expect, test} from '@jest/globals';
import {createFakeClock} from 'heatherpond-core';
import {createRemoteDomains} from '../../remote-domains.js';
import {countTeamDemand} from '../../remote-usage.js';
import type {RemoteOverview, UsageReport} from '../../usage-report.js';

const CONTACT = {
	host: 'host', incarnation: 'run-1', address: 'host', port: 1, isVerified: true,
};
const OVERVIEW: RemoteOverview = {
	usage: {isVerified: true, teams: {served: 40, idle: 0}, databases: {'db-1': [2, 5]}},
	leaders: ['domain-2', 'domain-3'].map(domain => ({...CONTACT, domain, ageMs: 100})),
};

function createReport(domain: string): UsageReport {
	return {
		...CONTACT, domain, sequence: 1, isOfDomain: true, hasLeft: false, runningMs: 1000, teams: {served: 30, other: 10}, databases: {'db-1': [1, 3]},
	};
}

test('an overview tells of the teams that it names, and leaves the demand of the others unknown', () => {
	const domains = createRemoteDomains(createFakeClock(0));
	domains.applyOverview(OVERVIEW);
	expect(['served', 'idle', 'other'].map(domains.countUnknownDemands)).toEqual([0, 0, 2]);
	expect(domains.countReported()).toBe(2);
	domains.applyReport(createReport('domain-2'));
	expect(domains.countUnknownDemands('other')).toBe(1);
});

test('a domain that has reported since an overview counts in both, and the overview no longer once all have', () => {
	const domains = createRemoteDomains(createFakeClock(0));
	domains.applyOverview(OVERVIEW);
	domains.applyReport(createReport('domain-2'));
	expect(countTeamDemand(domains.readUsages(), 'served')).toBe(70);
	domains.applyReport(createReport('domain-3'));
	expect(countTeamDemand(domains.readUsages(), 'served')).toBe(60);
});

test('an overview takes the place of the reports that it covers', () => {
	const domains = createRemoteDomains(createFakeClock(0));
	domains.applyReport(createReport('domain-2'));
	domains.applyOverview(OVERVIEW);
	expect(countTeamDemand(domains.readUsages(), 'served')).toBe(40);
	expect(domains.readLeaders().map(({domain}) => domain)).toEqual(['domain-2', 'domain-3']);
});

test('a leader whose report has expired is not named, but its demand still counts', () => {
	const clock = createFakeClock(0);
	const domains = createRemoteDomains(clock);
	domains.applyOverview(OVERVIEW);
	clock.advanceTo(5000);
	expect(domains.readLeaders()).toEqual([]);
	expect(countTeamDemand(domains.readUsages(), 'served')).toBe(40);
	expect(domains.readRecentUsages()).toEqual([]);
});
