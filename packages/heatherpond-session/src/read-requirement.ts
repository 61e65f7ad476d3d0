/** Derives the log position that a read requires from the consistency of its route. */
import type {Instant, LogPosition} from 'heatherpond-core';
import {findNewerPosition} from './log-order.js';
import type {PositionTracker} from './position-tracker.js';
import type {SessionRoute} from './route.js';
import type {RequiredPosition} from './session-services.js';

/** Input of the decision. */
export type ReadRequirementInput = {
	readonly route: SessionRoute;
	readonly positions: PositionTracker;
	/** Current term of the group; undefined when it is not known. */
	readonly term: number | undefined;
	/** When the read, or the BEGIN of its transaction, arrived. */
	readonly arrivedAt: Instant;
	/** Position of the session's own newest commit. */
	readonly lastCommitPosition?: LogPosition;
};

/** Decides which log position a database must have reached to serve a read; `unknown` sends the read to the primary. */
export function decideReadRequirement({route, positions, term, arrivedAt, lastCommitPosition}: ReadRequirementInput): RequiredPosition {
	if (route.consistency === 'primary' || term === undefined) {
		return {kind: 'unknown'};
	}

	const shared = positions.findPositionAsOf(route.group, term, arrivedAt - route.maxStalenessMs);
	const own = route.consistency === 'read_your_writes' ? convertCommitPosition(positions, route.group, term, lastCommitPosition) : undefined;
	if (!shared || (own?.kind === 'unknown')) {
		return {kind: 'unknown'};
	}

	return {kind: 'point', point: findNewerPosition(shared, own?.point)!};
}

/**
 * Converts the session's newest commit to a position of the current term. A commit of an earlier term is either included in
 * every position of the current term or was rolled back by the failover, so the newest known position covers it.
 */
function convertCommitPosition(positions: PositionTracker, group: string, term: number, commitPosition: LogPosition | undefined): RequiredPosition | undefined {
	if (!commitPosition || commitPosition.term === term) {
		return commitPosition ? {kind: 'point', point: commitPosition} : undefined;
	}

	const newest = commitPosition.term < term ? positions.findNewestPosition(group, term) : undefined;
	return newest ? {kind: 'point', point: newest} : {kind: 'unknown'};
}
