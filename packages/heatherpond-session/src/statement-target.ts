/** Selects the database that runs a statement, and waits for one if none is available. */
import type {Deadline, LogPosition} from 'heatherpond-core';
import {computeSpreadRetry} from './attempt-rules.js';
import {decideReadRequirement} from './read-requirement.js';
import {createRefusal} from './refusal.js';
import type {RunningStatement} from './running-statement.js';
import {createRefusedError} from './session-error.js';
import type {Primary, RequiredPosition, SessionServices} from './session-services.js';
import {selectUpstream, type SelectionCriteria, type UpstreamCandidate} from './upstream-selection.js';

/** The database selected for a statement. */
export type StatementTarget = {
	readonly database: string;
	/** The primary and its term, when the statement is sent to the database as the primary. */
	readonly primary?: Primary;
	/** Log position that the database must have reached. */
	readonly after?: LogPosition;
	/** Expected time of a statement on the database, in milliseconds, where it was chosen by that. */
	readonly statementMs?: number;
};

/** Requirements of a statement for its target. */
export type TargetQuery = {
	readonly running: RunningStatement;
	/** Whether only the primary may run the statement. */
	readonly needsPrimary: boolean;
	/** Log position of the session's newest commit. */
	readonly lastCommitPosition?: LogPosition;
	readonly signal: AbortSignal;
};

/** Where a statement would go, and by what that was decided. */
export type TargetDecision = {
	readonly target?: StatementTarget;
	/** Log position that a replica needs; `unknown` sends the statement to the primary. */
	readonly requirement: RequiredPosition;
	/** The databases that were compared; none when only the primary may run the statement. */
	readonly candidates: readonly UpstreamCandidate[];
	readonly criteria?: SelectionCriteria;
};

/** Maximum wait for a primary, as a fraction of the target latency of the operation. */
const PRIMARY_WAIT_FRACTION = 0.25;
/** Mean retry-after hint, in milliseconds, when the group has no confirmed primary. */
const NO_PRIMARY_RETRY_AFTER_MS = 300;
/** Retry-after hint, in milliseconds, when no permitted database may run the statement, which a planned switchover may change. */
const NO_PLACE_RETRY_AFTER_MS = 1000;

/**
 * Waits for a database that can run the statement.
 *
 * @throws RefusedError when none becomes available in time
 */
export async function waitForTarget(services: SessionServices, query: TargetQuery): Promise<StatementTarget> {
	const {running, signal} = query;
	const waitDeadline: Deadline = Math.min(running.deadline, services.clock.readNow() + (running.route.targetLatencyMs * PRIMARY_WAIT_FRACTION));
	while (true) {
		const target = findTarget(services, query);
		if (target) {
			return target;
		}

		checkPlaces(services, query);
		if (isPositionRequired(services, query)) {
			await services.primacy.requestPosition(running.route.group, waitDeadline);
			if (findTarget(services, query)) {
				continue;
			}
		}

		if (signal.aborted || services.clock.readNow() >= waitDeadline) {
			throw createRefusedError(createRefusal('busy', running.lastFailureReason || 'the group has no proven primary', computeSpreadRetry(NO_PRIMARY_RETRY_AFTER_MS, services.random)));
		}

		await services.primacy.waitForChange(waitDeadline, signal);
	}
}

/**
 * Checks whether waiting can help.
 *
 * @throws RefusedError when every database that could run the statement is outside its home regions or evacuated
 */
function checkPlaces({upstreams, primacy}: SessionServices, {running: {route, homes}, needsPrimary}: TargetQuery): void {
	if (!upstreams.hasPermitted(route.group, homes)) {
		throw createRefusedError(createRefusal('busy', 'every database of the group is outside the home regions or evacuated', NO_PLACE_RETRY_AFTER_MS));
	}

	const primary = needsPrimary ? primacy.findPrimary(route.group) : undefined;
	if (primary && !upstreams.isPermitted(primary.database, homes)) {
		throw createRefusedError(createRefusal('busy', 'the primary of the group is outside the home regions or evacuated', NO_PLACE_RETRY_AFTER_MS));
	}
}

/** Whether a position of the primary would let a replica run the statement: the primary must not, though it could tell its position. */
function isPositionRequired({primacy, upstreams}: SessionServices, {running: {route, homes}, needsPrimary}: TargetQuery): boolean {
	const primary = needsPrimary ? undefined : primacy.findPrimary(route.group);
	return primary !== undefined && !upstreams.isPermitted(primary.database, homes);
}

/** Finds a database that can run the statement now. */
export function findTarget(services: SessionServices, query: TargetQuery): StatementTarget | undefined {
	return decideTarget(services, query).target;
}

/** Decides where a statement would go now, and by what. */
export function decideTarget(services: SessionServices, {running, needsPrimary, lastCommitPosition}: Omit<TargetQuery, 'signal'>): TargetDecision {
	const {route, team, homes, arrivedAt, failed} = running;
	const primary = findPermittedPrimary(services, running);
	const requirement = needsPrimary
		? {kind: 'unknown'} as const
		: decideReadRequirement({
			route, positions: services.positions, term: services.primacy.readTerm(route.group), arrivedAt, lastCommitPosition,
		});
	if (requirement.kind === 'unknown') {
		return {requirement, candidates: [], target: primary && {database: primary.database, primary}};
	}

	const candidates = services.upstreams
		.findCandidates(route.group, {team, primary: primary?.database, homes})
		.filter(candidate => isEligibleCandidate(candidate, primary));
	const criteria = {required: requirement.point, failed, now: services.clock.readNow()};
	const chosen = selectUpstream(candidates, criteria, services.random);
	if (!chosen) {
		return {
			requirement, candidates, criteria, target: primary && {database: primary.database, primary},
		};
	}

	const {statementMs} = chosen;
	const target = chosen.isPrimary ? {database: chosen.id, primary, statementMs} : {database: chosen.id, after: requirement.point, statementMs};
	return {
		requirement, candidates, criteria, target,
	};
}

function findPermittedPrimary({primacy, upstreams}: SessionServices, {route, homes}: RunningStatement): Primary | undefined {
	const primary = primacy.findPrimary(route.group);
	return primary && upstreams.isPermitted(primary.database, homes) ? primary : undefined;
}

/** Excludes a database that reports itself as primary without being the confirmed one. */
function isEligibleCandidate(candidate: UpstreamCandidate, primary: Primary | undefined): boolean {
	return !candidate.isPrimary || candidate.id === primary?.database;
}

/** Whether a target is still valid after the wait for its connection: a primary must be confirmed in the same term. */
export function isTargetCurrent(services: SessionServices, {primary}: StatementTarget): boolean {
	if (!primary) {
		return true;
	}

	const current = services.primacy.findPrimary(primary.group);
	return current?.database === primary.database && current.term === primary.term;
}
