/**
 * Adopts the existing primary of a group that the log does not know yet, if a majority of its databases agrees on it.
 */
import type {Instant} from './clock.js';
import type {GroupRecord} from './fleet-view.js';
import {formatDatabaseKey, type HostState} from './host-state.js';
import type {Change} from './log-entry.js';
import type {DatabaseStatus} from './upstream-port.js';

/** The log entry that records the existing primary of a group. */
export type Adoption = Extract<Change, {kind: 'promotionEnded'}>;

/**
 * Decides whether the existing primary of a group without a logged primary can be adopted.
 *
 * No write of such a group has been acknowledged yet, so its existing primary can be recorded without raising the term.
 * Nothing is decided while the databases disagree.
 *
 * @param group - the group according to the log
 * @param databases - the host's knowledge of databases
 * @param now - current instant
 * @param maxAgeMs - age in milliseconds above which a database status is ignored
 */
export function decideAdoption(group: GroupRecord, databases: HostState['databases'], now: Instant, maxAgeMs: number): Adoption | undefined {
	if (group.term > 0 || group.promotion) {
		return undefined;
	}

	const {name, members} = group.settings;
	const statuses = members
		.map(member => databases[formatDatabaseKey(name, member.name)])
		.filter(knowledge => knowledge !== undefined && now - knowledge.readAt <= maxAgeMs)
		.map(knowledge => knowledge!.status)
		.filter(status => status !== undefined);
	const primary = findAgreedPrimary(statuses, members.length);
	return primary && {
		kind: 'promotionEnded', group: name, term: primary.term, primary: primary.name, start: primary.last.position,
	};
}

/** Returns the only primary, if no database knows a higher term and a majority of the members follows it in its term. */
function findAgreedPrimary(statuses: readonly DatabaseStatus[], members: number): DatabaseStatus | undefined {
	const primaries = statuses.filter(status => status.role === 'primary');
	const primary = primaries[0];
	if (!primary || primaries.length > 1 || statuses.some(status => status.term > primary.term)) {
		return undefined;
	}

	const agreeing = statuses.filter(status => status === primary || (status.term === primary.term && status.follows === primary.name));
	return agreeing.length > members / 2 ? primary : undefined;
}
