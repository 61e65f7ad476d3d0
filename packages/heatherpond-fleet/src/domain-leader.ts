/**
 * Elects one host of each failure domain, the domain leader, to read the store; the other hosts of the domain request
 * changes from it. A wrong choice costs an additional call to the store but is always safe: a relayed page carries its age,
 * measured from before the leader sent its request to the store, and the receiver subtracts it from the time of its own
 * request.
 */
import type {Clock, Deadline, Instant} from 'heatherpond-core';
import type {HostRecord} from './fleet-records.js';
import type {StorePort, TablePage} from './store-port.js';

/** Requests the changes of a table after a version from another host; resolves to nothing when it cannot provide them. */
export type RequestChanges = (host: HostRecord, request: {readonly table: string; readonly after: number}, deadline: Deadline) => Promise<TablePage | undefined>;

/** Dependencies of the domain store. */
export type DomainStoreOptions = {
	readonly store: StorePort;
	readonly clock: Clock;
	/** Finds the domain leader; nothing when this host is the leader. */
	readonly findDomainLeader: FindDomainLeader;
	readonly requestChanges: RequestChanges;
};

/** Milliseconds within which the domain leader must respond before the store is read instead. */
const PEER_TIMEOUT_MS = 120;

/** Another host of the same failure domain, and when it started. */
export type DomainPeer = HostRecord & {readonly startedAt: Instant};

/** Finds the domain leader, which reads the store and decides on limits for the others; nothing when this host is the leader. */
export type FindDomainLeader = () => HostRecord | undefined;

/** Minimum uptime in milliseconds of a domain leader, unless all hosts of the domain have started recently. */
const MIN_READER_UPTIME_MS = 2600;
/** Milliseconds between the starts of hosts that count as simultaneous. */
const SIMULTANEOUS_START_MS = 1000;

/** Selects the first host by name among those with sufficient uptime; nothing when that is this host. */
export function findDomainLeader(own: Pick<DomainPeer, 'host' | 'startedAt'>, peers: readonly DomainPeer[], now: Instant): HostRecord | undefined {
	const firstStartedAt = Math.min(own.startedAt, ...peers.map(({startedAt}) => startedAt));
	const latestStartedAt = Math.max(now - MIN_READER_UPTIME_MS, firstStartedAt + SIMULTANEOUS_START_MS);
	const isCandidate = own.startedAt <= latestStartedAt;
	return peers
		.filter(({host, startedAt}) => startedAt <= latestStartedAt && (!isCandidate || host < own.host))
		.toSorted((left, right) => left.host < right.host ? -1 : 1)
		.at(0);
}

/** Creates a store port that requests changes from the domain leader first, and from the store when the leader does not provide them. */
export function createDomainStore({store, clock, findDomainLeader: findLeader, requestChanges}: DomainStoreOptions): StorePort {
	return {
		...store,
		async readChanges(table, after, deadline) {
			const leader = findLeader();
			const response = leader && await requestChanges(leader, {table, after}, clock.readNow() + PEER_TIMEOUT_MS);
			return response ?? store.readChanges(table, after, deadline);
		},
	};
}
