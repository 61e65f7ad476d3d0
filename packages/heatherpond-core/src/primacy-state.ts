/**
 * One host's knowledge of the primaries of groups beyond its view: probe results, fencing promises and removed hosts.
 */
import {createBlackboard, type Blackboard} from './blackboard.js';
import type {Instant} from './clock.js';
import type {GroupRecord} from './fleet-view.js';
import type {FormerLeaseHolder} from './primacy-proof.js';
import type {MemberProbeState} from './promotion-decisions.js';

/** A promotion that, according to the view, has started and not ended. */
export type OpenPromotion = {
	readonly term: number;
	/** Term of the primary that it replaces. */
	readonly baseTerm: number;
	/** When this promotion first appeared in the view. */
	readonly noticedAt: Instant;
	/**
	 * When any promotion that replaces that primary first appeared in the view; no host has obtained a lease on the
	 * primary since.
	 */
	readonly openSince: Instant;
};

/** State that a host keeps about primaries. */
export type PrimacyState = {
	/** By group: the fencing term, below which this host has promised to use no lease. It only increases. */
	readonly fences: Readonly<Record<string, number>>;
	/** Probe state of members, by `group/database`. */
	readonly probeStates: Readonly<Record<string, MemberProbeState>>;
	/** Hosts that disappeared from the view less than a lease ago. */
	readonly former: readonly FormerLeaseHolder[];
	/** When this host obtained its first complete view. */
	readonly followedSince: Instant;
	/** Promotions in progress, by group. */
	readonly open: Readonly<Record<string, OpenPromotion>>;
};

export type PrimacyBlackboard = Blackboard<PrimacyState>;

/** Creates the blackboard of a host whose view has been complete since `followedSince`. */
export function createPrimacyBlackboard(followedSince: Instant): PrimacyBlackboard {
	return createBlackboard<PrimacyState>({
		fences: {}, probeStates: {}, former: [], followedSince, open: {},
	});
}

/** Applies a promise to use no lease on a group below a term. Promises are never withdrawn. */
export function applyFence(state: PrimacyState, group: string, term: number): PrimacyState {
	return term > (state.fences[group] ?? 0) ? {...state, fences: {...state.fences, [group]: term}} : state;
}

/** Updates the known promotions in progress from the groups of the view. */
export function applyOpenPromotions(open: PrimacyState['open'], groups: readonly GroupRecord[], now: Instant): PrimacyState['open'] {
	return Object.fromEntries(groups.flatMap(group => {
		const {settings: {name}, term: baseTerm, promotion} = group;
		return promotion ? [[name, updateOpenPromotion(open[name], {baseTerm, term: promotion.term}, now)] as const] : [];
	}));
}

function updateOpenPromotion(known: OpenPromotion | undefined, {baseTerm, term}: Pick<OpenPromotion, 'baseTerm' | 'term'>, now: Instant): OpenPromotion {
	const isSameBase = known?.baseTerm === baseTerm;
	return {
		baseTerm, term, noticedAt: isSameBase && known.term === term ? known.noticedAt : now, openSince: isSameBase ? known.openSince : now,
	};
}

/** Largest number of times that the takeover delay is doubled. */
const MAX_DOUBLINGS = 4;

/**
 * Returns when another host takes over a promotion whose promoter does not respond. The delay doubles with every
 * takeover, so that hosts that cannot reach each other do not take over from one another indefinitely.
 */
export function decideTakeoverTime({noticedAt, term, baseTerm}: OpenPromotion, takeoverMs: number, rankDelayMs: number): Instant {
	const doublings = Math.min(MAX_DOUBLINGS, Math.max(0, term - baseTerm - 1));
	return noticedAt + (takeoverMs * (2 ** doublings)) + rankDelayMs;
}
