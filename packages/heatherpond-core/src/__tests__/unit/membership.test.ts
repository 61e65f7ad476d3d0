import {describe, expect, test} from '@jest/globals';
import {
	applyPeerContact, applyPeerTimeout, decideReportInterval, decideStampSource, EMPTY_FLEET_VIEW, findDeadHosts, findHeartbeatPeers, HEARTBEAT_FAN_OUT, readPeerConfirmedInstant, UNRESPONSIVE_AFTER_FAILURES,
	type FleetView, type HostRecord, type PeerStates,
} from '../../index.js';

function createHost(index: number, domain: string): HostRecord {
	return {
		host: `${domain}-${index}`, incarnation: `run-${domain}-${index}`, domain, peerAddress: `127.0.0.1:${index}`, version: index,
	};
}

function createView(hostsPerDomain: number, domains: readonly string[]): FleetView {
	const records = domains.flatMap(domain => Array.from({length: hostsPerDomain}, (_value, index) => createHost(index + 1, domain)));
	return {...EMPTY_FLEET_VIEW, version: 9, hosts: Object.fromEntries(records.map(record => [record.host, record]))};
}

function createPeers(view: FleetView, self: string, version: number, requestedAt: number): PeerStates {
	return Object.values(view.hosts)
		.filter(record => record.host !== self)
		.reduce<PeerStates>((peers, record) => applyPeerContact(peers, {...record, version, ledgerVersion: version}, requestedAt, requestedAt), {});
}

describe('selection of stamp sources and heartbeat peers', () => {
	const view = createView(300, ['jhb-a']);

	test('two hosts of a large failure domain read the platform, and no host serves more than four others', () => {
		const sources = Object.values(view.hosts).map(record => decideStampSource({
			view, host: record.host, domain: record.domain, isUnresponsive: () => false,
		}));
		const asked = sources.flatMap(source => source.kind === 'peers' ? source.candidates.map(candidate => candidate.host) : []);
		const counts = asked.map(host => asked.filter(other => other === host).length);
		expect(sources.filter(source => source.kind === 'platform')).toHaveLength(2);
		expect(Math.max(...counts)).toBe(4);
	});

	test('an unresponsive parent is skipped', () => {
		const input = {view, host: 'jhb-a-7', domain: 'jhb-a'};
		const source = decideStampSource({...input, isUnresponsive: () => false});
		const parent = source.kind === 'peers' ? source.candidates[0]!.host : '';
		const next = decideStampSource({...input, isUnresponsive: host => host === parent});
		expect(next.kind === 'peers' ? next.candidates.map(record => record.host) : []).not.toContain(parent);
	});

	test('the number of heartbeat peers does not grow with the fleet', () => {
		expect(findHeartbeatPeers(view, 'jhb-a-1')).toHaveLength(HEARTBEAT_FAN_OUT);
		expect(findHeartbeatPeers(createView(2, ['jhb-a', 'cpt-a']), 'jhb-a-1').map(record => record.host).toSorted()).toEqual(['cpt-a-1', 'cpt-a-2', 'jhb-a-2']);
	});
});

test('hosts report to the platform every second in a small fleet, and a large fleet stays within 100 reports per second', () => {
	expect(decideReportInterval(7)).toBe(1000);
	expect(6300 * 1000 / decideReportInterval(6300)).toBeLessThanOrEqual(100);
});

describe('findDeadHosts', () => {
	const view = createView(1, ['jhb-a', 'cpt-a']);
	const record = view.hosts['cpt-a-1']!;
	const unresponsive = Array.from({length: UNRESPONSIVE_AFTER_FAILURES}).reduce<PeerStates>(peers => applyPeerTimeout(peers, record, 0), createPeers(view, 'jhb-a-1', 9, 0));
	const listed = {
		host: record.host, domain: record.domain, peerAddress: record.peerAddress, state: 'live',
	} as const;

	test.each([
		['includes a host that is unresponsive and no longer listed', {
			peers: unresponsive, list: [], now: 10_000, expected: ['cpt-a-1'],
		}],
		['excludes a host that is unresponsive but listed as live', {
			peers: unresponsive, list: [listed], now: 10_000, expected: [],
		}],
		['includes a host that is unresponsive and listed as leaving', {
			peers: unresponsive, list: [{...listed, state: 'leaving' as const}], now: 10_000, expected: ['cpt-a-1'],
		}],
		['excludes a host that has been unresponsive for too short a time', {
			peers: unresponsive, list: [], now: 100, expected: [],
		}],
		['excludes a host that is not listed but responds', {
			peers: createPeers(view, 'jhb-a-1', 9, 0), list: [], now: 10_000, expected: [],
		}],
	])('%s', (_name, {peers, list, now, expected}) => {
		expect(findDeadHosts({
			view, host: 'jhb-a-1', peers, listed: list, now,
		}).map(dead => dead.host)).toEqual(expected);
	});
});

describe('peer confirmation that keeps keys verified', () => {
	const view = createView(1, ['jhb-a', 'cpt-a', 'dbn-a']);
	const self = {
		view, host: 'jhb-a-1', incarnation: 'run-jhb-a-1', peerAddress: '127.0.0.1:7',
	};

	test('holds as of the oldest among the latest answered requests to each host', () => {
		const contacted = applyPeerContact(createPeers(view, 'jhb-a-1', 9, 50), {...view.hosts['cpt-a-1']!, version: 9, ledgerVersion: 9}, 80, 80);
		expect(readPeerConfirmedInstant({...self, peers: contacted, now: 100})).toBe(50);
	});

	test.each([
		['one host has a higher log version', applyPeerContact(createPeers(view, 'jhb-a-1', 9, 50), {...view.hosts['cpt-a-1']!, version: 10, ledgerVersion: 9}, 80, 80)],
		['one host has restarted at another address', applyPeerContact(createPeers(view, 'jhb-a-1', 9, 50), {
			...view.hosts['cpt-a-1']!, incarnation: 'other', peerAddress: '127.0.0.1:8', version: 9, ledgerVersion: 9,
		}, 80, 80)],
		['one host has not responded', applyPeerContact({}, {...view.hosts['cpt-a-1']!, version: 9, ledgerVersion: 9}, 80, 80)],
	])('does not hold when %s', (_name, peers) => {
		expect(readPeerConfirmedInstant({...self, peers, now: 100})).toBe(Number.NEGATIVE_INFINITY);
	});

	test('holds when a host was restarted at the same address and responds', () => {
		const restarted = applyPeerContact(createPeers(view, 'jhb-a-1', 9, 50), {
			...view.hosts['cpt-a-1']!, incarnation: 'other', version: 9, ledgerVersion: 0,
		}, 80, 80);
		expect(readPeerConfirmedInstant({...self, peers: restarted, now: 100})).toBe(50);
	});

	test('does not hold for a host that is not registered in the log', () => {
		expect(readPeerConfirmedInstant({
			...self, incarnation: 'other', peers: createPeers(view, 'jhb-a-1', 9, 50), now: 100,
		})).toBe(Number.NEGATIVE_INFINITY);
	});
});
