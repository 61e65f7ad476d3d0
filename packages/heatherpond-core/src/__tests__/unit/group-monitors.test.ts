import {describe, expect, test} from '@jest/globals';
import {createMonitorRing, findMonitors, MONITORS_PER_GROUP} from '../../group-monitors.js';
import type {FleetView} from '../../fleet-view.js';

function createHosts(count: number, domains: number): FleetView['hosts'] {
	return Object.fromEntries(Array.from({length: count}, (_value, index) => [`host-${index}`, {
		host: `host-${index}`, incarnation: '1', domain: `domain-${index % domains}`, peerAddress: 'p', version: index + 1,
	}]));
}

describe('findMonitors', () => {
	test('returns all hosts of a small fleet', () => {
		const hosts = createHosts(7, 3);
		expect(findMonitors(createMonitorRing(hosts), 'group').toSorted()).toEqual(Object.keys(hosts).toSorted());
	});

	test('spreads the monitors of a group over failure domains and the load over hosts in a large fleet', () => {
		const hosts = createHosts(6300, 26);
		const ring = createMonitorRing(hosts);
		const groups = Array.from({length: 3667}, (_value, index) => findMonitors(ring, `group-${index}`));
		expect(groups.every(watchers => watchers.length === MONITORS_PER_GROUP)).toBe(true);
		expect(groups.every(watchers => new Set(watchers.map(host => hosts[host]!.domain)).size === MONITORS_PER_GROUP)).toBe(true);
		const duties = new Map<string, number>();
		groups.flat().forEach(host => {
			duties.set(host, (duties.get(host) ?? 0) + 1);
		});
		expect(Math.max(...duties.values())).toBeLessThanOrEqual(50);
	});

	test('changes the monitors of a group only if one of them is removed', () => {
		const hosts = createHosts(100, 4);
		const {'host-7': removed, ...others} = hosts;
		const before = createMonitorRing(hosts);
		const after = createMonitorRing(others);
		const groups = Array.from({length: 200}, (_value, index) => `group-${index}`);
		const changed = groups.filter(group => findMonitors(before, group).join(' ') !== findMonitors(after, group).join(' '));
		expect(changed.every(group => findMonitors(before, group).includes(removed!.host))).toBe(true);
		expect(changed.length).toBeGreaterThan(0);
	});
});
