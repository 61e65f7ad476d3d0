/**
 * Elects one host of each failure domain, the domain leader, to read the store; the other hosts of the domain request
 * changes from it. A wrong choice costs an additional call to the store but is always safe: a relayed page carries its age,
 * measured from before the leader sent its request to the store, and the receiver subtracts it from the time of its own
 * request.
 */
import type {Clock, Deadline, Instant} from 'heatherpond-core';
import type {HostContact} from './host-messages.js';
import {createStoreError, type StorePort, type TablePage} from './store-port.js';

/** Response of another host to a request for changes: the changes, or that it does not know them; `silent` when it did not respond in time. */
export type ChangesResponse = {readonly kind: 'page'; readonly page: TablePage} | {readonly kind: 'unknown'} | {readonly kind: 'silent'};

/** Requests the changes of a table after a version from another host. */
export type RequestChanges = (host: HostContact, request: {readonly table: string; readonly after: number}, deadline: Deadline) => Promise<ChangesResponse>;

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
/** Milliseconds within which the domain leader must respond to a request for a whole table, which may be long. */
const PEER_TABLE_TIMEOUT_MS = 400;
/** Milliseconds after the start of a host for which it waits until its leader, which may have started at the same time, has read a table. */
const LEADER_START_MS = 2500;

/** Another host of the same failure domain, and when it started. */
export type DomainPeer = HostContact & {readonly startedAt: Instant};

/** Finds the domain leader, which reads the store and decides on limits for the others; nothing when this host is the leader. */
export type FindDomainLeader = () => HostContact | undefined;

/** Minimum uptime in milliseconds of a domain leader, unless all hosts of the domain have started recently. */
const MIN_READER_UPTIME_MS = 2600;
/** Milliseconds between the starts of hosts that count as simultaneous. */
const SIMULTANEOUS_START_MS = 1000;

/** Selects the first host by name among those with sufficient uptime; nothing when that is this host. */
export function findDomainLeader(own: Pick<DomainPeer, 'host' | 'startedAt'>, peers: readonly DomainPeer[], now: Instant): HostContact | undefined {
	const firstStartedAt = Math.min(own.startedAt, ...peers.map(({startedAt}) => startedAt));
	const latestStartedAt = Math.max(now - MIN_READER_UPTIME_MS, firstStartedAt + SIMULTANEOUS_START_MS);
	const isCandidate = own.startedAt <= latestStartedAt;
	return peers
		.filter(({host, startedAt}) => startedAt <= latestStartedAt && (!isCandidate || host < own.host))
		.toSorted((left, right) => left.host < right.host ? -1 : 1)
		.at(0);
}

/** Creates a store port that reads tables and changes from the domain leader first, and from the store when the leader does not provide them. */
export function createDomainStore({store, clock, findDomainLeader: findLeader, requestChanges}: DomainStoreOptions): StorePort {
	const startedAt = clock.readNow();

	/** Reads from the domain leader; resolves to nothing when the store has to be read instead. */
	async function readFromLeader(table: string, after: number, timeoutMs: number): Promise<TablePage | undefined> {
		const leader = findLeader();
		const response = leader && await requestChanges(leader, {table, after}, clock.readNow() + timeoutMs);
		if (response?.kind === 'unknown' && clock.readNow() < startedAt + LEADER_START_MS) {
			throw createStoreError('domain leader has not read the table yet', 'unavailable');
		}

		return response?.kind === 'page' ? response.page : undefined;
	}

	return {
		...store,
		async readTable(table, deadline) {
			return await readFromLeader(table, 0, PEER_TABLE_TIMEOUT_MS) ?? store.readTable(table, deadline);
		},
		async readChanges(table, after, deadline) {
			return await readFromLeader(table, after, PEER_TIMEOUT_MS) ?? store.readChanges(table, after, deadline);
		},
	};
}
