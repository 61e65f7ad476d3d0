/**
 * Keeps the view complete and its freshness stamp recent. A few hosts of each failure domain read from the platform; the
 * others read from those hosts.
 */
import {setImmediate} from 'node:timers/promises';
import {
	applyLogEntry, createPlatformStamp, decideStampInterval, decideNewerStamp, decideStampSource, findFallbackPeers, isPeerUnresponsive, PortError, readStampAge, waitUntil,
	type Clock, type FleetView, type HostBlackboard, type LogEntry, type PlatformPort, type RecordEvent, type StampSourceInput,
} from 'heatherpond-core';
import type {RequestStamp} from './peer-exchange.js';

/** Dependencies of a single read of the log. */
export type LogReadOptions = {
	readonly blackboard: HostBlackboard;
	readonly platform: PlatformPort;
	readonly clock: Clock;
	readonly recordEvent: RecordEvent;
	readonly signal: AbortSignal;
};

/** Dependencies of the log follower. */
export type LogFollowerOptions = LogReadOptions & {
	readonly requestStamp: RequestStamp;
};

const CALL_TIMEOUT_MS = 5000;
/** Maximum number of entries applied in one turn of the event loop. */
const ENTRIES_PER_BATCH = 16;
/** Number of recent entries kept for peers that lag behind slightly. */
const MAX_RECENT_ENTRIES = 256;
/** Number of request intervals without a newer stamp after which fallback sources are used as well. */
const MAX_STAMP_AGE_INTERVALS = 3;
/** Number of peers in other failure domains to which requests fall back. */
const FALLBACK_PEERS = 2;

/** Applies the entries that directly follow the view. Entries that the view already contains are skipped. */
export function applyEntries(blackboard: HostBlackboard, entries: readonly LogEntry[], recordEvent: RecordEvent): void {
	const known = blackboard.read().view.version;
	blackboard.update(state => {
		const view = entries.reduce((current, entry) => entry.version === current.version + 1 ? applyLogEntry(current, entry) : current, state.view);
		const applied = entries.filter(entry => entry.version > state.view.version && entry.version <= view.version);
		return view === state.view ? state : {...state, view, recentEntries: [...state.recentEntries, ...applied].slice(-MAX_RECENT_ENTRIES)};
	});
	const reached = blackboard.read().view.version;
	entries.filter(entry => entry.version > known && entry.version <= reached).forEach(entry => {
		recordEvent('entryApplied', {version: entry.version, step: entry.change.kind});
	});
}

/** Applies entries in small batches and yields to the event loop in between, so that client sessions are not delayed. */
async function applyInBatches(options: LogReadOptions, entries: readonly LogEntry[]): Promise<void> {
	applyEntries(options.blackboard, entries.slice(0, ENTRIES_PER_BATCH), options.recordEvent);
	if (entries.length > ENTRIES_PER_BATCH) {
		await setImmediate();
		await applyInBatches(options, entries.slice(ENTRIES_PER_BATCH));
	}
}

/** Replaces the view by the complete view of a peer if that is newer. */
export function applyFullView(blackboard: HostBlackboard, view: FleetView, recordEvent: RecordEvent): void {
	if (view.version > blackboard.read().view.version) {
		blackboard.update(state => ({...state, view, recentEntries: []}));
		recordEvent('snapshotLoaded', {version: view.version});
	}
}

/** Reads the log once. Resolves with whether the platform responded. */
export async function readLogOnce(options: LogReadOptions): Promise<boolean> {
	const {blackboard, platform, clock, signal} = options;
	try {
		const requestedAt = clock.readNow();
		const from = blackboard.read().view.version;
		const page = await platform.readEntries(from, {deadline: requestedAt + CALL_TIMEOUT_MS, signal});
		await applyInBatches(options, page.entries);
		const reached = page.entries.at(-1)?.version ?? from;
		if (page.isComplete && blackboard.read().view.version >= reached) {
			blackboard.update(state => ({...state, stamp: decideNewerStamp(state.stamp, createPlatformStamp(state.view.version, requestedAt))}));
		}

		return true;
	} catch (error) {
		if (error instanceof PortError) {
			return false;
		}

		throw error;
	}
}

/** Starts following the log. Ends when the signal aborts. */
export function startLogFollower(options: LogFollowerOptions): void {
	void runWhileNeeded(options, isPlatformNeeded, async () => {
		await readLogOnce(options);
	});
	void runWhileNeeded(options, isPeerNeeded, async () => {
		await readPeersOnce(options);
	});
}

/** Decides whether a step of the follower is needed at present. */
type StepCondition = (options: LogFollowerOptions) => boolean;

async function runWhileNeeded(options: LogFollowerOptions, isNeeded: StepCondition, step: () => Promise<void>): Promise<void> {
	const {blackboard, clock, signal} = options;
	while (!signal.aborted) {
		const startedAt = clock.readNow();
		if (isNeeded(options)) {
			await step();
		}

		const {view, identity} = blackboard.read();
		await waitUntil(clock, startedAt + decideStampInterval(view, identity.domain), signal);
	}
}

function createSourceInput({blackboard}: LogFollowerOptions): StampSourceInput {
	const {view, identity, peers} = blackboard.read();
	return {
		view, host: identity.host, domain: identity.domain, isUnresponsive: host => isPeerUnresponsive(peers, host),
	};
}

function isStampStale({blackboard, clock}: LogFollowerOptions): boolean {
	const {view, identity, stamp} = blackboard.read();
	return readStampAge(stamp, clock.readNow()) > MAX_STAMP_AGE_INTERVALS * decideStampInterval(view, identity.domain);
}

function isPlatformNeeded(options: LogFollowerOptions): boolean {
	return decideStampSource(createSourceInput(options)).kind === 'platform' || isStampStale(options);
}

function isPeerNeeded(options: LogFollowerOptions): boolean {
	return decideStampSource(createSourceInput(options)).kind === 'peers' || isStampStale(options);
}

async function readPeersOnce(options: LogFollowerOptions): Promise<void> {
	const input = createSourceInput(options);
	const source = decideStampSource(input);
	const nearest = source.kind === 'peers' ? source.candidates : [];
	const fallbackPeers = isStampStale(options) ? findFallbackPeers(input, FALLBACK_PEERS) : [];
	await Promise.all([...nearest, ...fallbackPeers].map(async record => options.requestStamp(record)));
}
