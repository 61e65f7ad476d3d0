/**
 * Decides which hosts watch a group closely: they probe its databases often, judge its primary and replace it. Hosts
 * stand on a ring in the order of hashes; a group is watched by the hosts that follow its own place, taken in turn from
 * the failure domains. So the duty of one host stays the same when hosts and groups grow alike, and small fleets watch
 * everything everywhere.
 */
import {createHash} from 'node:crypto';
import type {FleetView} from './fleet-view.js';

/** Hosts that watch one group. */
export const MONITORS_PER_GROUP = 8;

/** A host's place on the ring. */
type RingHost = {readonly host: string; readonly domain: string; readonly ringPosition: number};

/** All registered hosts in the order of their places. */
export type WatchRing = {
	readonly hosts: readonly RingHost[];
	/** Watchers of one group that may be of the same failure domain. */
	readonly maxPerDomain: number;
};

function readRingPosition(name: string): number {
	return createHash('sha256').update(name).digest().readUInt32BE(0);
}

/** Creates the ring of the registered hosts. */
export function createWatchRing(hosts: FleetView['hosts']): WatchRing {
	const placed = Object.values(hosts).map(({host, domain}) => ({host, domain, ringPosition: readRingPosition(host)}));
	const domains = new Set(placed.map(host => host.domain)).size;
	return {
		hosts: placed.toSorted((left, right) => left.place - right.place || (left.host < right.host ? -1 : 1)),
		maxPerDomain: Math.ceil(MONITORS_PER_GROUP / Math.max(1, domains)),
	};
}

/** Finds the hosts that watch a group, at most `WATCHERS_PER_GROUP`. */
export function findWatchers({hosts, maxPerDomain}: WatchRing, group: string): readonly string[] {
	const start = findFirstIndex(hosts, readRingPosition(group));
	const countByDomain = new Map<string, number>();
	const watchers: string[] = [];
	for (let step = 0; step < hosts.length && watchers.length < MONITORS_PER_GROUP; step++) {
		const {host, domain} = hosts[(start + step) % hosts.length]!;
		const count = countByDomain.get(domain) ?? 0;
		if (count < maxPerDomain || hosts.length <= MONITORS_PER_GROUP) {
			countByDomain.set(domain, count + 1);
			watchers.push(host);
		}
	}

	return watchers;
}

/** Finds the first host at or after a place, by bisection. */
function findFirstIndex(hosts: readonly RingHost[], place: number): number {
	let low = 0;
	let high = hosts.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (hosts[middle]!.ringPosition < place) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
