/** Registration of a database in the store. */
import type {Instant} from 'heatherpond-core';

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
	/** When this host learned that the operator evacuates the failure domain of the database; absent while it does not. */
	readonly evacuatedSince?: Instant;
	/** Whether the database reports itself as primary. */
	readonly claimsPrimary: boolean;
	readonly isWarmingUp: boolean;
	/** Start time in milliseconds of the database's own clock; distinguishes restarts under the same id. */
	readonly startedAt: number;
};

/** Whether a database may be given new work. */
export function isAcceptingWork({isLeaving, evacuatedSince}: Pick<Upstream, 'isLeaving' | 'evacuatedSince'>): boolean {
	return !isLeaving && evacuatedSince === undefined;
}
