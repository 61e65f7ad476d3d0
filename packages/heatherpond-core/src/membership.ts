/** Membership: which peers a host requests stamps from and sends heartbeats to, and which hosts are dead. */
import type {Instant} from './clock.js';
import type {FleetView, HostRecord} from './fleet-view.js';
import type {ListedHost} from './platform-port.js';
import {orderByRendezvous} from './rendezvous.js';

/** A host's knowledge of one peer from their exchanges. */
export type PeerState = {
	readonly host: string;
	readonly incarnation: string;
	readonly peerAddress: string;
	readonly domain: string;
	/** Version of the peer's view when it last sent a request or a response. */
	readonly version: number;
	/** Latest log version that the peer's quota allotments reflected at that time. */
	readonly ledgerVersion: number;
	/** When the last request was sent to which the peer responded; `-Infinity` when it has not responded. */
	readonly answeredAt: Instant;
	/** When the peer last sent a request or a response. */
	readonly heardAt: Instant;
	/** Consecutive requests without a response. */
	readonly failures: number;
};

export type PeerStates = Readonly<Record<string, PeerState>>;

/**
 * Failure domains of up to this many hosts have one host that reads the platform; larger ones have
 * `LARGE_DOMAIN_READERS`.
 */
const SMALL_DOMAIN_HOSTS = 8;
const LARGE_DOMAIN_READERS = 2;
/** Number of hosts of a failure domain that request stamps from the same parent in its tree. */
const STAMP_TREE_FAN_OUT = 4;
/** Consecutive requests without a response after which a peer counts as unresponsive. */
export const UNRESPONSIVE_AFTER_FAILURES = 3;
/** Milliseconds without contact before which a host never counts as dead; see `findDeadHosts`. */
export const DEAD_AFTER_MS = 3000;

/** Where a host gets its stamp from: the platform, or peers, in order of preference. */
export type StampSource
	= | {readonly kind: 'platform'}
		| {readonly kind: 'peers'; readonly candidates: readonly HostRecord[]};

/** Input of the choice of a source. */
export type StampSourceInput = {
	readonly view: FleetView;
	readonly host: string;
	readonly domain: string;
	readonly isUnresponsive: (host: string) => boolean;
};

/**
 * Decides where a host gets its stamp from. The live hosts of a failure domain form a tree in the order of
 * rendezvous hashing, a fixed order by a hash of purpose and name: the first one or two read the platform, and every
 * other host requests from its parent. A host that is not in the view reads the platform itself.
 */
export function decideStampSource(input: StampSourceInput): StampSource {
	const {view, host, domain, isUnresponsive} = input;
	const names = Object.values(view.hosts).filter(record => record.domain === domain && (record.host === host || !isUnresponsive(record.host))).map(record => record.host);
	const ordered = orderByRendezvous(names, `readers/${domain}`);
	const readers = names.length <= SMALL_DOMAIN_HOSTS ? 1 : LARGE_DOMAIN_READERS;
	const index = ordered.indexOf(host);
	if (index < readers) {
		return {kind: 'platform'};
	}

	const parent = Math.floor((index - readers) / STAMP_TREE_FAN_OUT);
	return {kind: 'peers', candidates: [view.hosts[ordered[parent]!]!]};
}

/** Returns peers of other failure domains to request from when neither the platform nor the own domain responds. */
export function findFallbackPeers(input: StampSourceInput, count: number): HostRecord[] {
	const {view, host, domain, isUnresponsive} = input;
	const names = Object.values(view.hosts).filter(record => record.host !== host && record.domain !== domain && !isUnresponsive(record.host)).map(record => record.host);
	return orderByRendezvous(names, `relays/${host}`).slice(0, count).map(name => view.hosts[name]!);
}

/** Number of peers to which a host sends heartbeats; as many peers send heartbeats to it. */
export const HEARTBEAT_FAN_OUT = 16;

/**
 * Returns the peers to which a host sends heartbeats: its successors in a fixed hash order, which continues from the
 * last host to the first. In fleets of up to
 * `HEARTBEAT_FAN_OUT + 1` hosts these are all others; in larger fleets the cost per host does not grow with the fleet.
 */
export function findHeartbeatPeers(view: FleetView, host: string): HostRecord[] {
	const ring = orderByRendezvous([...new Set([...Object.keys(view.hosts), host])], 'ring');
	const index = ring.indexOf(host);
	return [...ring.slice(index + 1), ...ring.slice(0, index)].slice(0, HEARTBEAT_FAN_OUT).map(name => view.hosts[name]!);
}

/**
 * Returns the peer that gets the next heartbeat: the one to which this host sent its last request the longest ago.
 *
 * @param requestedAt - when the last request was sent to each peer, by host name
 */
export function decideHeartbeatTarget(heartbeatPeers: readonly HostRecord[], requestedAt: ReadonlyMap<string, Instant>): HostRecord | undefined {
	return heartbeatPeers
		.toSorted((left, right) => (requestedAt.get(left.host) ?? Number.NEGATIVE_INFINITY) - (requestedAt.get(right.host) ?? Number.NEGATIVE_INFINITY))
		.at(0);
}

/**
 * Returns the responsive heartbeat peers whose allotments are not known to reflect the newest host registration yet;
 * an exchange of stamps with them lets the hosts agree on each host's share of the quotas.
 */
export function findLaggingPeers(view: FleetView, heartbeatPeers: readonly HostRecord[], peers: PeerStates): HostRecord[] {
	const newest = Math.max(0, ...Object.values(view.hosts).map(record => record.version));
	return heartbeatPeers.filter(record => {
		const peer = peers[record.host];
		return !isPeerUnresponsive(peers, record.host) && !(peer?.incarnation === record.incarnation && peer.ledgerVersion >= newest);
	});
}

/** What a single exchange tells about a peer. */
export type PeerContact = Omit<PeerState, 'answeredAt' | 'heardAt' | 'failures'>;

/**
 * Records an exchange with a peer.
 *
 * @param requestedAt - when this host sent the request to which the peer responded; absent when the peer sent the
 * request
 */
export function applyPeerContact(peers: PeerStates, contact: PeerContact, now: Instant, requestedAt?: Instant): PeerStates {
	const known = peers[contact.host];
	const isSameIncarnation = known?.incarnation === contact.incarnation;
	const answeredAt = Math.max(requestedAt ?? Number.NEGATIVE_INFINITY, isSameIncarnation ? known.answeredAt : Number.NEGATIVE_INFINITY);
	const failures = requestedAt === undefined && isSameIncarnation ? known.failures : 0;
	return {
		...peers, [contact.host]: {
			...contact, answeredAt, heardAt: now, failures,
		},
	};
}

/** Records a request to which a peer did not respond. */
export function applyPeerTimeout(peers: PeerStates, record: HostRecord, now: Instant): PeerStates {
	const known = peers[record.host];
	const base: PeerState = known?.incarnation === record.incarnation
		? known
		: {
			host: record.host, incarnation: record.incarnation, peerAddress: record.peerAddress, domain: record.domain, version: 0, ledgerVersion: 0, answeredAt: Number.NEGATIVE_INFINITY, heardAt: now, failures: 0,
		};
	return {...peers, [record.host]: {...base, failures: base.failures + 1}};
}

/** Returns whether a peer counts as unresponsive. */
export function isPeerUnresponsive(peers: PeerStates, host: string): boolean {
	return (peers[host]?.failures ?? 0) >= UNRESPONSIVE_AFTER_FAILURES;
}

/** Input of the search for dead hosts. */
export type DeadHostsInput = {
	readonly view: FleetView;
	readonly host: string;
	readonly peers: PeerStates;
	readonly listed: readonly ListedHost[];
	readonly now: Instant;
};

/**
 * Returns the registered hosts that are dead: the platform lists no live host with their name and address, at least
 * `UNRESPONSIVE_AFTER_FAILURES` consecutive requests of this host to their registered incarnation had no response, and
 * this host has had no contact with them for `DEAD_AFTER_MS`.
 */
export function findDeadHosts({view, host, peers, listed, now}: DeadHostsInput): HostRecord[] {
	const live = new Set(listed.filter(item => item.state === 'live').map(item => `${item.host} ${item.peerAddress}`));
	return Object.values(view.hosts).filter(record => {
		const peer = peers[record.host];
		const isUnresponsivePeer = peer?.incarnation === record.incarnation && peer.failures >= UNRESPONSIVE_AFTER_FAILURES && now - peer.heardAt >= DEAD_AFTER_MS;
		return record.host !== host && !live.has(`${record.host} ${record.peerAddress}`) && isUnresponsivePeer;
	});
}

/** Returns whether the log registers this incarnation of the host. */
export function isRegistered(view: FleetView, host: string, incarnation: string): boolean {
	return view.hosts[host]?.incarnation === incarnation;
}

/** Bounds of the interval between stamp requests, in milliseconds. */
const MIN_REFRESH_INTERVAL_MS = 200;
const MAX_REFRESH_INTERVAL_MS = 1000;
/** Largest number of hosts of a failure domain that still use the shortest interval. */
const HOSTS_AT_MIN_INTERVAL = 16;

/**
 * Returns the interval between stamp requests in milliseconds. Large failure domains, whose stamps are relayed through
 * a tree, use longer intervals.
 */
export function decideStampInterval(view: FleetView, domain: string): number {
	const hosts = Object.values(view.hosts).filter(record => record.domain === domain).length;
	return Math.min(MAX_REFRESH_INTERVAL_MS, Math.max(MIN_REFRESH_INTERVAL_MS, MIN_REFRESH_INTERVAL_MS * hosts / HOSTS_AT_MIN_INTERVAL));
}

/** Shortest interval between a host's reports to the platform, in milliseconds. */
const MIN_REPORT_INTERVAL_MS = 1000;
/** Reports per second that the platform's host list accepts from the whole fleet. */
const REPORTS_PER_SECOND = 100;

/**
 * Returns the interval between a host's reports to the platform in milliseconds, which keeps the fleet's total report
 * rate bounded.
 */
export function decideReportInterval(hosts: number): number {
	return Math.max(MIN_REPORT_INTERVAL_MS, hosts * 1000 / REPORTS_PER_SECOND);
}
