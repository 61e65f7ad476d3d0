/**
 * Redirects members that follow no database or a former primary to the current primary. Former primaries thus rejoin as
 * replicas.
 */
import {
	countDivergentBytes, decidePromoterRank, formatDatabaseKey, isRedirectRequired, PortError, type DatabaseStatus, type GroupRecord, type Instant,
} from 'heatherpond-core';
import {collectProbeStates, findMember, type PromotionOptions} from './promotion-options.js';

/** Redirects those members of a group that do not follow its primary. */
export type MemberRedirector = (group: GroupRecord) => void;

/** Delay that each host adds per rank in the group's order of hosts, so that usually only one host acts. */
const RANK_DELAY_MS = 150;
const RETRY_DELAY_MS = 500;

/** Creates the redirector. */
export function createMemberRedirector(options: PromotionOptions): MemberRedirector {
	const {clock, identity, blackboard} = options;
	const nextAttemptAt = new Map<string, Instant>();

	return group => {
		const {name} = group.settings;
		const now = clock.readNow();
		const rank = decidePromoterRank(name, identity.host, Object.keys(blackboard.read().view.hosts));
		collectProbeStates(options, group).forEach(probeState => {
			const key = formatDatabaseKey(name, probeState.name);
			if (!probeState.status || probeState.unreachableSince !== undefined || !isRedirectRequired(group, probeState.status)) {
				nextAttemptAt.delete(key);
				return;
			}

			const dueAt = nextAttemptAt.get(key) ?? now + (rank * RANK_DELAY_MS);
			nextAttemptAt.set(key, dueAt);
			if (now >= dueAt) {
				nextAttemptAt.set(key, now + RETRY_DELAY_MS);
				void requestFollow(options, group, probeState.status);
			}
		});
	};
}

async function requestFollow({upstream, clock, timings, recordEvent, signal}: PromotionOptions, group: GroupRecord, status: DatabaseStatus): Promise<void> {
	const member = findMember(group, status.name);
	const primary = findMember(group, group.primary);
	if (!member || !primary) {
		return;
	}

	try {
		await upstream.follow(member, primary, group.term, {deadline: clock.readNow() + timings.probeTimeoutMs, signal, onNewConnection: false});
		const dropped = countDivergentBytes(group, status.last);
		recordEvent('promotionStep', {
			group: group.settings.name, database: status.name, term: group.term, step: dropped > 0n ? 'tailDropped' : 'redirected', amount: Number(dropped),
		});
	} catch (error) {
		if (!(error instanceof PortError)) {
			throw error;
		}
	}
}
