/**
 * Tracks the log positions of each database group: samples of the position of the confirmed primary over time, and the last
 * known position of each database. A read with bounded staleness needs the position that the primary had reached at the
 * start of the staleness window. Any position sampled since then satisfies it; the oldest one is used, because most
 * replicas have reached it.
 */
import type {Instant, LogPosition} from 'heatherpond-core';
import {compareLogPositions} from './log-order.js';

/** Sample of the primary's log: `point` includes every commit acknowledged by `seenAt`. */
type PositionSample = {readonly seenAt: Instant; readonly point: LogPosition};

/** Last known log position of a database. */
export type DatabasePosition = {
	readonly point: LogPosition;
	readonly seenAt: Instant;
	/** When the database last rejected a statement because its log lagged behind; negative infinity if it never has. */
	readonly laggedAt: Instant;
};

/** Position of the primary of a group in a term; it includes every commit acknowledged by `seenAt`. */
export type PrimaryPosition = PositionSample & {readonly group: string; readonly term: number};

/** Log positions of all groups and databases. */
export type PositionTracker = {
	/**
	 * Records the log position that the confirmed primary of a term reported with a response.
	 *
	 * @param requestedAt - when the statement was sent; the position includes all commits acknowledged by then
	 */
	readonly recordPrimaryPosition: (group: string, term: number, point: LogPosition, requestedAt: Instant) => void;
	/** Records the log position that a database reported; a report older than the last one is ignored. */
	readonly recordDatabasePosition: (database: string, point: LogPosition, seenAt: Instant) => void;
	/** Records that a database rejected a statement because its log lagged behind. */
	readonly recordLag: (database: string, at: Instant) => void;
	/** Finds the oldest known position of `term` that includes every commit acknowledged before `instant`. */
	readonly findPositionAsOf: (group: string, term: number, instant: Instant) => LogPosition | undefined;
	/** Finds the newest known position of the primary in `term`. */
	readonly findNewestPosition: (group: string, term: number) => LogPosition | undefined;
	readonly findDatabasePosition: (database: string) => DatabasePosition | undefined;
	/** Reads the newest known position of the primary of each group. */
	readonly readNewest: () => readonly PrimaryPosition[];
	/** Forgets all positions, after a suspension that the clock did not measure, and ignores those requested before `validFrom`: they are older than they seem. */
	readonly clear: (validFrom: Instant) => void;
};

/** Samples of a group's current term, the oldest first. */
type GroupSamples = {term: number; samples: PositionSample[]};

/** Minimum time, in milliseconds, between the samples kept of a group; the newest sample is always kept. */
const SAMPLE_INTERVAL_MS = 25;
/** Number of samples kept of a group; they span more time than the longest staleness that a contract allows. */
const MAX_SAMPLES = 400;

/** Creates a tracker without samples. */
export function createPositionTracker(): PositionTracker {
	const groups = new Map<string, GroupSamples>();
	const databases = new Map<string, DatabasePosition>();
	let validFrom: Instant = Number.NEGATIVE_INFINITY;

	function findSamples(group: string, term: number): readonly PositionSample[] {
		const known = groups.get(group);
		return known?.term === term ? known.samples : [];
	}

	return {
		recordPrimaryPosition(group, term, point, requestedAt) {
			if (point.term !== term || requestedAt < validFrom) {
				return;
			}

			const known = groups.get(group);
			if (known && known.term > term) {
				return;
			}

			const samples = known?.term === term ? known.samples : [];
			groups.set(group, {term, samples: appendSample(samples, {seenAt: requestedAt, point})});
		},
		recordDatabasePosition(database, point, seenAt) {
			const known = databases.get(database);
			if (!known || known.seenAt <= seenAt) {
				databases.set(database, {point, seenAt, laggedAt: known?.laggedAt ?? Number.NEGATIVE_INFINITY});
			}
		},
		recordLag(database, at) {
			const known = databases.get(database);
			if (known) {
				databases.set(database, {...known, laggedAt: at});
			}
		},
		findPositionAsOf(group, term, instant) {
			return findSamples(group, term).find(sample => sample.seenAt >= instant)?.point;
		},
		findNewestPosition(group, term) {
			return findSamples(group, term).at(-1)?.point;
		},
		findDatabasePosition: database => databases.get(database),
		readNewest: () => [...groups].flatMap(([group, {term, samples}]) => samples.slice(-1).map(sample => ({group, term, ...sample}))),
		clear(instant) {
			validFrom = instant;
			groups.clear();
			databases.clear();
		},
	};
}

/** Appends a sample in order of time and position. A sample from a response that arrived out of order is dropped. */
function appendSample(samples: PositionSample[], next: PositionSample): PositionSample[] {
	const last = samples.at(-1);
	if (last && (next.seenAt < last.seenAt || compareLogPositions(next.point, last.point) < 0)) {
		return samples;
	}

	const isDense = samples.length > 1 && next.seenAt - samples.at(-2)!.seenAt < SAMPLE_INTERVAL_MS;
	if (isDense) {
		samples.pop();
	}

	samples.push(next);
	if (samples.length > MAX_SAMPLES) {
		samples.splice(0, samples.length - MAX_SAMPLES);
	}

	return samples;
}
