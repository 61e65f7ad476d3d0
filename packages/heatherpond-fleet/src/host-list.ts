/** Maintains the list of registered hosts from the store, from received messages and from the lists of other hosts. */
import type {Instant} from 'heatherpond-core';
import {hostSchema, parseRecord, type HostRecord} from './fleet-records.js';
import type {FleetState} from './fleet-state.js';
import type {HostContact} from './host-message.js';
import type {TablePage} from './store-port.js';

/** Merges registrations of hosts of other failure domains, as received from the domain leader. */
export function applyRemoteDomainHosts(state: FleetState, farHosts: readonly HostRecord[]): FleetState {
	const newer = farHosts.filter(({host, refreshedAt}) => (state.hosts.get(host)?.refreshedAt ?? Number.NEGATIVE_INFINITY) < refreshedAt);
	return newer.length === 0 ? state : {...state, hosts: new Map([...state.hosts, ...newer.map(record => [record.host, record] as const)])};
}

/**
 * Records that hosts are live: extends their registrations in the local list without reading their rows again, and adds
 * those that are not listed yet. Nothing is recorded while the clock of the store is not known.
 */
export function applyHostContacts(state: FleetState, contacts: readonly HostContact[], now: Instant): FleetState {
	if (!Number.isFinite(state.primacyVerifiedAt) || contacts.length === 0) {
		return state;
	}

	const refreshedAt = Math.floor(now + state.storeClockOffset);
	const records = contacts.map(contact => createRecord(contact, Math.max(refreshedAt, state.hosts.get(contact.host)?.refreshedAt ?? refreshedAt)));
	return {...state, hosts: new Map([...state.hosts, ...records.map(record => [record.host, record] as const)])};
}

function createRecord({host, incarnation, address, port, domain}: HostContact, refreshedAt: number): HostRecord {
	return {
		host, incarnation, address, port, domain, refreshedAt,
	};
}

/** Removes a host that has announced its departure, unless another incarnation of it has registered since. */
export function applyHostDeparture(state: FleetState, {host, incarnation}: {readonly host: string; readonly incarnation: string}): FleetState {
	return state.hosts.get(host)?.incarnation === incarnation
		? {...state, hosts: new Map([...state.hosts].filter(([name]) => name !== host))}
		: state;
}

/** Parses the rows of the host table; rows that cannot be parsed are skipped. */
export function readHosts(page: TablePage): ReadonlyMap<string, HostRecord> {
	const records = page.rows
		.map(({value}) => value === undefined ? undefined : parseRecord(hostSchema, value))
		.filter(record => record !== undefined);
	return new Map(records.map(record => [record.host, record]));
}
