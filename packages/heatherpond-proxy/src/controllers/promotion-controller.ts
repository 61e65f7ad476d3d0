/**
 * Decides for each group when this host promotes a member: to replace a failed primary (failover), to complete the
 * promotion of a promoter that is gone (takeover), or on an operator's request (switchover).
 */
import {
	applyProbe, compareProgress, decidePromoterRank, decideSuspicion, decideTakeoverTime, formatDatabaseKey, hasReached, isMajorityReachableWithoutPrimary, isMajorityReachable, isSameBasis, PortError, readLeaseWaitMs, readPromotionBasis, runPeriodically, waitUntil,
	type GroupAssessment, type GroupRecord, type Instant, type PromotionOrder, type Suspicion,
} from 'heatherpond-core';
import {requestAgreement, requestView, createViewRequest} from './host-requests.js';
import {createMemberRedirector} from './member-redirector.js';
import {
	collectProbeStates, findGroup, findMember, formatPromoter, type PromotionOptions,
} from './promotion-options.js';
import {createPromotionRunner, type PromotionOutcome} from './promotion-runner.js';
import {createPromotionSteps} from './promotion-steps.js';

/** Interface of the promotion controller to other components. */
export type PromotionController = {
	/**
	 * Makes `candidate` the primary of a group without losing writes. An empty string selects the most advanced
	 * replica.
	 */
	readonly startSwitchover: (group: string, candidate: string) => Promise<PromotionOutcome>;
	/** Returns this host's assessment of a group's primary. */
	readonly readAssessment: (group: string) => GroupAssessment;
	/** Returns the term of this host's running promotion of a group, or 0 if there is none. */
	readonly readPromotingTerm: (group: string) => number;
};

/** Delay that each host adds per rank in the group's order of hosts, and its maximum, so that usually one host promotes. */
const RANK_DELAY_MS = 25;
const MAX_RANK_DELAY_MS = 500;
/** Additional time after the lease wait for an unresponsive promoter, which may be unreachable for this host only. */
const UNRESPONSIVE_PROMOTER_GRACE_MS = 250;
/** Range of the random delay before this host starts another promotion of the same group. */
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 300;

/** Starts the controller. Ends when the signal aborts. */
export function startPromotionController(options: PromotionOptions): PromotionController {
	const {blackboard, clock, identity, primacy, timings, signal} = options;
	const runner = createPromotionRunner(options, createPromotionSteps(options));
	const redirectMembers = createMemberRedirector(options);
	const evaluating = new Set<string>();
	const backoffUntil = new Map<string, Instant>();

	function readSuspicion(group: GroupRecord): Suspicion | undefined {
		return decideSuspicion(group, collectProbeStates(options, group), clock.readNow(), timings.suspicionMs);
	}

	function readAssessment(name: string): GroupAssessment {
		const group = findGroup(options, name);
		return {domain: identity.domain, canSee: group !== undefined && isMajorityReachableWithoutPrimary(group, collectProbeStates(options, group)), suspicion: group && readSuspicion(group)};
	}

	function readRankDelay(name: string): number {
		return Math.min(MAX_RANK_DELAY_MS, RANK_DELAY_MS * decidePromoterRank(name, identity.host, options.monitors.findMonitors(name)));
	}

	async function runPromotion(group: GroupRecord, reason: PromotionOrder['reason'], wanted?: string): Promise<PromotionOutcome> {
		const {name} = group.settings;
		const outcome = await runner.run({
			group: name, members: group.settings.members.length, reason, basis: readPromotionBasis(group), primary: group.primary, isPrimarySuspected: reason !== 'switchover', wanted,
		});
		backoffUntil.set(name, clock.readNow() + MIN_RETRY_DELAY_MS + (options.drawNumber() * (MAX_RETRY_DELAY_MS - MIN_RETRY_DELAY_MS)));
		return outcome;
	}

	async function evaluateFailover(group: GroupRecord): Promise<void> {
		const {name} = group.settings;
		const own = readAssessment(name);
		if (!own.suspicion) {
			redirectMembers(group);
			return;
		}

		options.recordEvent('databaseSuspected', {group: name, database: group.primary, reason: own.suspicion});
		if ((own.suspicion === 'cut_off' && await hasReconnected(options, group)) || !await requestAgreement(options, name, own)) {
			return;
		}

		await waitUntil(clock, clock.readNow() + readRankDelay(name), signal);
		if (isSameBasis(findGroup(options, name), readPromotionBasis(group)) && readAssessment(name).suspicion) {
			await runPromotion(group, 'failover');
		}
	}

	async function evaluateTakeover(group: GroupRecord): Promise<void> {
		const {name} = group.settings;
		const open = primacy.read().open[name];
		const isDue = open !== undefined && clock.readNow() >= decideTakeoverTime(open, timings.takeoverMs, readRankDelay(name));
		if (!isDue || !isMajorityReachable(group, collectProbeStates(options, group))) {
			return;
		}

		const promoterState = await readPromoterState(options, group);
		const leaseEnd = open.openSince + readLeaseWaitMs(timings.termLeaseMs) + UNRESPONSIVE_PROMOTER_GRACE_MS;
		if (promoterState === 'promoting' || (promoterState === 'silent' && clock.readNow() < leaseEnd)) {
			return;
		}

		await runPromotion(group, 'takeover');
	}

	async function evaluateGroup(name: string): Promise<void> {
		const group = findGroup(options, name);
		if (!group || runner.isRunning(name) || clock.readNow() < (backoffUntil.get(name) ?? 0)) {
			return;
		}

		await (group.promotion ? evaluateTakeover(group) : evaluateFailover(group));
	}

	async function evaluateOnce(name: string): Promise<void> {
		if (evaluating.has(name)) {
			return;
		}

		evaluating.add(name);
		try {
			await evaluateGroup(name);
		} finally {
			evaluating.delete(name);
		}
	}

	void runPeriodically(clock, timings.probeIntervalMs, async () => {
		Object.keys(blackboard.read().view.groups).filter(name => options.monitors.isMonitor(name)).forEach(name => {
			void evaluateOnce(name);
		});
	}, signal);
	return {
		readAssessment,
		readPromotingTerm: runner.readTerm,
		async startSwitchover(name, candidate) {
			const group = findGroup(options, name);
			const wanted = candidate === '' && group ? findBestReplica(options, group) : candidate;
			const refusal = findSwitchoverRefusal(options, group, wanted);
			if (refusal !== undefined || !group) {
				return {kind: 'abandoned', reason: refusal ?? 'the group does not exist'};
			}

			return runPromotion(group, 'switchover', wanted);
		},
	};
}

/** Maximum age of a candidate's data for a switchover. */
const MAX_CANDIDATE_AGE_MS = 1000;

function findBestReplica(options: PromotionOptions, group: GroupRecord): string {
	const replicas = collectProbeStates(options, group).filter(probeState => probeState.name !== group.primary && probeState.unreachableSince === undefined && !group.leaving.includes(probeState.name));
	return replicas.flatMap(probeState => probeState.status ?? []).toSorted(compareProgress).at(0)?.name ?? '';
}

function findSwitchoverRefusal(options: PromotionOptions, group: GroupRecord | undefined, candidate: string): string | undefined {
	if (!findMember(group, candidate) || !group) {
		return 'the group or the database does not exist';
	}

	if (group.promotion) {
		return 'a promotion of the group is in progress';
	}

	if (group.primary === candidate) {
		return 'the database already is the primary';
	}

	const probeState = collectProbeStates(options, group).find(state => state.name === candidate);
	const isUsable = probeState?.status !== undefined && probeState.unreachableSince === undefined && probeState.status.dataAgeMs <= MAX_CANDIDATE_AGE_MS;
	return isUsable ? undefined : 'the database is unreachable or its replication lag is too high';
}

/** State of a promoter: `silent` if it does not respond, `gone` if it certainly does not run the promotion any more. */
type PromoterState = 'promoting' | 'silent' | 'gone';

/** Asks the promoter of an open promotion whether it is still running the promotion. */
async function readPromoterState(options: PromotionOptions, group: GroupRecord): Promise<PromoterState> {
	const {identity, blackboard} = options;
	const {promotion} = group;
	const host = Object.values(blackboard.read().view.hosts).find(candidate => formatPromoter(candidate.host, candidate.incarnation) === promotion?.promoter);
	if (!promotion || !host || host.host === identity.host) {
		return 'gone';
	}

	const response = await requestView(options, host, createViewRequest(options, group.settings.name, 0));
	if (!response) {
		return 'silent';
	}

	return response.promotingTerm === promotion.term ? 'promoting' : 'gone';
}

/**
 * Makes the reachable replicas reconnect to their primary, and resolves with whether one of them thereby caught up.
 * A stalled or slow replication connection alone is no reason to replace a primary.
 */
async function hasReconnected(options: PromotionOptions, group: GroupRecord): Promise<boolean> {
	const {upstream, clock, timings, signal, primacy} = options;
	const primary = findMember(group, group.primary)!;
	const {status: source} = collectProbeStates(options, group).find(probeState => probeState.name === group.primary) ?? {};
	const replicas = collectProbeStates(options, group).filter(probeState => probeState.name !== group.primary && probeState.unreachableSince === undefined && probeState.status);
	const results = await Promise.all(replicas.map(async probeState => {
		const requestedAt = clock.readNow();
		try {
			const status = await upstream.follow(findMember(group, probeState.name)!, primary, group.term, {deadline: requestedAt + timings.probeTimeoutMs, signal, onNewConnection: false});
			const hasCaughtUp = source !== undefined && hasReached(status, source) && !hasReached(probeState.status!, source);
			if (hasCaughtUp) {
				const key = formatDatabaseKey(group.settings.name, probeState.name);
				primacy.update(state => ({...state, probeStates: {...state.probeStates, [key]: applyProbe(undefined, status, requestedAt)}}));
			}

			return hasCaughtUp;
		} catch (error) {
			if (error instanceof PortError) {
				return false;
			}

			throw error;
		}
	}));
	return results.includes(true);
}
