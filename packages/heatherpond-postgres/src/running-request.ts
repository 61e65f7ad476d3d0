/** State of a request in flight and of the upstream connection that is assigned to it. */
import type {
	Contract, DatabasePermit, Deadline, LogPosition, Member, Route,
} from 'heatherpond-core';
import type {ClientRequest} from './client-request.js';
import type {Cancellation} from './cancellation.js';
import type {ConnectionHandle} from './upstream-pools.js';

/** A request in flight, from its arrival until its outcome has been reported to the client. */
export type RunningRequest = {
	readonly requestId: string;
	readonly request: ClientRequest;
	readonly route: Route;
	readonly contract?: Contract;
	readonly deadline: Deadline;
	readonly cancellation: Cancellation;
	/** Whether the request was admitted under the team's limits; retries are not counted again. */
	wasAdmitted: boolean;
	/** Whether the request was sent on an upstream connection; after that it is never reported as "not run". */
	wasDispatched: boolean;
	/** Whether part of the response has been sent to the client; after that the request is not retried. */
	hasResponseStarted: boolean;
	/** Whether a read must go to the primary because a replica returned stale data. */
	needsPrimary: boolean;
	/** Number of unresponsive connections that were abandoned for this request. */
	abandonedConnections: number;
	/** Names of databases on which an attempt of this request failed; later attempts avoid them. */
	readonly failed: Set<string>;
};

/** An upstream connection that is assigned to a request or transaction, with its database and admission permit. */
export type ConnectionAssignment = {
	readonly handle: ConnectionHandle;
	readonly permit: DatabasePermit;
	readonly group: string;
	readonly member: Member;
	readonly isPrimary: boolean;
	/** Log position that every response must include. */
	readonly required?: LogPosition;
	/** Whether a request on this connection may have changed data since it was assigned. */
	mayHaveWritten: boolean;
	/** Whether responses were sent to the client, after a Flush, before the Sync that commits. */
	hasFlushed: boolean;
	/** Whether the transaction on this connection has failed, so that the database refuses all but its end. */
	hasFailed: boolean;
	/** Whether a statement that the proxy could not read may have left state on the connection, which is then not shared. */
	mayHoldState: boolean;
};
