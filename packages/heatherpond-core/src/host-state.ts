/** The state of one host, which its controllers read and update on the blackboard. */
import {createBlackboard, type Blackboard} from './blackboard.js';
import type {Instant} from './clock.js';
import {EMPTY_FLEET_VIEW, type FleetView} from './fleet-view.js';
import type {LogEntry} from './log-entry.js';
import type {PeerStates} from './membership.js';
import {UNVERIFIED_STAMP, type Stamp} from './stamp.js';
import type {DatabaseStatus} from './upstream-port.js';

/** Identity of this host. */
export type HostIdentity = {
	readonly host: string;
	/** Unique to each start of the process. */
	readonly incarnation: string;
	readonly domain: string;
	/** Deployment that the host belongs to; requests of hosts of other deployments are refused. */
	readonly deployment: string;
	readonly peerAddress: string;
};

/** Lifecycle phase of the process. */
export type HostPhase = 'starting' | 'serving' | 'draining' | 'stopped';

/** This host's knowledge of one database. */
export type DatabaseState = {
	readonly group: string;
	readonly name: string;
	/** Status from the last successful probe; statement responses advance its `last` point. */
	readonly status?: DatabaseStatus;
	/** When the request was sent that `status` answers. */
	readonly readAt: Instant;
	/** Consecutive failed probes. */
	readonly failures: number;
};

/** Complete state of one host. */
export type HostState = {
	readonly identity: HostIdentity;
	readonly phase: HostPhase;
	readonly view: FleetView;
	readonly stamp: Stamp;
	/** The most recently applied entries, oldest first, served to peers that are slightly behind. */
	readonly recentEntries: readonly LogEntry[];
	/** State of the peers, by host name. */
	readonly peers: PeerStates;
	/** Log version that this host's allotments comply with. */
	readonly ledgerVersion: number;
	/** State of the databases, by `group/database`. */
	readonly databases: Readonly<Record<string, DatabaseState>>;
};

export type HostBlackboard = Blackboard<HostState>;

/** Formats the key of a database in the host state. */
export function formatDatabaseKey(group: string, database: string): string {
	return `${group}/${database}`;
}

/** Creates the blackboard of a host that has no knowledge yet. */
export function createHostBlackboard(identity: HostIdentity): HostBlackboard {
	return createBlackboard<HostState>({
		identity,
		phase: 'starting',
		view: EMPTY_FLEET_VIEW,
		stamp: UNVERIFIED_STAMP,
		recentEntries: [],
		peers: {},
		ledgerVersion: 0,
		databases: {},
	});
}
