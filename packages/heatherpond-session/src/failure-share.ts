/**
 * Measures what share of the statements on a database fail. The load in mind is a database that fails a part of its statements,
 * or comes and goes, while its health check is good: one success does not show that it is well. Refusals for lack of room are
 * no failures; a database is not avoided for being busy.
 */
import type {Instant} from 'heatherpond-core';

/** Outcomes of one database, with weights that decay with time. */
export type FailureRecord = {
	readonly failures: number;
	readonly successes: number;
	/** Mean time that a failed statement lost, in milliseconds. */
	readonly lostMs: number;
	/** Number of times that the database has failed again after it had recovered. */
	readonly relapses: number;
	readonly at: Instant;
};

/** Outcome of one statement. */
export type StatementOutcome = {readonly hasFailed: boolean; readonly elapsedMs: number};

/** Time constant of the decay, in milliseconds; it grows with each relapse, up to the maximum number. */
const MEMORY_MS = 3000;
const MAX_RELAPSES = 3;
/** Time after which a database that does not fail any more is forgiven its relapses, in milliseconds. */
const RELAPSE_MEMORY_MS = 30_000;
/** Successes assumed of a database without outcomes, so that a single failure does not count for all. */
const PRIOR_SUCCESSES = 2;
/** Total weight of the outcomes that are remembered, so that a busy database is forgiven as soon as an idle one. */
const MAX_WEIGHT = 15;
/** Share of failures below which a database counts as recovered. */
const RECOVERED_SHARE = 0.1;
/** Weight of a new sample of the time lost. */
const LOST_WEIGHT = 0.3;

/** Creates the record of a database without outcomes. */
export function createFailureRecord(now: Instant): FailureRecord {
	return {
		failures: 0, successes: 0, lostMs: 0, relapses: 0, at: now,
	};
}

function applyDecay(record: FailureRecord, now: Instant): FailureRecord {
	const elapsedMs = Math.max(0, now - record.at);
	const limit = Math.min(1, MAX_WEIGHT / Math.max(1, record.failures + record.successes));
	const factor = limit * Math.exp(-elapsedMs / (MEMORY_MS * (1 + record.relapses)));
	return {
		...record, failures: record.failures * factor, successes: record.successes * factor, relapses: elapsedMs > RELAPSE_MEMORY_MS ? 0 : record.relapses, at: now,
	};
}

/** Adds the outcome of a statement. */
export function applyOutcome(record: FailureRecord, {hasFailed, elapsedMs}: StatementOutcome, now: Instant): FailureRecord {
	const decayed = applyDecay(record, now);
	if (!hasFailed) {
		return {...decayed, successes: decayed.successes + 1};
	}

	const next = {
		...decayed,
		failures: decayed.failures + 1,
		lostMs: record.lostMs === 0 ? elapsedMs : record.lostMs + ((elapsedMs - record.lostMs) * LOST_WEIGHT),
	};
	const isRelapse = record.lostMs > 0 && computeShare(decayed) < RECOVERED_SHARE && computeShare(next) >= RECOVERED_SHARE;
	return {...next, relapses: Math.min(MAX_RELAPSES, decayed.relapses + (isRelapse ? 1 : 0))};
}

/** Reads the share of statements that fail, from 0 to 1. */
export function readFailureShare(record: FailureRecord, now: Instant): number {
	return computeShare(applyDecay(record, now));
}

function computeShare({failures, successes}: FailureRecord): number {
	return failures / (failures + successes + PRIOR_SUCCESSES);
}
