/**
 * Decides how many units of a shared quantity the log entitles a host to.
 *
 * The whole is split among holders, chosen by rendezvous hashing over the registered hosts, in turn from each failure
 * domain. While a change of the registered hosts spreads, hosts know different versions of the log. So a host uses the
 * least of its shares over all versions that any host may still go by: then every share in use is at most the share at
 * the lowest of these versions, and those add up to the whole.
 */
import type {Instant} from './clock.js';
import type {FleetView, HostRecord} from './fleet-view.js';
import {HEARTBEAT_FAN_OUT, type PeerKnowledgeByHost} from './membership.js';
import {orderByRendezvous} from './rendezvous.js';

/** Milliseconds for which a host that cannot verify its view goes on using its share. */
export const FLOOR_LEASE_MS = 360_000;
/** Milliseconds by which others wait longer than that: clock rates, and loans that end after the share. */
const SHARE_LEASE_MARGIN_MS = 20_000;

/** One shared quantity. */
export type SharedSubject = {
	/** Such as `rate/durban`. */
	readonly key: string;
	readonly totalUnits: number;
	/** Hosts among which the whole is split at most. */
	readonly maxHolders: number;
};

/** Who asks for its share. */
export type ShareHolder = {readonly host: string; readonly incarnation: string; readonly peerAddress: string};

/** A version that some host may still go by. */
export type ActiveView = {
	readonly version: number;
	/** By name; the shares follow from them. */
	readonly hosts: FleetView['hosts'];
	/** Runs of hosts that may go by this version. */
	readonly runs: readonly HostRecord[];
	/** Hosts that others removed and that may go on by their leases; by incarnation. */
	readonly removedHosts: FleetView['removedHosts'];
	/** When this host learnt of it. */
	readonly knownAt: Instant;
};

/** Versions that some host may still go by, oldest first; the last one is this host's own. */
export type ViewWindow = readonly ActiveView[];

/** Orders registered hosts for a subject, in turn from each failure domain. */
export function orderHolders(hosts: FleetView['hosts'], key: string): string[] {
	const ordered = orderByRendezvous(Object.keys(hosts), key);
	const ranks = new Map<string, number>();
	const ranked = ordered.map((host, index) => {
		const {domain} = hosts[host]!;
		const rank = ranks.get(domain) ?? 0;
		ranks.set(domain, rank + 1);
		return {host, rank, index};
	});
	return ranked.toSorted((left, right) => left.rank - right.rank || left.index - right.index).map(item => item.host);
}

/**
 * Decides whether a run of a host stands in the place of a registered one: it is that run, or it listens at its address,
 * which shows that the registered one has ended.
 */
export function isInPlace(record: HostRecord | undefined, holder: ShareHolder): boolean {
	return record !== undefined && (record.incarnation === holder.incarnation || record.peerAddress === holder.peerAddress);
}

/** Counts the units that a set of registered hosts entitles one of them to. */
export function countShare(hosts: FleetView['hosts'], subject: SharedSubject, holder: ShareHolder): number {
	if (!isInPlace(hosts[holder.host], holder)) {
		return 0;
	}

	const holders = orderHolders(hosts, subject.key).slice(0, Math.max(1, subject.maxHolders));
	const index = holders.indexOf(holder.host);
	if (index === -1) {
		return 0;
	}

	return Math.floor(subject.totalUnits / holders.length) + (index < subject.totalUnits % holders.length ? 1 : 0);
}

/** Counts the units that a host may use while any version of the window may still be in use. */
export function countWindowShare(window: ViewWindow, subject: SharedSubject, holder: ShareHolder): number {
	return window.length === 0 ? 0 : Math.min(...window.map(known => countShare(known.hosts, subject, holder)));
}

/**
 * Starts the window of a host that sees its first view. Other hosts may go by older versions, so the window begins with
 * one that gives this host nothing.
 */
export function createViewWindow(view: FleetView, holder: ShareHolder, now: Instant): ViewWindow {
	const {[holder.host]: own, ...others} = view.hosts;
	const removed = Object.values(view.removedHosts);
	const previous: ActiveView = {
		version: 0, hosts: {...convertToHostsByName(removed), ...others}, runs: [...Object.values(others), ...removed], removedHosts: {}, knownAt: now,
	};
	return own ? [previous, createActiveView(view, now)] : [previous];
}

/**
 * Applies a newer view; only a change of the registered hosts makes a version of its own. A view that comes after
 * several entries may have passed over versions with hosts that were removed again: these stand in one version of all.
 */
export function applyViewToWindow(window: ViewWindow, view: FleetView, now: Instant): ViewWindow {
	if (window.at(-1)?.hosts === view.hosts) {
		return window;
	}

	const known = new Set(window.flatMap(item => item.runs.map(record => record.incarnation)));
	const skipped = Object.values(view.removedHosts).filter(record => !known.has(record.incarnation));
	const next = createActiveView(view, now);
	const intermediate: ActiveView = {...next, hosts: {...view.hosts, ...convertToHostsByName(skipped)}, runs: [...next.runs, ...skipped]};
	return skipped.length > 0 ? [...window, intermediate, next] : [...window, next];
}

function convertToHostsByName(records: readonly HostRecord[]): FleetView['hosts'] {
	return Object.fromEntries(records.map(record => [record.host, record]));
}

function createActiveView({version, hosts, removedHosts}: FleetView, knownAt: Instant): ActiveView {
	return {
		version, hosts, runs: Object.values(hosts), removedHosts, knownAt,
	};
}

/** What settling a window looks at. */
export type ConvergenceInput = {
	readonly window: ViewWindow;
	readonly peers: PeerKnowledgeByHost;
	/** Who decides. */
	readonly holder: ShareHolder;
	readonly now: Instant;
};

/** Drops the versions that no host goes by any more. */
export function decideSettledWindow(input: ConvergenceInput): ViewWindow {
	const {window} = input;
	const settled = window.findLastIndex((_known, index) => index > 0 && hasConverged(input, index));
	return settled > 0 ? window.slice(settled) : window;
}

/** Decides whether every host of the earlier versions has gone on to the one at `index`, or has lost its lease. */
function hasConverged({window, peers, holder, now}: ConvergenceInput, index: number): boolean {
	const known = window[index]!;
	const {hosts: current, removedHosts} = window.at(-1)!;
	const hasLapsed = now - known.knownAt >= FLOOR_LEASE_MS + SHARE_LEASE_MARGIN_MS;
	const isLarge = Object.keys(current).length > HEARTBEAT_FAN_OUT + 1;

	function hasMovedOn(record: HostRecord): boolean {
		const peer = peers[record.host];
		const hasComplied = peer?.incarnation === record.incarnation && peer.ledgerVersion >= known.version;
		// A process that listens at the address of an older run shows that the older run has ended.
		const isReplaced = peer?.peerAddress === record.peerAddress && peer.incarnation !== record.incarnation;
		const isRemoved = current[record.host]?.incarnation !== record.incarnation;
		const hasEnded = isRemoved && removedHosts[record.incarnation] === undefined;
		return isInPlace(record, holder) || hasComplied || isReplaced || hasEnded || (hasLapsed && (isRemoved || isLarge));
	}

	return window.slice(0, index).flatMap(item => item.runs).every(record => hasMovedOn(record));
}
