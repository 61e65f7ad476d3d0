/** Removes the registration of a host that stops. */
import {HOSTS_TABLE} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import {readHosts} from './host-list.js';
import {REGISTRATION_STORE_TIMEOUT_MS} from './host-registration-state.js';

/** Removes the registration, so that promotions no longer wait for this host. The host must have stopped relying on leases. */
export async function removeRegistration({store, clock, identity, writeEvent}: FleetServices): Promise<void> {
	try {
		const page = await store.readTable(HOSTS_TABLE, clock.readNow() + REGISTRATION_STORE_TIMEOUT_MS);
		const row = {table: HOSTS_TABLE, key: identity.host};
		// A new incarnation of this host may register between this read and the write.
		const version = page.rows.find(({key}) => key === identity.host)?.version;
		if (version !== undefined && readHosts(page).get(identity.host)?.incarnation === identity.incarnation) {
			await store.writeRows({expected: [{...row, version}], puts: [], removed: [row]}, clock.readNow() + REGISTRATION_STORE_TIMEOUT_MS);
		}
	} catch (error) {
		// The registration expires on its own.
		writeEvent('unregister_failed', {reason: String(error)});
	}
}
