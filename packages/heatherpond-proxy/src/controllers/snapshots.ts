/**
 * Snapshots of the view. A starting host loads the newest one and reads only the entries after it; running hosts take
 * turns in writing the next.
 */
import {createHash} from 'node:crypto';
import {
	PortError, waitUntil, type Clock, type FleetView, type HostBlackboard, type HostIdentity, type PlatformPort, type RecordEvent,
} from 'heatherpond-core';

/** Dependencies of reading and writing snapshots. */
export type SnapshotOptions = {
	readonly identity: HostIdentity;
	readonly blackboard: HostBlackboard;
	readonly platform: PlatformPort;
	readonly clock: Clock;
	readonly recordEvent: RecordEvent;
	readonly signal: AbortSignal;
};

/** Number of log entries between two snapshots. */
export const SNAPSHOT_ENTRIES = 200;

const READ_TIMEOUT_MS = 2000;
const WRITE_TIMEOUT_MS = 10_000;
/** Delay per rank before a host writes the snapshot, which leaves time to the hosts before it. */
const WRITER_RANK_DELAY_MS = 5000;
/** Maximum number of hosts that try to write the same snapshot, one after the other. */
const MAX_WRITERS = 3;

/**
 * Replaces the view by the newest snapshot if that is newer. Without a snapshot the log is read from the view's version
 * on.
 */
export async function readSnapshotOnce({blackboard, platform, clock, recordEvent, signal}: SnapshotOptions): Promise<void> {
	try {
		const view = await platform.readSnapshot({deadline: clock.readNow() + READ_TIMEOUT_MS, signal});
		if (view && view.version > blackboard.read().view.version) {
			blackboard.update(state => ({...state, view}));
			recordEvent('snapshotLoaded', {version: view.version});
		}
	} catch (error) {
		if (!(error instanceof PortError)) {
			throw error;
		}

		// The log contains every entry; reading it from the start only takes longer.
	}
}

/** Starts writing a snapshot after every `SNAPSHOT_ENTRIES` applied entries. Ends when the signal aborts. */
export function startSnapshotWriter(options: SnapshotOptions): void {
	const {blackboard, signal} = options;
	const stop = blackboard.registerListener(state => state.view, (view, previous) => {
		if (Math.floor(view.version / SNAPSHOT_ENTRIES) > Math.floor(previous.version / SNAPSHOT_ENTRIES) && previous.version > 0) {
			void writeSnapshotByRank(options, view);
		}
	});
	signal.addEventListener('abort', stop, {once: true});
}

/**
 * Returns a host's rank among the writers of a snapshot, or -1 if it is not registered. The order changes with each
 * snapshot.
 */
export function findSnapshotWriterRank(view: FleetView, host: string): number {
	const bucket = Math.floor(view.version / SNAPSHOT_ENTRIES);
	const order = Object.keys(view.hosts)
		.map(name => ({name, weight: createHash('sha256').update(`${bucket} ${name}`).digest('hex')}))
		.toSorted((left, right) => left.weight < right.weight ? -1 : 1);
	return order.findIndex(candidate => candidate.name === host);
}

async function writeSnapshotByRank({identity, platform, clock, signal}: SnapshotOptions, view: FleetView): Promise<void> {
	const rank = findSnapshotWriterRank(view, identity.host);
	if (rank === -1 || rank >= MAX_WRITERS) {
		return;
	}

	await waitUntil(clock, clock.readNow() + (rank * WRITER_RANK_DELAY_MS), signal);
	try {
		await platform.writeSnapshot(view, {deadline: clock.readNow() + WRITE_TIMEOUT_MS, signal});
	} catch (error) {
		// Another host tries later, and the next snapshot replaces this one anyway.
		if (!(error instanceof PortError)) {
			throw error;
		}
	}
}
