/** Reads the list of registered hosts from the store, with the row versions that a write must name. */
import {HOSTS_TABLE} from './fleet-records.js';
import {readHosts} from './host-list.js';
import {REGISTRATION_STORE_TIMEOUT_MS, STARTUP_REFRESHES, type Registration} from './host-registration-state.js';
import type {TablePage} from './store-port.js';

/** Milliseconds between reads of the list of hosts. */
const LIST_READ_INTERVAL_MS = 12_000;

/** A host that the domain leader registers does not know the current row versions and reads the list before each refresh. */
export function isListDue({services: {clock, blackboard}, findDomainLeader, refreshes, listReadAt}: Registration): boolean {
	const {hosts, primacyVerifiedAt} = blackboard.read();
	return refreshes < STARTUP_REFRESHES || findDomainLeader() !== undefined || hosts.size === 0 || !Number.isFinite(primacyVerifiedAt)
		|| clock.readNow() >= listReadAt + LIST_READ_INTERVAL_MS;
}

/** Reads the list once after the first registration, so that this host knows all hosts that registered before it. */
export async function readEarlierHosts(registration: Registration): Promise<void> {
	const {blackboard} = registration.services;
	if (!blackboard.read().arePeersKnown) {
		const hosts = readHosts(await readList(registration));
		blackboard.update(state => ({...state, hosts, arePeersKnown: true}));
	}
}

/**
 * Reads the list and remembers its row versions.
 *
 * @throws StoreError when the store does not respond in time
 */
export async function readList(registration: Registration): Promise<TablePage> {
	const {clock, store} = registration.services;
	const sentAt = clock.readNow();
	const page = await store.readTable(HOSTS_TABLE, sentAt + REGISTRATION_STORE_TIMEOUT_MS);
	registration.listReadAt = sentAt;
	registration.versions = new Map(page.rows.map(({key, version}) => [key, version]));
	return page;
}
