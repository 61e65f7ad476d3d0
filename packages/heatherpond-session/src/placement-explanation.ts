/** Explains where a statement would go now, without sending it. It calls the decision that places statements. */
import type {RunningStatement} from './running-statement.js';
import type {SessionServices} from './session-services.js';
import {decideTarget} from './statement-target.js';
import {evaluateDelayTerms, type DelayTerms} from './upstream-selection.js';

/** The statement in question. */
export type PlacementQuestion = {
	/** Logical database that the client would connect to. */
	readonly database: string;
	readonly key: string;
	readonly access: 'read' | 'write';
};

/** A database that was compared with others. */
export type ExplainedCandidate = {readonly database: string; readonly totalMs: number; readonly isPrimary: boolean; readonly terms: DelayTerms};

/** The answer: where the statement would go, or why it would be refused. */
export type PlacementExplanation = {
	readonly outcome: 'placed' | 'waits' | 'refused';
	readonly reason: string;
	readonly database?: string;
	readonly team?: string;
	readonly group?: string;
	/** Log position that a replica must have reached. */
	readonly after?: string;
	/** The databases that were compared, the best one first. */
	readonly candidates: readonly ExplainedCandidate[];
};

/** Explains the placement of a statement that arrives now, outside a transaction. */
export function createPlacementExplanation(services: SessionServices, {database, key, access}: PlacementQuestion): PlacementExplanation {
	const decided = services.access.decideAccess(database, key);
	if (decided.kind === 'refuse') {
		return {outcome: 'refused', reason: decided.reason, candidates: []};
	}

	const {route, team, homes} = decided;
	const now = services.clock.readNow();
	const running: RunningStatement = {
		statement: {id: '-', text: '', action: {kind: 'data', access}}, access, route, team, homes, arrivedAt: now, deadline: now + route.timeoutMs, failed: new Set(), attempts: 0, lastFailureReason: '',
	};
	const needsPrimary = route.consistency === 'primary' || access === 'write';
	const {target, requirement, candidates, criteria} = decideTarget(services, {running, needsPrimary});
	const explained = candidates.map(candidate => {
		const terms = evaluateDelayTerms(candidate, criteria!);
		return {
			database: candidate.id, isPrimary: candidate.isPrimary, totalMs: Object.values(terms).reduce((sum, term) => sum + term, 0), terms,
		};
	}).toSorted((left, right) => left.totalMs - right.totalMs);
	return {
		...(target ? {outcome: 'placed', database: target.database, reason: readReason(needsPrimary, requirement.kind, explained.length)} : readObstacle(services, running)),
		team, group: route.group, after: requirement.kind === 'point' ? `${requirement.point.term}.${requirement.point.position}` : undefined, candidates: explained,
	};
}

function readReason(needsPrimary: boolean, requirement: 'point' | 'unknown', compared: number): string {
	if (needsPrimary) {
		return 'only the primary may run it';
	}

	return requirement === 'unknown' || compared === 0 ? 'no replica is known to be recent enough' : 'lowest expected delay, or about as low';
}

function readObstacle({upstreams}: SessionServices, {route: {group}, homes}: RunningStatement): Pick<PlacementExplanation, 'outcome' | 'reason'> {
	return upstreams.hasPermitted(group, homes)
		? {outcome: 'waits', reason: 'the group has no proven primary that may run it'}
		: {outcome: 'refused', reason: 'every database of the group is outside the home regions or evacuated'};
}
