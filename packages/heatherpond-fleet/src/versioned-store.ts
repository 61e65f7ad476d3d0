/**
 * Store port over a store that may come back from an older copy. It turns the row versions of each era into store versions,
 * and keeps versions of different eras apart: changes are never read across a restore, and a transaction whose conditions
 * were read in another era is neither sent nor taken for successful.
 */
import type {Deadline, Instant} from 'heatherpond-core';
import {
	createStoreError, type RowChange, type StorePort, type StoreTransaction, type TablePage, type TransactionResult,
} from './store-port.js';
import {createStoreVersion, readEra, readRowVersion} from './store-version.js';

/** Rows as the store sends them: all versions are row versions of the era. */
export type EraPage = {readonly rows: readonly RowChange[]; readonly version: number; readonly storeNow: Instant; readonly era: number};

/** Result of a transaction as the store sends it. */
export type EraTransactionResult = TransactionResult & {readonly era: number};

/** A store with plain row versions, which tells with each response in which era it was given. */
export type EraStorePort = {
	readonly readTable: (table: string, deadline: Deadline) => Promise<EraPage>;
	readonly readChanges: (table: string, after: number, deadline: Deadline) => Promise<EraPage>;
	readonly writeRows: (transaction: StoreTransaction, deadline: Deadline) => Promise<EraTransactionResult>;
};

/** Creates the port; it remembers the latest era of which it has had a response. */
export function createVersionedStore(store: EraStorePort): StorePort {
	let latestEra: number | undefined;

	function recordEra(era: number): void {
		latestEra = Math.max(latestEra ?? era, era);
	}

	return {
		async readTable(table, deadline) {
			const page = await store.readTable(table, deadline);
			recordEra(page.era);
			return convertPage(page);
		},
		async readChanges(table, after, deadline) {
			const page = await store.readChanges(table, readRowVersion(after), deadline);
			recordEra(page.era);
			if (page.era !== readEra(after)) {
				throw createStoreError('the store has come back from an older copy since the requested version', 'history_lost');
			}

			return convertPage(page);
		},
		async writeRows(transaction, deadline) {
			const conditionEras = transaction.expected.filter(({version}) => version > 0).map(({version}) => readEra(version));
			if (latestEra !== undefined && conditionEras.some(era => era !== latestEra)) {
				return {kind: 'conflict'};
			}

			const result = await store.writeRows({
				...transaction, expected: transaction.expected.map(row => ({...row, version: readRowVersion(row.version)})),
			}, deadline);
			recordEra(result.era);
			if (result.kind === 'conflict') {
				return {kind: 'conflict'};
			}

			if (conditionEras.some(era => era !== result.era)) {
				throw createStoreError('the store has come back from an older copy since the conditions were read', 'silent');
			}

			return {kind: 'done', version: createStoreVersion(result.era, result.version), storeNow: result.storeNow};
		},
	};
}

function convertPage({rows, version, storeNow, era}: EraPage): TablePage {
	return {
		rows: rows.map(row => ({...row, version: createStoreVersion(era, row.version)})), version: createStoreVersion(era, version), storeNow,
	};
}
