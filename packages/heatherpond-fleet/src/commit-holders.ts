/**
 * Which databases may hold an acknowledged commit. In a group with synchronous replicas a commit is acknowledged once so many
 * of them have received it, whichever they are: also one that drains, and one whose registration has disappeared since. A promotion
 * has to know all of them, so the primacy record of such a group lists them.
 */
import {compareLogPositions} from 'heatherpond-session';
import type {DatabaseStatus} from './database-control-port.js';
import type {PrimacyRecord} from './fleet-records.js';
import type {FleetState} from './fleet-state.js';

/** Reads the number of replicas that must have received a commit before it is acknowledged; 0 where none must. */
export function readSyncReplicas({contracts}: Pick<FleetState, 'contracts'>, group: string): number {
	return contracts?.groups.get(group)?.syncReplicas ?? 0;
}

/** Finds the registered replicas of a group, among them those that drain or are evacuated: they receive commits as well. */
export function findReplicas({upstreams}: Pick<FleetState, 'upstreams'>, {group, primary}: PrimacyRecord): readonly string[] {
	return [...upstreams.values()].filter(upstream => upstream.group === group && upstream.id !== primary).map(({id}) => id);
}

/** Finds all databases besides the primary that may hold an acknowledged commit, in the order of their ids. */
export function findCommitHolders(state: Pick<FleetState, 'upstreams'>, record: PrimacyRecord): readonly string[] {
	const all = new Set([...findReplicas(state, record), ...record.holders ?? []]);
	return [...all].filter(id => id !== record.primary).toSorted();
}

/** Finds the listed holders that are no longer registered. */
export function findDepartedHolders(state: Pick<FleetState, 'upstreams'>, record: PrimacyRecord): readonly string[] {
	return findCommitHolders(state, record).filter(id => !state.upstreams.has(id));
}

/**
 * Whether a replica holds everything that the primary had when its status was read, which was before that of the replica. Then
 * no commit of that time depends on a database that has departed.
 */
export function isCaughtUp(primary: DatabaseStatus, replica: DatabaseStatus): boolean {
	return primary.isPrimary && !replica.isPrimary && compareLogPositions(replica.point, primary.point) >= 0;
}

/**
 * Finds the holders under a new primary. Until its replicas have caught up with it, commits of earlier terms may be held by it
 * and by a database that has departed alone.
 */
export function findNextHolders(state: Pick<FleetState, 'upstreams'>, record: PrimacyRecord, primary: string): readonly string[] {
	const all = new Set([...findCommitHolders(state, record), ...record.primary === undefined ? [] : [record.primary]]);
	return [...all].filter(id => id !== primary).toSorted();
}
