/**
 * Computes the units of a quota that the log entitles a host to.
 *
 * A quota is divided among holders, chosen by rendezvous hashing over the registered hosts in turn from each failure
 * domain. While a change of the registered hosts propagates, hosts apply different log versions. A host therefore uses
 * its smallest share over all versions that any host may still apply. Every share in use is then at most the share at
 * the lowest of these versions, and those shares add up to the whole quota.
 */
import type {Instant} from './clock.js';
import type {FleetView, HostRecord} from './fleet-view.js';
import {HEARTBEAT_FAN_OUT, type PeerStates} from './membership.js';
import {orderByRendezvous} from './rendezvous.js';

/** Milliseconds for which a host that cannot verify its view may go on using its share. */
export const SHARE_LEASE_MS = 360_000;
/**
 * Milliseconds by which other hosts wait longer than that lease, to cover differences in clock rates and loans that
 * outlast the share.
 */
const SHARE_LEASE_MARGIN_MS = 20_000;

/** A quota that hosts share. */
export type SharedQuota = {
	/** Name of the quota, for example `rate/durban`. */
	readonly key: string;
	readonly totalUnits: number;
	/** Largest number of hosts among which the quota is divided. */
	readonly maxHolders: number;
};

/** The process whose share is computed. */
export type ShareHolder = {readonly host: string; readonly incarnation: string; readonly peerAddress: string};

/** A log version that some host may still apply. */
export type ActiveView = {
	readonly version: number;
	/** Registered hosts by name; the shares are computed from them. */
	readonly hosts: FleetView['hosts'];
	/** Host processes that may apply this version. */
	readonly runs: readonly HostRecord[];
	/** Hosts removed by others, which may use their shares until their leases end; by incarnation. */
	readonly removedHosts: FleetView['removedHosts'];
	/** When this host learned of the version. */
	readonly knownAt: Instant;
};

/** Log versions that some host may still apply, oldest first; the last one is this host's own. */
export type ViewWindow = readonly ActiveView[];

/** Orders the registered hosts for a quota by rendezvous hashing, in turn from each failure domain. */
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
 * Returns whether a process is the registered one or its successor. A process that listens at the registered address is
 * a successor: the registered process must have ended.
 */
export function isSameOrSuccessor(record: HostRecord | undefined, holder: ShareHolder): boolean {
	return record !== undefined && (record.incarnation === holder.incarnation || record.peerAddress === holder.peerAddress);
}

/** Returns the units that a set of registered hosts entitles one of them to. */
export function countShare(hosts: FleetView['hosts'], subject: SharedQuota, holder: ShareHolder): number {
	if (!isSameOrSuccessor(hosts[holder.host], holder)) {
		return 0;
	}

	const holders = orderHolders(hosts, subject.key).slice(0, Math.max(1, subject.maxHolders));
	const index = holders.indexOf(holder.host);
	if (index === -1) {
		return 0;
	}

	return Math.floor(subject.totalUnits / holders.length) + (index < subject.totalUnits % holders.length ? 1 : 0);
}

/** Returns the units that a host may use while any version of the window may still be in use: its smallest share. */
export function countWindowShare(window: ViewWindow, subject: SharedQuota, holder: ShareHolder): number {
	return window.length === 0 ? 0 : Math.min(...window.map(known => countShare(known.hosts, subject, holder)));
}

/**
 * Creates the window of a host from its first view. Other hosts may still apply older versions, so the window starts
 * with a version in which this host has no share.
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
 * Applies a newer view; a version is added only if the registered hosts changed. A view that is several entries ahead
 * may have skipped versions with hosts that were removed again. One intermediate version with all of them stands for
 * the skipped versions.
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

/** Input of the convergence check. */
export type ConvergenceInput = {
	readonly window: ViewWindow;
	readonly peers: PeerStates;
	/** The process that decides. */
	readonly holder: ShareHolder;
	readonly now: Instant;
};

/** Drops the versions that no host applies any more. */
export function decideConvergedWindow(input: ConvergenceInput): ViewWindow {
	const {window} = input;
	const settled = window.findLastIndex((_known, index) => index > 0 && hasConverged(input, index));
	return settled > 0 ? window.slice(settled) : window;
}

/** Returns whether every host of the earlier versions applies the version at `index`, or has lost its lease. */
function hasConverged({window, peers, holder, now}: ConvergenceInput, index: number): boolean {
	const known = window[index]!;
	const {hosts: current, removedHosts} = window.at(-1)!;
	const hasLapsed = now - known.knownAt >= SHARE_LEASE_MS + SHARE_LEASE_MARGIN_MS;
	const isLarge = Object.keys(current).length > HEARTBEAT_FAN_OUT + 1;

	function hasMovedOn(record: HostRecord): boolean {
		const peer = peers[record.host];
		const hasComplied = peer?.incarnation === record.incarnation && peer.ledgerVersion >= known.version;
		// A process that listens at the address of an older one shows that the older one has ended.
		const isReplaced = peer?.peerAddress === record.peerAddress && peer.incarnation !== record.incarnation;
		const isRemoved = current[record.host]?.incarnation !== record.incarnation;
		const hasEnded = isRemoved && removedHosts[record.incarnation] === undefined;
		return isSameOrSuccessor(record, holder) || hasComplied || isReplaced || hasEnded || (hasLapsed && (isRemoved || isLarge));
	}

	return window.slice(0, index).flatMap(item => item.runs).every(record => hasMovedOn(record));
}
