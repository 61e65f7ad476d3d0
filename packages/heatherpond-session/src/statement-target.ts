/** Selects the database that runs a statement, and waits for one if none is available. */
import type {Deadline, LogPosition} from 'heatherpond-core';
import {decideReadRequirement} from './read-requirement.js';
import {createRefusal} from './refusal.js';
import type {RunningStatement} from './running-statement.js';
import {createRefusedError} from './session-error.js';
import type {Primary, SessionServices} from './session-services.js';
import {selectUpstream, type UpstreamCandidate} from './upstream-selection.js';

/** The database selected for a statement. */
export type StatementTarget = {
	readonly database: string;
	/** The primary and its term, when the statement is sent to the database as the primary. */
	readonly primary?: Primary;
	/** Log position that the database must have reached. */
	readonly after?: LogPosition;
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

/** Maximum wait for a primary, as a fraction of the target latency of the operation. */
const PRIMARY_WAIT_FRACTION = 0.25;
/** Retry-after hint, in milliseconds, when the group has no confirmed primary. */
const NO_PRIMARY_RETRY_AFTER_MS = 300;

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

		if (signal.aborted || services.clock.readNow() >= waitDeadline) {
			throw createRefusedError(createRefusal('busy', running.lastFailureReason || 'the group has no proven primary', NO_PRIMARY_RETRY_AFTER_MS));
		}

		await services.primacy.waitForChange(waitDeadline, signal);
	}
}

/** Finds a database that can run the statement now. */
export function findTarget(services: SessionServices, {running, needsPrimary, lastCommitPosition}: TargetQuery): StatementTarget | undefined {
	const {route, team, arrivedAt, failed} = running;
	const primary = services.primacy.findPrimary(route.group);
	const requirement = needsPrimary
		? {kind: 'unknown'} as const
		: decideReadRequirement({
			route, positions: services.positions, term: services.primacy.readTerm(route.group), arrivedAt, lastCommitPosition,
		});
	if (requirement.kind === 'unknown') {
		return primary && {database: primary.database, primary};
	}

	const candidates = services.upstreams
		.findCandidates(route.group, team, primary?.database)
		.filter(candidate => isEligibleCandidate(candidate, primary));
	const chosen = selectUpstream(candidates, {required: requirement.point, failed, now: services.clock.readNow()});
	if (!chosen) {
		return primary && {database: primary.database, primary};
	}

	return chosen.isPrimary
		? {database: chosen.id, primary}
		: {database: chosen.id, after: requirement.point};
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
