/** Decides whom a host asks for stamps and heartbeats, and which hosts are dead. */
import type {Instant} from './clock.js';
import type {FleetView, HostRecord} from './fleet-view.js';
import type {ListedHost} from './platform-port.js';
import {orderByRendezvous} from './rendezvous.js';

/** What a host knows of one peer from their exchanges. */
export type PeerState = {
	readonly host: string;
	readonly incarnation: string;
	readonly peerAddress: string;
	readonly domain: string;
	/** Version of the peer's view when it last answered or asked. */
	readonly version: number;
	/** Version with which the peer's allotments then complied. */
	readonly ledgerVersion: number;
	/** When the last question was sent that the peer answered; `-Infinity` when it answered none. */
	readonly answeredAt: Instant;
	/** When the peer last answered or asked. */
	readonly heardAt: Instant;
	/** Questions in a row that the peer left unanswered. */
	readonly failures: number;
};

export type PeerKnowledgeByHost = Readonly<Record<string, PeerState>>;

/** Domains of up to this many hosts have one reader of the platform. */
const SMALL_DOMAIN_HOSTS = 8;
const LARGE_DOMAIN_READERS = 2;
/** Peers of a domain that ask the same host for its stamp. */
const RELAY_FAN_OUT = 4;
/** Unanswered questions in a row after which a peer counts as silent. */
export const UNRESPONSIVE_AFTER_FAILURES = 3;
/** Milliseconds without a word after which a host that the platform no longer lists as live counts as dead. */
export const DEAD_AFTER_MS = 3000;

/** Where a host takes its stamp from: the platform, or hosts to ask in this order. */
export type StampSource
	= | {readonly kind: 'platform'}
		| {readonly kind: 'peers'; readonly candidates: readonly HostRecord[]};

/** What the choice of a source looks at. */
export type StampSourceInput = {
	readonly view: FleetView;
	readonly host: string;
	readonly domain: string;
	readonly isSilent: (host: string) => boolean;
};

/**
 * Decides where a host takes its stamp from. The live hosts of a domain form a tree in rendezvous order: the first one
 * or two read the platform, each other one asks its parent. A host that no view knows reads the platform itself.
 */
export function decideStampSource(input: StampSourceInput): StampSource {
	const {view, host, domain, isSilent} = input;
	const names = Object.values(view.hosts).filter(record => record.domain === domain && (record.host === host || !isSilent(record.host))).map(record => record.host);
	const ordered = orderByRendezvous(names, `readers/${domain}`);
	const readers = names.length <= SMALL_DOMAIN_HOSTS ? 1 : LARGE_DOMAIN_READERS;
	const index = ordered.indexOf(host);
	if (index < readers) {
		return {kind: 'platform'};
	}

	const parent = Math.floor((index - readers) / RELAY_FAN_OUT);
	return {kind: 'peers', candidates: [view.hosts[ordered[parent]!]!]};
}

/** Finds peers of other domains that a host asks when neither the platform nor its own domain answers. */
export function findRelays(input: StampSourceInput, count: number): HostRecord[] {
	const {view, host, domain, isSilent} = input;
	const names = Object.values(view.hosts).filter(record => record.host !== host && record.domain !== domain && !isSilent(record.host)).map(record => record.host);
	return orderByRendezvous(names, `relays/${host}`).slice(0, count).map(name => view.hosts[name]!);
}

/** Peers to which one host sends heartbeats; each host is watched by as many. */
export const HEARTBEAT_FAN_OUT = 16;

/**
 * Finds the peers to which a host sends heartbeats: its successors on a ring in the order of hashes. Fleets of up to
 * `HEARTBEAT_FAN_OUT + 1` hosts hear each other in full; in larger ones the cost of a host does not grow with the fleet.
 */
export function findWatchedHosts(view: FleetView, host: string): HostRecord[] {
	const ring = orderByRendezvous([...new Set([...Object.keys(view.hosts), host])], 'ring');
	const index = ring.indexOf(host);
	return [...ring.slice(index + 1), ...ring.slice(0, index)].slice(0, HEARTBEAT_FAN_OUT).map(name => view.hosts[name]!);
}

/**
 * Decides which of the watched peers gets the next heartbeat: the one asked longest ago.
 *
 * @param requestedAt - when each peer was last asked, by name
 */
export function decideHeartbeatTarget(watched: readonly HostRecord[], requestedAt: ReadonlyMap<string, Instant>): HostRecord | undefined {
	return watched
		.toSorted((left, right) => (requestedAt.get(left.host) ?? Number.NEGATIVE_INFINITY) - (requestedAt.get(right.host) ?? Number.NEGATIVE_INFINITY))
		.at(0);
}

/** Finds the watched peers that may not go by the newest registration yet; hearing them settles the shares. */
export function findUnsettledPeers(view: FleetView, watched: readonly HostRecord[], peers: PeerKnowledgeByHost): HostRecord[] {
	const newest = Math.max(0, ...Object.values(view.hosts).map(record => record.version));
	return watched.filter(record => {
		const peer = peers[record.host];
		return !isPeerSilent(peers, record.host) && !(peer?.incarnation === record.incarnation && peer.ledgerVersion >= newest);
	});
}

/** What one exchange with a peer showed. */
export type PeerContact = Omit<PeerState, 'answeredAt' | 'heardAt' | 'failures'>;

/**
 * Applies an exchange with a peer.
 *
 * @param requestedAt - when this host sent the question that the peer answered; absent when the peer asked
 */
export function applyPeerHeard(peers: PeerKnowledgeByHost, heard: PeerContact, now: Instant, requestedAt?: Instant): PeerKnowledgeByHost {
	const known = peers[heard.host];
	const isSameRun = known?.incarnation === heard.incarnation;
	const answeredAt = Math.max(requestedAt ?? Number.NEGATIVE_INFINITY, isSameRun ? known.answeredAt : Number.NEGATIVE_INFINITY);
	const failures = requestedAt === undefined && isSameRun ? known.failures : 0;
	return {
		...peers, [heard.host]: {
			...heard, answeredAt, heardAt: now, failures,
		},
	};
}

/** Applies a question that a peer left unanswered. */
export function applyPeerSilence(peers: PeerKnowledgeByHost, record: HostRecord, now: Instant): PeerKnowledgeByHost {
	const known = peers[record.host];
	const base: PeerState = known?.incarnation === record.incarnation
		? known
		: {
			host: record.host, incarnation: record.incarnation, peerAddress: record.peerAddress, domain: record.domain, version: 0, ledgerVersion: 0, answeredAt: Number.NEGATIVE_INFINITY, heardAt: now, failures: 0,
		};
	return {...peers, [record.host]: {...base, failures: base.failures + 1}};
}

/** Decides whether a peer counts as silent. */
export function isPeerSilent(peers: PeerKnowledgeByHost, host: string): boolean {
	return (peers[host]?.failures ?? 0) >= UNRESPONSIVE_AFTER_FAILURES;
}

/** What the search for dead hosts looks at. */
export type DeadHostsInput = {
	readonly view: FleetView;
	readonly host: string;
	readonly peers: PeerKnowledgeByHost;
	readonly listed: readonly ListedHost[];
	readonly now: Instant;
};

/** Finds registered hosts that are dead: the platform lists no live host at their address and they are silent here. */
export function findDeadHosts({view, host, peers, listed, now}: DeadHostsInput): HostRecord[] {
	const live = new Set(listed.filter(item => item.state === 'live').map(item => `${item.host} ${item.peerAddress}`));
	return Object.values(view.hosts).filter(record => {
		const peer = peers[record.host];
		const isSilentPeer = peer?.incarnation === record.incarnation && peer.failures >= UNRESPONSIVE_AFTER_FAILURES && now - peer.heardAt >= DEAD_AFTER_MS;
		return record.host !== host && !live.has(`${record.host} ${record.peerAddress}`) && isSilentPeer;
	});
}

/** Decides whether the log names this very run of the host. */
export function isRegistered(view: FleetView, host: string, incarnation: string): boolean {
	return view.hosts[host]?.incarnation === incarnation;
}

/** Milliseconds between two questions for a stamp. */
const MIN_REFRESH_INTERVAL_MS = 200;
const MAX_REFRESH_INTERVAL_MS = 1000;
/** Hosts of a domain up to which stamps are asked for at the shortest interval. */
const HOSTS_AT_MIN_INTERVAL = 16;

/** Decides how many milliseconds lie between two questions: large domains, whose stamps come through a tree, ask less often. */
export function decideAskInterval(view: FleetView, domain: string): number {
	const hosts = Object.values(view.hosts).filter(record => record.domain === domain).length;
	return Math.min(MAX_REFRESH_INTERVAL_MS, Math.max(MIN_REFRESH_INTERVAL_MS, MIN_REFRESH_INTERVAL_MS * hosts / HOSTS_AT_MIN_INTERVAL));
}

/** Milliseconds between two reports of one host to the platform, while the fleet is small. */
const MIN_REPORT_INTERVAL_MS = 1000;
/** Reports that the platform's list takes a second from the whole fleet. */
const REPORTS_PER_SECOND = 100;

/** Decides how long a host waits between two reports to the platform's list, so that the fleet's reports stay bounded. */
export function decideReportInterval(hosts: number): number {
	return Math.max(MIN_REPORT_INTERVAL_MS, hosts * 1000 / REPORTS_PER_SECOND);
}
