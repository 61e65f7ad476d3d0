/** Faults that tests inject into one database. */

/** Faults currently injected into a database. Fields can be changed while the database runs. */
export type DatabaseFaults = {
	/** Replication delay to this database in milliseconds. */
	replicationLagMs: number;
	/** Whether the database is partitioned from its group: replication to and from it is blocked. */
	isPartitionedFromGroup: boolean;
	/** Failure domains partitioned from this database. */
	readonly partitionedDomains: Set<string>;
	/** Whether the database is down: open connections are closed and new ones refused. Committed data, the term and its grant are kept. */
	isDown: boolean;
	/** Connections opened before this instant are unresponsive; later ones work. */
	unresponsiveBefore: number;
	/** Milliseconds for which each statement occupies its slot. */
	serviceTimeMs: number;
	/** Milliseconds by which accepting a new connection is delayed. */
	connectDelayMs: number;
	/** Number of commits whose connection is closed in place of the response, after the commit took effect. */
	lostCommitResponses: number;
	/** Number of rows of a result after which its connection is closed. */
	disconnectAfterRows: number;
	/** Registers a listener that is called whenever `isDown` is set to true. */
	readonly registerDownListener: (listener: () => void) => void;
};

/** Creates a set of faults with none injected. */
export function createDatabaseFaults(): DatabaseFaults {
	const listeners: Array<() => void> = [];
	let isDown = false;
	return {
		replicationLagMs: 0,
		isPartitionedFromGroup: false,
		partitionedDomains: new Set(),
		unresponsiveBefore: Number.NEGATIVE_INFINITY,
		serviceTimeMs: 0,
		connectDelayMs: 0,
		lostCommitResponses: 0,
		disconnectAfterRows: Number.POSITIVE_INFINITY,
		get isDown() {
			return isDown;
		},
		set isDown(value) {
			isDown = value;
			if (value) {
				listeners.forEach(listener => {
					listener();
				});
			}
		},
		registerDownListener(listener) {
			listeners.push(listener);
		},
	};
}
