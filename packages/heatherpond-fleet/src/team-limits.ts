/**
 * Admission control: enforces the rate limits of teams. In each failure domain the leader, the host that also reads the
 * store, keeps the token buckets of the domain; the other hosts request a few operations from it at a time. While the
 * leader does not respond, each host falls back to a bucket of its own, filled with an equal part of the domain's share.
 *
 * The load in mind is many teams with thin rates over many hosts and domains: a domain's share of such a rate is less than
 * one operation a second, so it runs out while others have tokens left. A leader with an empty bucket therefore asks the
 * other leaders for tokens before it refuses. The giver deducts what it gives, so a lost message destroys tokens and never
 * creates any.
 */
import type {Deadline, Instant} from 'heatherpond-core';
import type {AdmissionPort, WriteEvent} from 'heatherpond-session';
import type {FleetBlackboard} from './fleet-state.js';
import {waitForState} from './wait-for-state.js';
import type {HostContact} from './host-message.js';
import {recordOperation, readDemand, type DemandRate} from './demand-rate.js';
import {
	applyRefill, recordReportedDemand, createTokenBucket, insertTokens, takeTokens, takeTokensForTransfer, readLimitShare, type OtherDomains, type TeamLimit, type TokenBucket,
} from './token-bucket.js';
import {createTokenTransfers, type TokenTransferOptions} from './token-transfers.js';

/** Response of the domain leader: operations granted or, when there are none, the delay before a retry. */
export type Grant = {readonly granted: number; readonly retryAfterMs: number};

/** Requests operations from the domain leader; resolves to nothing when it does not respond by the deadline. */
export type RequestGrant = (host: HostContact, request: {readonly team: string; readonly wanted: number}, deadline: Deadline) => Promise<Grant | undefined>;

/** Demand of a team at the other hosts. */
export type TeamUsage = {
	/** Demand in the other domains, for a bucket that covers every live host of the own domain. */
	readonly otherDomains: OtherDomains;
	/** Operations per second that the team requests from the other hosts of the own domain. */
	readonly domainPeersPerSecond: number;
	/** Number of hosts of the own domain that have reported recently, this one included. */
	readonly liveDomainHosts: number;
};

/** Rate limits of all teams on one host. */
export type TeamLimits = AdmissionPort & {
	/** Handles the request of another host of the failure domain. */
	readonly decideGrant: (team: string, wanted: number) => Promise<Grant>;
	/** Handles the request of another domain's leader for tokens; returns how many it is given. */
	readonly decideTransfer: (team: string, wanted: number) => number;
	/** Operations per second that each team requests from this host, for the report to other hosts. */
	readonly readUsage: () => Record<string, number>;
	/** Records in the buckets that the present demand has been reported, so that all domains divide a limit by the same figures. */
	readonly recordReported: () => void;
};

/** Dependencies of the limits. */
export type TeamLimitsOptions = TokenTransferOptions & {
	readonly blackboard: FleetBlackboard;
	readonly readUsage: (team: string) => TeamUsage;
	/** Finds the domain leader; nothing when this host is the leader. */
	readonly findDomainLeader: () => HostContact | undefined;
	readonly requestGrant: RequestGrant;
	/** Finds the limit of a subject that is not a team. */
	readonly findOtherLimit: (subject: string) => TeamLimit | undefined;
	readonly writeEvent: WriteEvent;
	readonly signal: AbortSignal;
};

/** Demand, in operations per second, up to which a team is left out of reports. */
const MIN_REPORTED_PER_SECOND = 0.05;
/** Time within which the domain leader must respond, in milliseconds; it may have to ask the other domains first, which takes up to 120. */
const GRANT_TIMEOUT_MS = 200;
/** Requests that a domain leader leaves unanswered in a row before it counts as silent; a single datagram may be lost. */
const MAX_UNANSWERED = 2;
/** Time for which a silent domain leader is not asked again, in milliseconds. */
const LEADER_BACKOFF_MS = 400;
/** Size of one request to the leader: the demand of this many seconds, and at most this many operations. */
const REQUESTED_DEMAND_S = 0.25;
const MAX_REQUESTED = 8;
/** Time for which operations wait until a host that has just started knows the other hosts, and delay before a retry after that, in milliseconds. */
const START_WAIT_MS = 300;
const START_RETRY_AFTER_MS = 100;
/** Time for which granted operations stay usable, in milliseconds. */
const GRANT_LIFETIME_MS = 600;

const NO_GRANT: Grant = {granted: 0, retryAfterMs: START_RETRY_AFTER_MS};

/** Granted operations that have not been used yet. */
type UnusedGrant = {readonly left: number; readonly until: Instant};

/** Creates the rate limits of one host. */
export function createTeamLimits(options: TeamLimitsOptions): TeamLimits {
	const {clock, blackboard} = options;
	/** Buckets by team: for the whole domain, used as its leader, and for this host alone, used while the leader does not respond. */
	const domainBuckets = new Map<string, TokenBucket>();
	const ownBuckets = new Map<string, TokenBucket>();
	const demands = new Map<string, DemandRate>();
	const unusedGrants = new Map<string, UnusedGrant>();
	const transfers = createTokenTransfers(options);
	let leaderBackoffUntil: Instant = Number.NEGATIVE_INFINITY;
	/** Number of requests in a row that the domain leader has not answered. */
	let unansweredCount = 0;
	/** Since when this host leads its domain, as far as it has reported since; its buckets fill up from then on. */
	let leadingSince: Instant | undefined;

	/** Finds the limit of a team, or of what else is limited over all hosts. */
	function findLimit(team: string): TeamLimit | undefined {
		return blackboard.read().contracts?.teams.get(team) ?? options.findOtherLimit(team);
	}

	/** Whether this host may create tokens: before it knows the other hosts, their parts of the limit could be counted twice. */
	function isEntitled(): boolean {
		return options.blackboard.read().arePeersKnown;
	}

	async function waitUntilEntitled(): Promise<boolean> {
		return waitForState(options, ({arePeersKnown}) => arePeersKnown, clock.readNow() + START_WAIT_MS, options.signal);
	}

	function readDomainDemand(team: string, limit: TeamLimit): number {
		return readDemand(demands.get(team), limit, clock.readNow()) + options.readUsage(team).domainPeersPerSecond;
	}

	function takeFromBucket(buckets: Map<string, TokenBucket>, team: string, {wanted, part}: {readonly wanted: number; readonly part: number}): Grant {
		const limit = findLimit(team);
		if (!limit) {
			return {granted: wanted, retryAfterMs: 0};
		}

		const now = clock.readNow();
		const {otherDomains} = options.readUsage(team);
		const scaledDomains: OtherDomains = {...otherDomains, coveredFraction: otherDomains.coveredFraction * part};
		const known = buckets.get(team) ?? recordReportedDemand(createTokenBucket(limit, scaledDomains, now), readDomainDemand(team, limit));
		const {share: bucket, granted, retryAfterMs} = takeTokens(known, limit, scaledDomains, {wanted, now});
		buckets.set(team, bucket);
		if (granted === 0) {
			options.writeEvent('limit_reached', {
				team, rate: limit.ratePerSecond, share: convertToHundredths(readLimitShare(bucket, limit, scaledDomains)), tokens: convertToHundredths(bucket.tokens),
				asked: convertToHundredths(bucket.reportedDemandPerSecond),
				asked_elsewhere: convertToHundredths(otherDomains.demandPerSecond), heard: otherDomains.heard, unheard: otherDomains.unheard,
				part: convertToHundredths(scaledDomains.coveredFraction), retry_after_ms: retryAfterMs,
			});
		}

		return {granted, retryAfterMs};
	}

	/** Takes operations from the bucket of the domain, after a transfer from other domains when it is empty. */
	async function takeFromDomain(team: string, wanted: number): Promise<Grant> {
		const limit = findLimit(team);
		if (!await waitUntilEntitled()) {
			return {granted: 0, retryAfterMs: START_RETRY_AFTER_MS};
		}

		if (limit && !hasTokens(team, limit)) {
			await transfers.acquireToken(team, {
				countTokens: () => findDomainBucket(team, limit).tokens,
				insertTokens(tokens) {
					domainBuckets.set(team, insertTokens(findDomainBucket(team, limit), tokens));
				},
			});
		}

		return takeFromBucket(domainBuckets, team, {wanted, part: 1});
	}

	function findDomainBucket(team: string, limit: TeamLimit): TokenBucket {
		const {otherDomains} = options.readUsage(team);
		const now = clock.readNow();
		const known = domainBuckets.get(team);
		const bucket = known ?? recordReportedDemand(createTokenBucket(limit, otherDomains, leadingSince ?? now), readDomainDemand(team, limit));
		return applyRefill(bucket, limit, otherDomains, now);
	}

	function hasTokens(team: string, limit: TeamLimit): boolean {
		const bucket = findDomainBucket(team, limit);
		domainBuckets.set(team, bucket);
		return bucket.tokens >= 1;
	}

	function decideTransfer(team: string, wanted: number): number {
		const limit = findLimit(team);
		// A host that is no longer the leader must not create a bucket: its tokens would come on top of the leader's.
		if (!limit || !isEntitled() || options.findDomainLeader() !== undefined) {
			return 0;
		}

		const {bucket, given} = takeTokensForTransfer(findDomainBucket(team, limit), limit, options.readUsage(team).otherDomains, {wanted, now: clock.readNow()});
		domainBuckets.set(team, bucket);
		return given;
	}

	/** Takes one operation from the bucket that this host uses while the leader does not respond. */
	async function takeFromOwnBucket(team: string): Promise<Grant> {
		return await waitUntilEntitled()
			? takeFromBucket(ownBuckets, team, {wanted: 1, part: 1 / options.readUsage(team).liveDomainHosts})
			: {granted: 0, retryAfterMs: START_RETRY_AFTER_MS};
	}

	/** Requests operations from the domain leader, a second time when the first request is not answered; resolves to nothing when the leader is silent. */
	async function requestUnlessSilent(leader: HostContact, team: string, wanted: number): Promise<Grant | undefined> {
		if (clock.readNow() < leaderBackoffUntil) {
			return undefined;
		}

		const response = await options.requestGrant(leader, {team, wanted}, clock.readNow() + GRANT_TIMEOUT_MS);
		unansweredCount = response ? 0 : unansweredCount + 1;
		if (response) {
			return response;
		}

		if (unansweredCount < MAX_UNANSWERED) {
			return requestUnlessSilent(leader, team, wanted);
		}

		leaderBackoffUntil = clock.readNow() + LEADER_BACKOFF_MS;
		return undefined;
	}

	async function requestFromLeader(leader: HostContact, team: string, limit: TeamLimit): Promise<number> {
		const rate = readDemand(demands.get(team), limit, clock.readNow());
		const wanted = limit.isStrict ? 1 : Math.min(MAX_REQUESTED, Math.max(1, Math.ceil(rate * REQUESTED_DEMAND_S)));
		const response = await requestUnlessSilent(leader, team, wanted);

		if (response) {
			// A bucket that fills up beside the leader's would count the burst of the limit twice.
			ownBuckets.delete(team);
		}

		const grant = response ?? (limit.isStrict ? NO_GRANT : await takeFromOwnBucket(team));
		if (grant.granted === 0) {
			return grant.retryAfterMs;
		}

		const left = readLeft(unusedGrants.get(team), clock.readNow());
		unusedGrants.set(team, {left: left + grant.granted - 1, until: clock.readNow() + GRANT_LIFETIME_MS});
		return 0;
	}

	async function requestFromOwnDomain(team: string): Promise<number> {
		const {retryAfterMs} = await takeFromDomain(team, 1);
		return retryAfterMs;
	}

	return {
		async admit(team) {
			const limit = findLimit(team);
			if (!limit) {
				return 0;
			}

			const now = clock.readNow();
			demands.set(team, recordOperation(demands.get(team), limit, now));
			const left = readLeft(unusedGrants.get(team), now);
			if (left > 0) {
				unusedGrants.set(team, {...unusedGrants.get(team)!, left: left - 1});
				return 0;
			}

			const leader = options.findDomainLeader();
			return leader ? requestFromLeader(leader, team, limit) : requestFromOwnDomain(team);
		},
		decideGrant: takeFromDomain,
		decideTransfer,
		readUsage() {
			if (options.findDomainLeader() !== undefined) {
				domainBuckets.clear();
				leadingSince = undefined;
			} else if (isEntitled()) {
				leadingSince ??= clock.readNow();
			}

			const now = clock.readNow();
			return Object.fromEntries([...demands].flatMap(([team, rate]) => {
				const limit = findLimit(team);
				const perSecond = limit ? readDemand(rate, limit, now) : 0;
				return perSecond > MIN_REPORTED_PER_SECOND ? [[team, Math.round(perSecond * 10) / 10]] : [];
			}));
		},
		recordReported() {
			[domainBuckets, ownBuckets].forEach(buckets => {
				recordReportedDemands(buckets);
			});
		},
	};

	function recordReportedDemands(buckets: Map<string, TokenBucket>): void {
		[...buckets].forEach(([team, bucket]) => {
			const limit = findLimit(team);
			if (limit) {
				buckets.set(team, recordReportedDemand(bucket, readDomainDemand(team, limit)));
			} else {
				buckets.delete(team);
			}
		});
	}
}

function readLeft(unusedGrant: UnusedGrant | undefined, now: Instant): number {
	return unusedGrant && now < unusedGrant.until ? unusedGrant.left : 0;
}

function convertToHundredths(value: number): number {
	return Math.round(value * 100) / 100;
}
