/** Caches the rows of followed tables, so that the domain leader can respond to its domain peers in place of the store. */
import type {Instant} from 'heatherpond-core';
import type {RowChange, TablePage} from './store-port.js';
import type {TableUpdate} from './table-follower.js';

/** Cache of the tables that a host follows. */
export type TableCache = {
	/** Replaces the table by a snapshot, or merges changes into it. */
	readonly applyUpdate: (table: string, update: TableUpdate) => void;
	/** Reads the changes after a version, or the whole table after version 0, with their age. */
	readonly readChanges: (table: string, after: number, now: Instant) => CachedChanges;
	/** Discards all tables, after a suspension that the clock did not measure. */
	readonly clear: () => void;
};

/** Changes of a table as far as the cache can provide them. */
export type CachedChanges
	= | {readonly kind: 'page'; readonly page: TablePage}
	/** The cache has not read the table recently, or not since the requested version. */
		| {readonly kind: 'unread'}
	/** The changes exceed the size of a response; only the store can provide them. */
		| {readonly kind: 'too_large'};

type CachedTable = {
	rows: ReadonlyMap<string, RowChange>;
	/** Version of the snapshot; all changes after it are known. */
	readonly baseVersion: number;
	version: number;
	verifiedAt: Instant;
	/** Clock of the store minus that of this host in milliseconds. */
	storeClockOffset: number;
};

/** Maximum age in milliseconds at which cached rows are sent to domain peers. */
const MAX_AGE_MS = 1900;
/** Maximum total length of the row values in one response, which is sent in datagrams; larger changes are read from the store. */
const MAX_RESPONSE_CHARACTERS = 60_000;

/** Creates an empty cache. */
export function createTableCache(): TableCache {
	const tables = new Map<string, CachedTable>();
	return {
		applyUpdate(table, {page, isSnapshot, requestedAt, receivedAt}) {
			const known = tables.get(table);
			if (isSnapshot || !known) {
				tables.set(table, {
					rows: new Map(page.rows.map(row => [row.key, row])), baseVersion: page.version, version: page.version, verifiedAt: requestedAt, storeClockOffset: page.storeNow - receivedAt,
				});
				return;
			}

			known.rows = page.rows.length === 0 ? known.rows : new Map([...known.rows, ...page.rows.map(row => [row.key, row] as const)]);
			known.version = Math.max(known.version, page.version);
			known.verifiedAt = Math.max(known.verifiedAt, requestedAt);
			known.storeClockOffset = page.storeNow - receivedAt;
		},
		readChanges(table, after, now) {
			const known = tables.get(table);
			if (!known || (after > 0 && after < known.baseVersion) || now - known.verifiedAt > MAX_AGE_MS) {
				return {kind: 'unread'};
			}

			const rows = [...known.rows.values()].filter(row => after === 0 ? row.value !== undefined : row.version > after);
			const characters = rows.reduce((sum, {value}) => sum + (value?.length ?? 0), 0);
			if (characters > MAX_RESPONSE_CHARACTERS) {
				return {kind: 'too_large'};
			}

			return {
				kind: 'page', page: {
					rows, version: known.version, storeNow: now + known.storeClockOffset, ageMs: now - known.verifiedAt,
				},
			};
		},
		clear() {
			tables.clear();
		},
	};
}
