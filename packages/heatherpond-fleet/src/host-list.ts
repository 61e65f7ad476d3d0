/** The list of hosts as one of them knows it: from the store, from what it hears, and from what it is told. */
import type {Instant} from 'heatherpond-core';
import {hostSchema, parseRecord, type HostRecord} from './fleet-records.js';
import type {FleetState} from './fleet-state.js';
import type {TablePage} from './store-port.js';

/** Takes note of hosts of other failure domains, as another host has read them. */
export function applyFarHosts(state: FleetState, farHosts: readonly HostRecord[]): FleetState {
	const newer = farHosts.filter(({host, refreshedAt}) => (state.hosts.get(host)?.refreshedAt ?? Number.NEGATIVE_INFINITY) < refreshedAt);
	return newer.length === 0 ? state : {...state, hosts: new Map([...state.hosts, ...newer.map(record => [record.host, record] as const)])};
}

/** Takes note that a host has been heard: its row is refreshed, whether or not this host has read it since. */
export function applyHeardHost(state: FleetState, host: string, now: Instant): FleetState {
	const known = state.hosts.get(host);
	return known
		? {...state, hosts: new Map([...state.hosts, [host, {...known, refreshedAt: Math.max(known.refreshedAt, Math.floor(now + state.storeClockOffset))}]])}
		: {...state, hasUnknownHosts: true};
}

/** Takes note that a host has stopped to work; its row goes with it. */
export function applyLeftHost(state: FleetState, {host, incarnation}: {readonly host: string; readonly incarnation: string}): FleetState {
	return state.hosts.get(host)?.incarnation === incarnation
		? {...state, hosts: new Map([...state.hosts].filter(([name]) => name !== host))}
		: state;
}

/** Reads the hosts from the rows of their table. */
export function readHosts(page: TablePage): ReadonlyMap<string, HostRecord> {
	const records = page.rows
		.map(({value}) => value === undefined ? undefined : parseRecord(hostSchema, value))
		.filter(record => record !== undefined);
	return new Map(records.map(record => [record.host, record]));
}
