/** Registration of a database in the store. */

/** A registered database. */
export type Upstream = {
	readonly id: string;
	readonly group: string;
	readonly host: string;
	readonly port: number;
	/** Failure domain. */
	readonly domain: string;
	/** Number of statements that it can execute concurrently. */
	readonly capacity: number;
	/** Whether the database is draining and must receive no new statements. */
	readonly isLeaving: boolean;
	/** Whether the database reports itself as primary. */
	readonly claimsPrimary: boolean;
	readonly isWarmingUp: boolean;
	/** Start time in milliseconds of the database's own clock; distinguishes restarts under the same id. */
	readonly startedAt: number;
};
