/**
 * Learns how long statements run on each database, and how far away each failure domain is, from the responses that pass anyway.
 * Hosts choose databases by these times, so a group of slow statements and a far domain cost what they really cost.
 */

/** Moving average that single outliers move little. */
export type LearnedTime = {readonly meanMs: number; readonly samples: number};

/** Learned times of the databases and failure domains that a host has heard from. */
export type LearnedTimes = {
	/** Records that a statement ran on a database of a group for some time. */
	readonly recordStatement: (group: string, database: string, ranMs: number) => void;
	/** Records a round trip to a failure domain. */
	readonly recordRoundTrip: (domain: string, elapsedMs: number) => void;
	/** Reads the expected time of a statement on a database: its own, that of its group, or an assumed one. */
	readonly readStatementMs: (group: string, database: string) => number;
	/** Reads the round trip to a failure domain; `assumedMs` while there are too few samples. */
	readonly readRoundTripMs: (domain: string, assumedMs: number) => number;
	/** Forgets databases that `isKnown` rejects. */
	readonly removeUnknown: (isKnown: (database: string) => boolean) => void;
};

/** Weight of a new sample, and the multiple of the mean to which it is cut. */
const SAMPLE_WEIGHT = 0.08;
const MAX_SAMPLE_RATIO = 4;
/** Number of samples from which a learned time is used. */
const MIN_SAMPLES = 8;
/** Assumed time of a statement before any has been measured, in milliseconds. */
const ASSUMED_STATEMENT_MS = 15;

/** Adds a sample; the first ones weigh equally. */
export function applyTimeSample(known: LearnedTime | undefined, sampleMs: number): LearnedTime {
	if (!known) {
		return {meanMs: sampleMs, samples: 1};
	}

	const limited = Math.min(sampleMs, Math.max(1, known.meanMs) * MAX_SAMPLE_RATIO);
	const weight = Math.max(SAMPLE_WEIGHT, 1 / (known.samples + 1));
	return {meanMs: known.meanMs + ((limited - known.meanMs) * weight), samples: known.samples + 1};
}

/** Creates times without samples. */
export function createLearnedTimes(): LearnedTimes {
	const byDatabase = new Map<string, LearnedTime>();
	const byGroup = new Map<string, LearnedTime>();
	const byDomain = new Map<string, LearnedTime>();

	function readMean(times: ReadonlyMap<string, LearnedTime>, name: string): number | undefined {
		const known = times.get(name);
		return known && known.samples >= MIN_SAMPLES ? known.meanMs : undefined;
	}

	return {
		recordStatement(group, database, ranMs) {
			byDatabase.set(database, applyTimeSample(byDatabase.get(database), ranMs));
			byGroup.set(group, applyTimeSample(byGroup.get(group), ranMs));
		},
		recordRoundTrip(domain, elapsedMs) {
			byDomain.set(domain, applyTimeSample(byDomain.get(domain), Math.max(0, elapsedMs)));
		},
		readStatementMs: (group, database) => readMean(byDatabase, database) ?? readMean(byGroup, group) ?? ASSUMED_STATEMENT_MS,
		readRoundTripMs: (domain, assumedMs) => readMean(byDomain, domain) ?? assumedMs,
		removeUnknown(isKnown) {
			[...byDatabase.keys()].filter(database => !isKnown(database)).forEach(database => {
				byDatabase.delete(database);
			});
		},
	};
}
