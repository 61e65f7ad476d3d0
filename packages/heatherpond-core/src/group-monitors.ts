/**
 * Assigns groups to the hosts that monitor them: a group's monitors probe its databases often, suspect its primary and
 * replace it.
 *
 * Hosts are placed on a consistent-hashing ring. A group is monitored by the hosts that follow its own position, taken
 * in turn from the failure domains. The load per host therefore stays constant when hosts and groups grow at the same
 * rate. In small fleets every host monitors every group.
 */
import {createHash} from 'node:crypto';
import type {FleetView} from './fleet-view.js';

/** Number of hosts that monitor one group. */
export const MONITORS_PER_GROUP = 8;

/** A host and its position on the ring. */
type RingHost = {readonly host: string; readonly domain: string; readonly ringPosition: number};

/** The registered hosts, ordered by ring position. */
export type MonitorRing = {
	readonly hosts: readonly RingHost[];
	/** Largest number of monitors of one group in the same failure domain. */
	readonly maxPerDomain: number;
};

function readRingPosition(name: string): number {
	return createHash('sha256').update(name).digest().readUInt32BE(0);
}

/** Creates the ring of the registered hosts. */
export function createMonitorRing(hosts: FleetView['hosts']): MonitorRing {
	const ring = Object.values(hosts).map(({host, domain}) => ({host, domain, ringPosition: readRingPosition(host)}));
	const domains = new Set(ring.map(host => host.domain)).size;
	return {
		hosts: ring.toSorted((left, right) => left.ringPosition - right.ringPosition || (left.host < right.host ? -1 : 1)),
		maxPerDomain: Math.ceil(MONITORS_PER_GROUP / Math.max(1, domains)),
	};
}

/** Returns the hosts that monitor a group, at most `MONITORS_PER_GROUP`. */
export function findMonitors({hosts, maxPerDomain}: MonitorRing, group: string): readonly string[] {
	const start = findFirstIndex(hosts, readRingPosition(group));
	const countByDomain = new Map<string, number>();
	const monitors: string[] = [];
	for (let step = 0; step < hosts.length && monitors.length < MONITORS_PER_GROUP; step++) {
		const {host, domain} = hosts[(start + step) % hosts.length]!;
		const count = countByDomain.get(domain) ?? 0;
		if (count < maxPerDomain || hosts.length <= MONITORS_PER_GROUP) {
			countByDomain.set(domain, count + 1);
			monitors.push(host);
		}
	}

	return monitors;
}

/** Returns the index of the first host at or after a ring position, by binary search. */
function findFirstIndex(hosts: readonly RingHost[], position: number): number {
	let low = 0;
	let high = hosts.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (hosts[middle]!.ringPosition < position) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
