/** Caches the rows of followed tables, so that the domain leader can respond to its domain peers in place of the store. */
import type {Instant} from 'heatherpond-core';
import type {RowChange, TablePage} from './store-port.js';
import type {TableChanges, TableSnapshot, TableUpdate} from './table-follower.js';

/** Cache of the tables that a host follows. */
export type TableCache = {
	/** Replaces the table by a snapshot, or merges changes into it. */
	readonly applyUpdate: (table: string, update: TableUpdate) => void;
	/** Reads the changes after a version, or the whole table after version 0, with their age. */
	readonly readChanges: (table: string, after: number, now: Instant) => CachedChanges;
	/** Withholds all tables until they are verified again, after a suspension that the clock did not measure: their age is unknown, but not their rows. */
	readonly expire: () => void;
	/** Discards all tables; each one is unknown until a snapshot of it arrives. */
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
	readonly rows: ReadonlyMap<string, RowChange>;
	/** Version of the snapshot; all changes after it are known. */
	readonly baseVersion: number;
	readonly version: number;
	readonly verifiedAt: Instant;
	/** Clock of the store minus that of this host in milliseconds. */
	readonly storeClockOffset: number;
};

/** Maximum age in milliseconds at which cached rows are sent to domain peers. */
const MAX_AGE_MS = 1900;
/** Maximum total length of the row values in one response, which is sent in datagrams; larger changes are read from the store. */
const MAX_RESPONSE_CHARACTERS = 60_000;

/** Creates an empty cache. */
export function createTableCache(): TableCache {
	const tables = new Map<string, CachedTable>();
	return {
		applyUpdate(table, update) {
			const known = tables.get(table);
			if (update.kind === 'snapshot') {
				tables.set(table, createCachedTable(update));
			} else if (known && update.after <= known.version) {
				tables.set(table, applyChanges(known, update));
			} else {
				// Changes that leave a gap say nothing of the rows before them.
				tables.delete(table);
			}
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
		expire() {
			[...tables].forEach(([table, known]) => {
				tables.set(table, {...known, verifiedAt: Number.NEGATIVE_INFINITY});
			});
		},
		clear() {
			tables.clear();
		},
	};
}

function createCachedTable({page, requestedAt, receivedAt}: TableSnapshot): CachedTable {
	return {
		rows: new Map(page.rows.map(row => [row.key, row])), baseVersion: page.version, version: page.version, verifiedAt: requestedAt, storeClockOffset: page.storeNow - receivedAt,
	};
}

function applyChanges({rows, baseVersion, version, verifiedAt}: CachedTable, {page, requestedAt, receivedAt}: TableChanges): CachedTable {
	return {
		rows: page.rows.length === 0 ? rows : new Map([...rows, ...page.rows.map(row => [row.key, row] as const)]),
		baseVersion,
		version: Math.max(version, page.version),
		verifiedAt: Math.max(verifiedAt, requestedAt),
		storeClockOffset: page.storeNow - receivedAt,
	};
}
