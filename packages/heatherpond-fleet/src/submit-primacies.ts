/** Writes the records of primaries under the promotion lease. */
import {applyPrimacy} from './apply-fleet-update.js';
import {
	FLEET_TABLE, PRIMACY_PREFIX, PROMOTION_LEASE_KEY, type PrimacyRecord, type PromotionLeaseRecord,
} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import type {FleetState} from './fleet-state.js';
import {formatRowKey} from './row-keys.js';
import type {StoreTransaction} from './store-port.js';

/** A record, and the row version that it replaces. */
export type PrimacyChange = {readonly record: PrimacyRecord; readonly expected: number};

const STORE_TIMEOUT_MS = 600;

/** Writes the promotion lease and primacy records in one transaction; resolves to its version, or nothing on a conflict. */
export async function submitPrimacies(
	services: FleetServices,
	state: FleetState,
	changes: readonly PrimacyChange[],
	promotionLease: PromotionLeaseRecord,
): Promise<number | undefined> {
	const transaction: StoreTransaction = {
		expected: [
			{table: FLEET_TABLE, key: PROMOTION_LEASE_KEY, version: state.duty?.version ?? 0},
			...changes.map(({record, expected}) => ({table: FLEET_TABLE, key: formatRowKey(PRIMACY_PREFIX, record.group), version: expected})),
		],
		puts: [
			{table: FLEET_TABLE, key: PROMOTION_LEASE_KEY, value: JSON.stringify(promotionLease)},
			...changes.map(({record}) => ({table: FLEET_TABLE, key: formatRowKey(PRIMACY_PREFIX, record.group), value: JSON.stringify(record)})),
		],
		removed: [],
	};
	const result = await services.store.writeRows(transaction, services.clock.readNow() + STORE_TIMEOUT_MS);
	services.refreshFleet();
	if (result.kind === 'conflict') {
		services.writeEvent('promotion_lost_race', {groups: changes.map(({record}) => record.group).join(',')});
		return undefined;
	}

	// The next step may run before the follower receives this change from the store.
	services.blackboard.update(current => ({
		...current,
		duty: (current.duty?.version ?? 0) < result.version ? {record: promotionLease, version: result.version} : current.duty,
	}));
	changes.map(({record}) => ({record, version: result.version})).forEach(written => {
		services.blackboard.update(current => applyPrimacy(current, written));
		services.sendPrimacy(written);
	});
	return result.version;
}
