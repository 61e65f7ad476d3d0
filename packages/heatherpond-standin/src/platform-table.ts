/** In-memory table with conditional, atomic commits. */
import type {
	CommitRequest, Row, ScanReply, ScanRequest,
} from 'heatherpond-changelog';

/** A table of rows ordered by key. */
export type PlatformTable = {
	/** Applies all writes atomically if the revision of every condition matches; returns whether it did. */
	readonly commit: (request: CommitRequest) => boolean;
	/** Reads a page of a key range, in key order. `until` is exclusive. */
	readonly scan: (request: ScanRequest) => ScanReply;
};

/** Maximum number of rows of a page when the request sets no limit. */
const DEFAULT_SCAN_LIMIT = 1000;

/** Creates a table without rows; it lives in memory only, and ends with its process. */
export function createPlatformTable(): PlatformTable {
	const rows = new Map<string, Row>();
	const orderedKeys: string[] = [];

	/** Finds the index of the first key at or after `key`. */
	function findIndex(key: string): number {
		let low = 0;
		let high = orderedKeys.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (orderedKeys[middle]! < key) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}

	function writeRow(key: string, value: Row['value']): void {
		const existing = rows.get(key);
		rows.set(key, {key, value, revision: (existing?.revision ?? 0) + 1});
		if (!existing) {
			orderedKeys.splice(findIndex(key), 0, key);
		}
	}

	return {
		commit(request) {
			const holds = request.conditions.every(condition => (rows.get(condition.key)?.revision ?? 0) === condition.revision);
			if (holds) {
				request.writes.forEach(write => {
					writeRow(write.key, write.value);
				});
			}

			return holds;
		},
		scan(request) {
			const limit = request.limit || DEFAULT_SCAN_LIMIT;
			const first = findIndex(request.from);
			const keys = orderedKeys.slice(first, first + limit + 1).filter(key => key < request.until);
			return {rows: keys.slice(0, limit).map(key => rows.get(key)!), more: keys.length > limit};
		},
	};
}
