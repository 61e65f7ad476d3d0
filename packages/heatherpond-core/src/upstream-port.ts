/** Port for control calls to databases: status, fencing and promotion. Client statements do not use it. */
import * as z from 'zod';
import type {Member} from './contract.js';
import type {CallOptions} from './platform-port.js';
import {logPointSchema} from './position.js';

/** Status that a database reports. */
export const databaseStatusSchema = z.object({
	name: z.string(),
	role: z.enum(['primary', 'replica']),
	/** Highest term that the database has granted; it refuses writes and replication in lower terms. */
	term: z.number().int().nonnegative(),
	/** Promoter to which that term was granted; empty when the database learned the term by replication. */
	grantedTo: z.string(),
	/** Log point of the last entry in its log. */
	last: logPointSchema,
	/** Name of the primary that it replicates from; empty for none. */
	follows: z.string(),
	/**
	 * Age of the data in milliseconds: time since the primary sent the state that the replica has fully applied; 0 on a
	 * primary.
	 */
	dataAgeMs: z.number().nonnegative(),
	/**
	 * Milliseconds since a replica last received anything from its primary, whether or not it has applied it; 0 on a
	 * primary. Absent when the database does not report it.
	 */
	heardMs: z.number().nonnegative().optional(),
});

export type DatabaseStatus = z.infer<typeof databaseStatusSchema>;

/** Options of a control call to a database. */
export type UpstreamCallOptions = CallOptions & {
	/** Opens a new connection, so that a dead connection is not mistaken for a dead database. */
	readonly onNewConnection: boolean;
};

/**
 * Control calls to databases. Every call rejects with a `PortError`: `refused` when the database has granted the term
 * to another promoter or knows a higher one, `unavailable` when the outcome is unknown.
 */
export type UpstreamPort = {
	/** Reads the status of a database. */
	readonly readStatus: (member: Member, options: UpstreamCallOptions) => Promise<DatabaseStatus>;
	/**
	 * Asks the database to grant `term` to `promoter`. From then on, and across restarts, it refuses lower terms.
	 * Idempotent.
	 */
	readonly raiseTerm: (member: Member, term: number, promoter: string, options: UpstreamCallOptions) => Promise<DatabaseStatus>;
	/** Promotes the database to primary of a term that it granted to `promoter`. Idempotent. */
	readonly promote: (member: Member, term: number, promoter: string, options: UpstreamCallOptions) => Promise<DatabaseStatus>;
	/**
	 * Makes the database a replica of `primary` in `term` and drops everything in it that is not part of the primary's
	 * history. Idempotent.
	 */
	readonly follow: (member: Member, primary: Member, term: number, options: UpstreamCallOptions) => Promise<DatabaseStatus>;
};
