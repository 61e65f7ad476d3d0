/**
 * Limits the statements that cold databases get: those that have just started, and those of a failure domain whose evacuation
 * has just ended. The load in mind is the moment at which such a database is in use again and all hosts, each with an empty
 * queue for it, would send their statements there. The budget counts over all hosts and is granted like the limit of a team.
 */
import type {Instant} from 'heatherpond-core';
import type {FleetState} from './fleet-state.js';
import type {TeamLimit} from './token-bucket.js';
import type {Upstream} from './upstream.js';

/** Fraction of the permitted rate that is granted; the rest covers statements that arrive later than they were granted. */
const GRANTED_SHARE = 0.9;
/** Begins the name of a budget. A team with a space in its name is refused before it takes tokens. */
const SUBJECT_PREFIX = 'cold database ';

/** Formats the name under which the budget of a database is granted. */
export function formatColdSubject(database: string): string {
	return `${SUBJECT_PREFIX}${database}`;
}

/** Whether a database counts as cold and its group limits what cold databases get. */
export function isCold({contracts, evacuationEnds}: Pick<FleetState, 'contracts' | 'evacuationEnds'>, {group, domain, isWarmingUp}: Upstream, now: Instant): boolean {
	const contract = contracts?.groups.get(group);
	if (!contract?.coldPerSecond) {
		return false;
	}

	const endedAt = evacuationEnds.get(domain) ?? Number.NEGATIVE_INFINITY;
	return isWarmingUp || now < endedAt + (contract.warmUpMs ?? 0);
}

/** Finds the limit of a budget; nothing when the subject is not a database of a group that limits cold ones. */
export function findColdLimit({contracts, upstreams}: Pick<FleetState, 'contracts' | 'upstreams'>, subject: string): TeamLimit | undefined {
	const upstream = subject.startsWith(SUBJECT_PREFIX) ? upstreams.get(subject.slice(SUBJECT_PREFIX.length)) : undefined;
	const coldPerSecond = upstream && contracts?.groups.get(upstream.group)?.coldPerSecond;
	return coldPerSecond ? {ratePerSecond: coldPerSecond * GRANTED_SHARE, burst: 0, isStrict: true} : undefined;
}
