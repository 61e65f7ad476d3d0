/** Limits the number of client connections per key. */

/** Counts of open client connections by key hash. */
export type ConnectionCounter = {
	/** Counts a new connection and returns true, or returns false when `limit` connections with the key are open. */
	readonly take: (keyHash: string, limit: number) => boolean;
	/** Decrements the count for a closed connection; does nothing without a key. */
	readonly release: (keyHash: string | undefined) => void;
};

export function createConnectionCounter(): ConnectionCounter {
	const counts = new Map<string, number>();
	return {
		take(keyHash, limit) {
			const count = counts.get(keyHash) ?? 0;
			if (count >= limit) {
				return false;
			}

			counts.set(keyHash, count + 1);
			return true;
		},
		release(keyHash) {
			const count = keyHash ? (counts.get(keyHash) ?? 0) - 1 : 0;
			if (count > 0) {
				counts.set(keyHash!, count);
			} else if (keyHash) {
				counts.delete(keyHash);
			}
		},
	};
}
