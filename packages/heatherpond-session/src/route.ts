/** The settings of a route, taken from its contract, that sessions use. */
import type {Homes} from './homes.js';

/** Consistency guarantee of the reads on a route. */
export type Consistency
	/** A read sees every commit acknowledged before it arrived; it is served by the primary. */
	= | 'primary'
	/** A read may miss commits acknowledged within the last `maxStalenessMs`. */
		| 'bounded_staleness'
	/** As `bounded_staleness`, and a read sees every earlier commit of its own session. */
		| 'read_your_writes';

/** A logical database that clients connect to, served by a group of databases. */
export type SessionRoute = {
	readonly database: string;
	readonly group: string;
	readonly consistency: Consistency;
	/** Maximum staleness of reads, in milliseconds; 0 on `primary` routes. */
	readonly maxStalenessMs: number;
	/** Timeout of one statement, in milliseconds. */
	readonly timeoutMs: number;
	/** Target latency of an operation (a single statement or a transaction), in milliseconds. */
	readonly targetLatencyMs: number;
	/** Priority class; 0 is the most urgent. */
	readonly priority: number;
	/** Regions in which the statements of the route may be run; absent when every region is permitted. */
	readonly homes?: Homes;
	/** Whether clients may connect without an API key. */
	readonly isOpen: boolean;
};
