/**
 * Admission control: enforces the rate limits of teams. In each failure domain the leader, the host that also reads the
 * store, keeps the token buckets of the domain; the other hosts request a few operations from it at a time. While the
 * leader does not respond, each host falls back to a bucket of its own, filled with an equal part of the domain's share.
 */
import type {Clock, Deadline, Instant} from 'heatherpond-core';
import type {AdmissionPort, WriteEvent} from 'heatherpond-session';
import type {FleetBlackboard} from './fleet-state.js';
import type {HostContact} from './host-messages.js';
import {recordOperation, readDemand, type DemandRate} from './demand-rate.js';
import {
	recordReportedDemand, createTokenBucket, takeTokens, readLimitShare, type OtherDomains, type TeamLimit, type TokenBucket,
} from './token-bucket.js';

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
	readonly decideGrant: (team: string, wanted: number) => Grant;
	/** Operations per second that each team requests from this host, for the report to other hosts. Records them in the buckets. */
	readonly readUsage: () => Record<string, number>;
};

/** Dependencies of the limits. */
export type TeamLimitsOptions = {
	readonly clock: Clock;
	readonly blackboard: FleetBlackboard;
	readonly readUsage: (team: string) => TeamUsage;
	/** Finds the domain leader; nothing when this host is the leader. */
	readonly findDomainLeader: () => HostContact | undefined;
	readonly requestGrant: RequestGrant;
	readonly writeEvent: WriteEvent;
};

/** Demand, in operations per second, up to which a team is left out of reports. */
const MIN_REPORTED_PER_SECOND = 0.05;
/** Time within which the domain leader must respond, in milliseconds. */
const GRANT_TIMEOUT_MS = 50;
/** Size of one request to the leader: the demand of this many seconds, and at most this many operations. */
const REQUESTED_DEMAND_S = 0.25;
const MAX_REQUESTED = 8;
/** Time for which granted operations stay usable, in milliseconds. */
const GRANT_LIFETIME_MS = 600;

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

	function findLimit(team: string): TeamLimit | undefined {
		return blackboard.read().contracts?.teams.get(team);
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

	async function requestFromLeader(leader: HostContact, team: string, limit: TeamLimit): Promise<number> {
		const rate = readDemand(demands.get(team), limit, clock.readNow());
		const wanted = Math.min(MAX_REQUESTED, Math.max(1, Math.ceil(rate * REQUESTED_DEMAND_S)));
		const grant = await options.requestGrant(leader, {team, wanted}, clock.readNow() + GRANT_TIMEOUT_MS)
			?? takeFromBucket(ownBuckets, team, {wanted: 1, part: 1 / options.readUsage(team).liveDomainHosts});
		if (grant.granted === 0) {
			return grant.retryAfterMs;
		}

		const left = readLeft(unusedGrants.get(team), clock.readNow());
		unusedGrants.set(team, {left: left + grant.granted - 1, until: clock.readNow() + GRANT_LIFETIME_MS});
		return 0;
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
			return leader ? requestFromLeader(leader, team, limit) : takeFromBucket(domainBuckets, team, {wanted: 1, part: 1}).retryAfterMs;
		},
		decideGrant: (team, wanted) => takeFromBucket(domainBuckets, team, {wanted, part: 1}),
		readUsage() {
			[domainBuckets, ownBuckets].forEach(buckets => {
				recordReportedDemands(buckets);
			});
			const now = clock.readNow();
			return Object.fromEntries([...demands].flatMap(([team, rate]) => {
				const limit = findLimit(team);
				const perSecond = limit ? readDemand(rate, limit, now) : 0;
				return perSecond > MIN_REPORTED_PER_SECOND ? [[team, Math.round(perSecond * 10) / 10]] : [];
			}));
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
