/** Refreshes the registration of this host in the store, and at the domain leader those of its domain peers. */
import type {Instant} from 'heatherpond-core';
import type {ReceivedReport} from './domain-peers.js';
import {HOSTS_TABLE, type HostRecord} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import {applyHostContacts, readHosts} from './host-list.js';
import {REGISTRATION_STORE_TIMEOUT_MS, type Registration} from './host-registration-state.js';
import {REGISTRATION_MS} from './promotion-decisions.js';
import {isListDue, readEarlierHosts, readList} from './registered-hosts.js';
import {createPeerRecord, findExpiredHosts, findPeersToRegister} from './registration-decisions.js';
import {sendRegistrations} from './registration-notifications.js';
import {StoreError} from './store-port.js';
import {readEra} from './store-version.js';

/** Maximum numbers of hosts registered, and of expired rows removed, in one transaction; the store accepts 100 entries, two for each registration. */
const MAX_REGISTERED_PER_TRANSACTION = 40;
const MAX_REMOVED_PER_TRANSACTION = 15;

/** Registers this host, and at the domain leader its domain peers; resolves to whether all are registered. A failure of the store is logged. */
export async function updateRegistrations(registration: Registration): Promise<boolean> {
	const {services, findDomainLeader} = registration;
	const {clock, identity, blackboard, writeEvent} = services;
	const {host, incarnation, domain, address, port} = identity;
	try {
		const sentAt = clock.readNow();
		const page = isListDue(registration) ? await readList(registration) : undefined;
		const hosts = page ? readHosts(page) : blackboard.read().hosts;
		const offset = page ? page.storeNow - sentAt : blackboard.read().storeClockOffset;
		const own: HostRecord = {
			host, incarnation, domain, address, port, refreshedAt: Math.floor(sentAt + offset),
		};
		const peers = findDomainLeader() === undefined ? findPeersToRegister(registration.readReceivedReports(), hosts, offset) : [];
		blackboard.update(state => page ? {...state, hosts} : state);
		const isOwnWritten = await writeRegistrations(registration, {
			records: [own, ...peers.slice(0, MAX_REGISTERED_PER_TRANSACTION - 1).map(heard => createPeerRecord(heard, offset))],
			removed: findExpiredHosts(hosts, host, sentAt + offset).slice(0, MAX_REMOVED_PER_TRANSACTION),
		});
		if (!isOwnWritten) {
			return false;
		}

		applyRefresh(services, sentAt);
		sendRegistrations(registration, peers.slice(0, MAX_REGISTERED_PER_TRANSACTION - 1));
		await readEarlierHosts(registration);
		return await writeFurtherRegistrations(registration, peers.slice(MAX_REGISTERED_PER_TRANSACTION - 1), offset);
	} catch (error) {
		if (!(error instanceof StoreError)) {
			throw error;
		}

		writeEvent('register_failed', {reason: error.message});
		return false;
	}
}

/** Registers the domain peers that did not fit into the first transaction; resolves to whether all are registered. */
async function writeFurtherRegistrations(registration: Registration, peers: readonly ReceivedReport[], offset: number): Promise<boolean> {
	if (peers.length === 0) {
		return true;
	}

	const next = peers.slice(0, MAX_REGISTERED_PER_TRANSACTION);
	if (!await writeRegistrations(registration, {records: next.map(heard => createPeerRecord(heard, offset)), removed: []})) {
		return false;
	}

	sendRegistrations(registration, next);
	return writeFurtherRegistrations(registration, peers.slice(MAX_REGISTERED_PER_TRANSACTION), offset);
}

/**
 * Writes registrations and removes others in one transaction; resolves to whether they count: no row had changed in the
 * meantime, and the store has not come back from an older copy since.
 */
async function writeRegistrations(registration: Registration, {records, removed}: {readonly records: readonly HostRecord[]; readonly removed: readonly string[]}): Promise<boolean> {
	const {services: {store, clock, blackboard}} = registration;
	const result = await store.writeRows({
		expected: records.map(record => ({table: HOSTS_TABLE, key: record.host, version: registration.versions.get(record.host) ?? 0})),
		puts: records.map(record => ({table: HOSTS_TABLE, key: record.host, value: JSON.stringify(record)})),
		removed: removed.map(key => ({table: HOSTS_TABLE, key})),
	}, clock.readNow() + REGISTRATION_STORE_TIMEOUT_MS);
	if (result.kind === 'conflict' || readEra(result.version) !== (blackboard.read().storeEra ?? readEra(result.version))) {
		registration.listReadAt = Number.NEGATIVE_INFINITY;
		return false;
	}

	registration.versions = new Map([...registration.versions, ...records.map(record => [record.host, result.version] as const)]);
	blackboard.update(state => ({...state, hosts: new Map([...state.hosts, ...records.map(record => [record.host, record] as const)])}));
	return true;
}

/** Extends the registration of this host after the store has accepted a refresh that was requested at `refreshedAt`. */
export function applyRefresh({blackboard, clock, writeEvent, refreshFleet, identity}: FleetServices, refreshedAt: Instant): void {
	const now = clock.readNow();
	if (refreshedAt < blackboard.read().clockValidFrom) {
		// The registration is older than this clock tells, so it is refreshed once more.
		return;
	}

	const isFirst = blackboard.read().registeredUntil <= now;
	blackboard.update(state => ({
		...applyHostContacts(state, [identity], refreshedAt),
		registeredUntil: Math.max(state.registeredUntil, refreshedAt + REGISTRATION_MS),
		registeredAt: isFirst ? now : state.registeredAt,
	}));
	if (isFirst) {
		writeEvent('host_registered', {host: identity.host, incarnation: identity.incarnation, hosts: blackboard.read().hosts.size});
		refreshFleet();
	}
}
