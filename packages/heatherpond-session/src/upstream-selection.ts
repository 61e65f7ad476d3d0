/**
 * Selects the database of a group that runs a statement: the one with the lowest expected delay. Penalties keep reads off
 * the primary, which alone can run writes, and keep traffic in the host's failure domain unless the databases there are
 * overloaded or lag behind.
 */
import type {Instant, LogPosition} from 'heatherpond-core';
import {compareLogPositions} from './log-order.js';
import type {DatabasePosition} from './position-tracker.js';

/** Load, location and replication state of one database. */
export type UpstreamCandidate = {
	readonly id: string;
	readonly isPrimary: boolean;
	/** Number of statements that the database can run concurrently. */
	readonly capacity: number;
	/** Number of this host's statements that are running or waiting for a connection. */
	readonly inFlight: number;
	/** Number of statements that other hosts are running on the database, by their last reports. */
	readonly remoteInFlight: number;
	/** Whether the pool has an idle connection of the team. */
	readonly hasIdleConnection: boolean;
	/** Whether the database recently rejected a connection over its limit. */
	readonly isAtConnectionLimit: boolean;
	readonly roundTripMs: number;
	/** Expected time of a statement on the database, in milliseconds. */
	readonly statementMs: number;
	/** Whether the database is in the failure domain of this host. */
	readonly isSameDomain: boolean;
	/** Whether the database started recently and is still slow. */
	readonly isWarmingUp: boolean;
	readonly lastPosition?: DatabasePosition;
	/** Share of the statements on the database that fail, and the time that a failed one loses, in milliseconds. */
	readonly failureShare: number;
	readonly failureMs: number;
	/** End of the backoff after a failure; until then the database is used only if no other is available. */
	readonly backoffUntil: Instant;
};

/** Criteria for the selection. */
export type SelectionCriteria = {
	/** Log position that the database must have reached. */
	readonly required?: LogPosition;
	/** Databases on which an attempt of the statement has been rejected or has failed. */
	readonly failed: ReadonlySet<string>;
	readonly now: Instant;
};

/** Time, in milliseconds, that the database needs to open a connection, without the round trip. */
const CONNECTION_OPEN_COST_MS = 12;
/** Penalty, in milliseconds, for a database at its connection limit. */
const CONNECTION_LIMIT_PENALTY_MS = 60;
/** Delay, in milliseconds, that a read at the primary costs: it takes room from writes, which have nowhere else to go. */
const PRIMARY_RESERVE_MS = 25;
/** Penalty, in milliseconds, that limits traffic between failure domains. */
const CROSS_DOMAIN_PENALTY_MS = 10;
/** Factor on the execution time while a database is warming up. */
const WARM_UP_FACTOR = 2;
/** Milliseconds after a lag rejection in which a replica is excluded, and in which the higher lag penalty applies. */
const LAG_EXCLUSION_MS = 60;
const LAG_PENALTY_WINDOW_MS = 500;
/** Penalty, in milliseconds, after a recent lag rejection, and for a replica whose last known position is older than required. */
const RECENT_LAG_PENALTY_MS = 40;
const UNCONFIRMED_POSITION_PENALTY_MS = 10;
/** Share of failures above which a database is not considered worse, because a last resort has to stay comparable. */
const MAX_FAILURE_SHARE = 0.9;
/** Penalty, in milliseconds, for a database on which the statement has already failed, and during backoff after a failure. */
const ALREADY_FAILED_PENALTY_MS = 200;
const BACKOFF_PENALTY_MS = 400;

/** What the expected response time of a database consists of, in milliseconds. */
export type DelayTerms = {
	readonly statementMs: number;
	/** Statements ahead of this one. */
	readonly queueMs: number;
	readonly roundTripMs: number;
	readonly openingMs: number;
	/** Infinite when the database is known to lag behind. */
	readonly lagMs: number;
	/** Room that the primary reserves for writes. */
	readonly reserveMs: number;
	/** What leaving the failure domain costs beside the time that it takes. */
	readonly crossingMs: number;
	/** What failures cost: the time that they lose, and the tries that it takes until one succeeds. */
	readonly failuresMs: number;
	/** Penalties after this statement has failed there, and during a backoff. */
	readonly penaltyMs: number;
};

/** Evaluates the terms of a database's expected response time. */
export function evaluateDelayTerms(candidate: UpstreamCandidate, criteria: SelectionCriteria): DelayTerms {
	const statementMs = candidate.statementMs * (candidate.isWarmingUp ? WARM_UP_FACTOR : 1);
	const onSuccess = {
		statementMs,
		queueMs: statementMs * (candidate.inFlight + candidate.remoteInFlight) / Math.max(1, candidate.capacity),
		roundTripMs: candidate.roundTripMs,
		openingMs: candidate.hasIdleConnection ? 0 : CONNECTION_OPEN_COST_MS + candidate.roundTripMs + (candidate.isAtConnectionLimit ? CONNECTION_LIMIT_PENALTY_MS : 0),
		lagMs: evaluateLagPenalty(candidate, criteria),
		reserveMs: candidate.isPrimary ? PRIMARY_RESERVE_MS : 0,
		crossingMs: candidate.isSameDomain ? 0 : CROSS_DOMAIN_PENALTY_MS,
	};
	const share = Math.min(MAX_FAILURE_SHARE, candidate.failureShare);
	return {
		...onSuccess,
		failuresMs: share * (computeTotal(onSuccess) + candidate.failureMs) / (1 - share),
		penaltyMs: (criteria.failed.has(candidate.id) ? ALREADY_FAILED_PENALTY_MS : 0) + (candidate.backoffUntil > criteria.now ? BACKOFF_PENALTY_MS : 0),
	};
}

function computeTotal(terms: Readonly<Record<string, number>>): number {
	return Object.values(terms).reduce((sum, term) => sum + term, 0);
}

/** Evaluates the expected response time of a database, in milliseconds; infinite when it is known to lag behind. */
export function evaluateExpectedDelay(candidate: UpstreamCandidate, criteria: SelectionCriteria): number {
	return computeTotal(evaluateDelayTerms(candidate, criteria));
}

function evaluateLagPenalty({isPrimary, lastPosition}: UpstreamCandidate, {required, now}: SelectionCriteria): number {
	if (isPrimary || !required) {
		return 0;
	}

	if (!lastPosition || compareLogPositions(lastPosition.point, required) >= 0) {
		return 0;
	}

	const age = now - lastPosition.laggedAt;
	if (age < LAG_EXCLUSION_MS) {
		return Number.POSITIVE_INFINITY;
	}

	return age < LAG_PENALTY_WINDOW_MS ? RECENT_LAG_PENALTY_MS : UNCONFIRMED_POSITION_PENALTY_MS;
}

/** Expected delays within this ratio of the lowest one count as equal; the reports behind them are some hundred milliseconds old. */
const EQUAL_DELAY_RATIO = 1.1;

/**
 * Selects a database with the lowest expected delay; undefined when every candidate is known to lag behind. Among about equal
 * ones it selects at random: all hosts have the same reports, and would otherwise all go to the same database until the next.
 */
export function selectUpstream(candidates: readonly UpstreamCandidate[], need: SelectionCriteria, random: () => number): UpstreamCandidate | undefined {
	const delays = candidates
		.map(candidate => ({candidate, delay: evaluateExpectedDelay(candidate, need)}))
		.filter(({delay}) => delay < Number.POSITIVE_INFINITY)
		.toSorted((left, right) => left.delay - right.delay);
	const lowest = delays.at(0)?.delay ?? 0;
	const equal = delays.filter(({delay}) => delay <= lowest * EQUAL_DELAY_RATIO);
	return equal.at(Math.floor(random() * equal.length))?.candidate;
}
