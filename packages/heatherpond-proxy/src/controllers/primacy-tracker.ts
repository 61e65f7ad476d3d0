/** Derives former lease holders and open promotions from changes of the view. */
import {
	applyOpenPromotions, readLeaseWaitMs, type Clock, type FleetView, type FormerLeaseHolder, type HostBlackboard, type Instant, type LogEntry, type PrimacyBlackboard, type PrimacyState,
} from 'heatherpond-core';

/** Dependencies of the tracker. */
export type PrimacyTrackerOptions = {
	readonly blackboard: HostBlackboard;
	readonly primacy: PrimacyBlackboard;
	readonly clock: Clock;
	readonly timings: {readonly termLeaseMs: number};
	readonly signal: AbortSignal;
};

/** Starts the tracker. Ends when the signal aborts. */
export function startPrimacyTracker({blackboard, primacy, clock, timings, signal}: PrimacyTrackerOptions): void {
	function handleView(view: FleetView, previous: FleetView): void {
		const now = clock.readNow();
		const {recentEntries} = blackboard.read();
		primacy.update(state => applyView(state, {
			view, previous, recentEntries, now, expiredBefore: now - readLeaseWaitMs(timings.termLeaseMs),
		}));
	}

	handleView(blackboard.read().view, blackboard.read().view);
	const stopListening = blackboard.registerListener(state => state.view, handleView);
	signal.addEventListener('abort', stopListening, {once: true});
}

/** Change from one view to the next. */
type ViewChange = {
	readonly view: FleetView;
	readonly previous: FleetView;
	readonly recentEntries: readonly LogEntry[];
	readonly now: Instant;
	readonly expiredBefore: Instant;
};

function applyView(state: PrimacyState, change: ViewChange): PrimacyState {
	const followedSince = hasMissedHosts(change) ? change.now : state.followedSince;
	return {
		...state, followedSince, former: updateFormerHolders(state.former, change), open: applyOpenPromotions(state.open, Object.values(change.view.groups), change.now),
	};
}

/**
 * Decides whether a host may have been registered and removed between the two views without appearing in either of them:
 * entries in between are unknown, or one of them registers an incarnation that the new view does not contain.
 */
function hasMissedHosts({view, previous, recentEntries}: ViewChange): boolean {
	const entries = recentEntries.filter(entry => entry.version > previous.version && entry.version <= view.version);
	const isIncomplete = entries.length < view.version - previous.version;
	return isIncomplete || entries.some(({change}) => change.kind === 'hostRegistered' && view.hosts[change.host]?.incarnation !== change.incarnation);
}

function updateFormerHolders(former: readonly FormerLeaseHolder[], {view, previous, now, expiredBefore}: ViewChange): readonly FormerLeaseHolder[] {
	if (view.hosts === previous.hosts) {
		return former;
	}

	const removed = Object.values(previous.hosts).filter(host => view.hosts[host.host]?.incarnation !== host.incarnation);
	return [...former.filter(holder => holder.noticedAt > expiredBefore), ...removed.map(host => ({...host, noticedAt: now}))];
}
