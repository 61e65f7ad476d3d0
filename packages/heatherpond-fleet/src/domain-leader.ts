/**
 * Elects one host of each failure domain, the domain leader; the other hosts of the domain request changes of the store from
 * it, and the leaders from the leader of the first domain by name, which reads the store. A wrong choice costs an additional
 * call to the store but is always safe: a relayed page carries its age, measured from before the leader sent its request to
 * the store, and the receiver subtracts it from the time of its own request.
 */
import {
	waitUntil, type Clock, type Deadline, type Instant,
} from 'heatherpond-core';
import type {HostContact} from './host-message.js';
import {StoreError, type StorePort, type TablePage} from './store-port.js';
import type {CachedChanges} from './table-cache.js';

/** Response of another host to a request for changes; `silent` when it did not respond in time. */
export type ChangesResponse = CachedChanges | {readonly kind: 'silent'};

/** Requests the changes of a table after a version from another host. */
export type RequestChanges = (host: HostContact, request: ChangesRequest, deadline: Deadline) => Promise<ChangesResponse>;

/** Request for the changes of a table after a version, or for the whole table after version 0. */
export type ChangesRequest = {readonly table: string; readonly after: number};

/** Dependencies of the domain store. */
export type DomainStoreOptions = {
	readonly store: StorePort;
	readonly clock: Clock;
	/** Finds the domain leader; nothing when this host is the leader. */
	readonly findDomainLeader: FindDomainLeader;
	/** Failure domain of this host. */
	readonly domain: string;
	/** Reads the leaders of the other domains that have verified what they know recently, in the order of their domains. */
	readonly readOtherLeaders: () => readonly HostContact[];
	readonly requestChanges: RequestChanges;
	/** Whether a page is of an earlier era of the store than one that this host has seen. */
	readonly isOutdated: (version: number) => boolean;
	/** Whether a table must be read from the store itself, because a relayed page would be too old. */
	readonly isStoreRequired: (table: string) => boolean;
	readonly signal: AbortSignal;
};

/** Milliseconds within which another host must respond before the next one, or the store, is asked. */
const PEER_TIMEOUT_MS = 120;
/** Milliseconds within which another host must respond to a request for a whole table, which may be long. */
const PEER_TABLE_TIMEOUT_MS = 400;
/** Milliseconds for which a host that did not respond is not asked again. */
const SILENT_HOST_BACKOFF_MS = 1000;
/** Milliseconds for which a host that has just started waits until its leader, which may have started at the same time, has read the tables. */
const LEADER_START_WAIT_MS = 300;
/** Milliseconds between requests to a leader that has not read a table yet. */
const LEADER_START_INTERVAL_MS = 40;

/** Another host of the same failure domain, and when it started. */
export type DomainPeer = HostContact & {readonly startedAt: Instant};

/** Finds the domain leader, which reads tables and decides on limits for the others; nothing when this host is the leader. */
export type FindDomainLeader = () => HostContact | undefined;

/** Minimum uptime in milliseconds of a domain leader, unless all hosts of the domain have started recently. */
export const MIN_LEADER_UPTIME_MS = 2600;
/** Milliseconds between the starts of hosts that count as simultaneous; a host that started earlier has read the tables first. */
const SIMULTANEOUS_START_MS = 50;

/** Selects the first host by name among those with sufficient uptime; nothing when that is this host. */
export function findDomainLeader(own: Pick<DomainPeer, 'host' | 'startedAt'>, peers: readonly DomainPeer[], now: Instant): HostContact | undefined {
	const firstStartedAt = Math.min(own.startedAt, ...peers.map(({startedAt}) => startedAt));
	const latestStartedAt = Math.max(now - MIN_LEADER_UPTIME_MS, firstStartedAt + SIMULTANEOUS_START_MS);
	const isCandidate = own.startedAt <= latestStartedAt;
	return peers
		.filter(({host, startedAt}) => startedAt <= latestStartedAt && (!isCandidate || host < own.host))
		.toSorted((left, right) => left.host < right.host ? -1 : 1)
		.at(0);
}

/**
 * Creates a store port that asks other hosts before it calls the store: a host asks the leader of its domain, and the leaders
 * ask one of them. When the store does not respond either, the leaders of other domains are asked, which may still reach it.
 */
export function createDomainStore({store, clock, domain: ownDomain, findDomainLeader: findLeader, readOtherLeaders, requestChanges, isOutdated, isStoreRequired, signal}: DomainStoreOptions): StorePort {
	/** Until when this host waits for a leader that has not read the tables yet; set by the first request. */
	let leaderWaitUntil: Deadline | undefined;
	/** By host: until when it is not asked, because it did not respond. */
	const backoffUntil = new Map<string, Instant>();

	async function readFromHost(host: HostContact, request: ChangesRequest): Promise<ChangesResponse> {
		const response = await requestChanges(host, request, clock.readNow() + (request.after === 0 ? PEER_TABLE_TIMEOUT_MS : PEER_TIMEOUT_MS));
		if (response.kind === 'page' && isOutdated(response.page.version)) {
			return {kind: 'unread'};
		}

		if (response.kind === 'silent') {
			backoffUntil.set(host.host, clock.readNow() + SILENT_HOST_BACKOFF_MS);
		}

		return response;
	}

	/** Asks the hosts one after the other until one of them knows the changes. */
	async function readFromHosts(hosts: readonly HostContact[], request: ChangesRequest): Promise<TablePage | undefined> {
		const host = hosts.find(({host: name}) => clock.readNow() >= (backoffUntil.get(name) ?? Number.NEGATIVE_INFINITY));
		if (!host) {
			return undefined;
		}

		const response = await readFromHost(host, request);
		if (response.kind === 'unread' && host.host === findLeader()?.host && clock.readNow() < leaderWaitUntil!) {
			await waitUntil(clock, clock.readNow() + LEADER_START_INTERVAL_MS, signal);
			return readFromHosts(findNearerHosts(), request);
		}

		return response.kind === 'page' ? response.page : readFromHosts(hosts.slice(hosts.indexOf(host) + 1), request);
	}

	/** Finds the hosts that are asked before the store. */
	function findNearerHosts(): readonly HostContact[] {
		const leader = findLeader();
		const [first] = readOtherLeaders();
		if (leader) {
			return first ? [leader, first] : [leader];
		}

		return first && first.domain < ownDomain ? [first] : [];
	}

	async function read(request: ChangesRequest, readStore: () => Promise<TablePage>): Promise<TablePage> {
		leaderWaitUntil ??= clock.readNow() + LEADER_START_WAIT_MS;
		const isRequired = isStoreRequired(request.table);
		const page = isRequired ? undefined : await readFromHosts(findNearerHosts(), request);
		if (page) {
			return page;
		}

		try {
			return await readStore();
		} catch (error) {
			const other = error instanceof StoreError && error.failure !== 'history_lost'
				? await readFromHosts([...(isRequired ? findNearerHosts() : []), ...readOtherLeaders()], request)
				: undefined;
			if (other) {
				return other;
			}

			throw error;
		}
	}

	return {
		...store,
		readTable: async (table, deadline) => read({table, after: 0}, async () => store.readTable(table, deadline)),
		readChanges: async (table, after, deadline) => read({table, after}, async () => store.readChanges(table, after, deadline)),
	};
}
