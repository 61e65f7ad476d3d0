/**
 * Chooses the database that a promotion makes the primary. In a group without synchronous replicas that is the most advanced
 * one that accepts work. In a group with them no acknowledged commit may be lost, so a candidate must be shown to hold all of them.
 */
import {compareLogPositions} from 'heatherpond-session';
import type {PrimacyRecord} from './fleet-records.js';
import {findCandidate, type CandidateRules, type PolledDatabase} from './promotion-decisions.js';
import {isAcceptingWork, type Upstream} from './upstream.js';

/** What is known of the databases of a group when a candidate is chosen. */
export type Survey = {
	/** The databases that told their status after every host had stopped to acknowledge commits of the old primary. */
	readonly polled: readonly PolledDatabase[];
	/** Number of replicas that must have received a commit before it is acknowledged. */
	readonly syncReplicas: number;
	/** All databases besides the old primary that may hold an acknowledged commit. */
	readonly holders: readonly string[];
	/** Whether the candidate may catch up with an old primary that still responds; not right after it could not. */
	readonly mayCatchUp: boolean;
};

/** The result of the choice. */
export type CandidateChoice
	/** With `mustCatchUp`, the candidate is promoted only once it holds what the old primary holds. */
	= | {readonly kind: 'chosen'; readonly upstream: Upstream; readonly mustCatchUp: boolean}
	/** No database may be promoted now; `unknown` lists those whose logs must be known first. */
		| {readonly kind: 'none'; readonly unknown: readonly string[]};

const NOBODY: CandidateChoice = {kind: 'none', unknown: []};

/** Selects the candidate of a promotion. */
export function selectCandidate(survey: Survey, record: PrimacyRecord, rules: CandidateRules): CandidateChoice {
	if (survey.syncReplicas === 0) {
		const candidate = findCandidate(survey.polled, record, rules);
		return candidate ? {kind: 'chosen', upstream: candidate.upstream, mustCatchUp: false} : NOBODY;
	}

	return selectCompleteCandidate(survey, record, rules);
}

/**
 * Chooses a candidate that holds every acknowledged commit. Each is in the log of the old primary, and of as many replicas as
 * it needed; so the most advanced of all replicas but fewer than that many holds it. If no such replica accepts work, one
 * that drains is promoted for the time that the others need to catch up with it.
 */
function selectCompleteCandidate(survey: Survey, record: PrimacyRecord, rules: CandidateRules): CandidateChoice {
	const {polled, syncReplicas, holders, mayCatchUp} = survey;
	const old = polled.find(({upstream}) => upstream.id === record.primary);
	const replicas = polled.filter(({upstream}) => upstream.id !== record.primary && !rules.excluded.has(upstream.id));
	const unknown = holders.filter(id => !replicas.some(({upstream}) => upstream.id === id));
	const accepting = findCandidate(polled, record, rules);
	const catchingUp: CandidateChoice | undefined = old?.status.isPrimary && accepting ? {kind: 'chosen', upstream: accepting.upstream, mustCatchUp: true} : undefined;
	if (catchingUp && mayCatchUp) {
		return catchingUp;
	}

	const complete = [
		unknown.length < syncReplicas ? findComplete(replicas, findNewest(replicas)) : [],
		old ? findComplete(replicas, old) : [],
	].flat();
	const chosen = findCandidate(complete, record, rules) ?? findNewest(complete);
	if (chosen) {
		return {kind: 'chosen', upstream: chosen.upstream, mustCatchUp: false};
	}

	return catchingUp ?? {kind: 'none', unknown};
}

/** Finds the databases whose logs reach the end of another one's. */
function findComplete(replicas: readonly PolledDatabase[], other: PolledDatabase | undefined): readonly PolledDatabase[] {
	return other ? replicas.filter(({status}) => compareLogPositions(status.point, other.status.point) >= 0) : [];
}

/** Finds the most advanced database; one that accepts work comes first among equal ones, then the lower id. */
function findNewest(replicas: readonly PolledDatabase[]): PolledDatabase | undefined {
	return replicas.toSorted((left, right) => compareLogPositions(right.status.point, left.status.point)
		|| Number(isAcceptingWork(right.upstream)) - Number(isAcceptingWork(left.upstream))
		|| (left.upstream.id < right.upstream.id ? -1 : 1)).at(0);
}
