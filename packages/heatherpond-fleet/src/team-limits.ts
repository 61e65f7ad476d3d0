/**
 * Admits operations within the limits of their teams. One host of each failure domain, the one that also reads the store,
 * decides for all of them; the others ask it for a few operations at a time. While it does not answer, each of them keeps
 * to its own part of the domain's share.
 */
import type {Clock, Deadline, Instant} from 'heatherpond-core';
import type {AdmissionPort, WriteEvent} from 'heatherpond-session';
import type {HostRecord} from './fleet-records.js';
import type {FleetBlackboard} from './fleet-state.js';
import {applyOffer, readOffered, type OfferedRate} from './offered-rate.js';
import {
	applyReport, createTeamShare, decideOperations, readShare, type OtherShares, type TeamLimit, type TeamShare,
} from './team-share.js';

/** What a host that decides lets through. */
export type Grant = {readonly granted: number; readonly retryAfterMs: number};

/** Asks the host that decides. */
export type AskGrant = (host: HostRecord, question: {readonly team: string; readonly wanted: number}, deadline: Deadline) => Promise<Grant | undefined>;

/** What is known of a team elsewhere. */
export type TeamUsage = {
	/** The other domains, for an account that decides for all hosts of the own domain that are heard. */
	readonly others: OtherShares;
	/** Operations a second that other hosts of the own domain are asked for. */
	readonly matesPerSecond: number;
	/** Hosts of the own domain that are heard, this one included. */
	readonly domainHosts: number;
};

/** The limits of all teams on one host. */
export type TeamLimits = AdmissionPort & {
	/** Decides for another host of the failure domain. */
	readonly decideGrant: (team: string, wanted: number) => Grant;
	/** Operations a second that each team asks of this host; the others are told. */
	readonly readUsage: () => Record<string, number>;
};

/** What the limits need. */
export type TeamLimitsOptions = {
	readonly clock: Clock;
	readonly blackboard: FleetBlackboard;
	readonly readUsage: (team: string) => TeamUsage;
	/** Finds the host that decides; nothing when this one does. */
	readonly findDecider: () => HostRecord | undefined;
	readonly ask: AskGrant;
	readonly writeEvent: WriteEvent;
};

/** Operations a second below which a team is left out of reports. */
const REPORTED_PER_SECOND = 0.05;
/** Milliseconds within which the host that decides must answer. */
const ASK_TIMEOUT_MS = 50;
/** Seconds of demand that are asked for at once, and the most operations. */
const WANTED_S = 0.25;
const MAX_WANTED = 8;
/** Milliseconds for which operations that were granted may be used. */
const GRANT_MS = 600;

type Bank = {readonly left: number; readonly until: Instant};

/** Creates the limits. */
export function createTeamLimits(options: TeamLimitsOptions): TeamLimits {
	const {clock, blackboard} = options;
	/** Accounts with which this host decides for its domain, and for itself alone. */
	const domainShares = new Map<string, TeamShare>();
	const ownShares = new Map<string, TeamShare>();
	const offered = new Map<string, OfferedRate>();
	const banks = new Map<string, Bank>();

	function findLimit(team: string): TeamLimit | undefined {
		return blackboard.read().contracts?.teams.get(team);
	}

	function readDomainOffered(team: string, limit: TeamLimit): number {
		return readOffered(offered.get(team), limit, clock.readNow()) + options.readUsage(team).matesPerSecond;
	}

	function decide(shares: Map<string, TeamShare>, team: string, {wanted, part}: {readonly wanted: number; readonly part: number}): Grant {
		const limit = findLimit(team);
		if (!limit) {
			return {granted: wanted, retryAfterMs: 0};
		}

		const now = clock.readNow();
		const {others} = options.readUsage(team);
		const scaled: OtherShares = {...others, ownPart: others.ownPart * part};
		const known = shares.get(team) ?? applyReport(createTeamShare(limit, scaled, now), readDomainOffered(team, limit));
		const {share, granted, retryAfterMs} = decideOperations(known, limit, scaled, {wanted, now});
		shares.set(team, share);
		if (granted === 0) {
			options.writeEvent('limit_reached', {
				team, rate: limit.ratePerSecond, share: convertToHundredths(readShare(share, limit, scaled)), tokens: convertToHundredths(share.tokens),
				asked: convertToHundredths(share.reportedPerSecond),
				asked_elsewhere: convertToHundredths(others.offeredPerSecond), heard: others.heard, unheard: others.unheard, part: convertToHundredths(scaled.ownPart), retry_after_ms: retryAfterMs,
			});
		}

		return {granted, retryAfterMs};
	}

	async function askDecider(decider: HostRecord, team: string, limit: TeamLimit): Promise<number> {
		const rate = readOffered(offered.get(team), limit, clock.readNow());
		const wanted = Math.min(MAX_WANTED, Math.max(1, Math.ceil(rate * WANTED_S)));
		const grant = await options.ask(decider, {team, wanted}, clock.readNow() + ASK_TIMEOUT_MS)
			?? decide(ownShares, team, {wanted: 1, part: 1 / options.readUsage(team).domainHosts});
		if (grant.granted === 0) {
			return grant.retryAfterMs;
		}

		const left = readLeft(banks.get(team), clock.readNow());
		banks.set(team, {left: left + grant.granted - 1, until: clock.readNow() + GRANT_MS});
		return 0;
	}

	return {
		async admit(team) {
			const limit = findLimit(team);
			if (!limit) {
				return 0;
			}

			const now = clock.readNow();
			offered.set(team, applyOffer(offered.get(team), limit, now));
			const left = readLeft(banks.get(team), now);
			if (left > 0) {
				banks.set(team, {...banks.get(team)!, left: left - 1});
				return 0;
			}

			const decider = options.findDecider();
			return decider ? askDecider(decider, team, limit) : decide(domainShares, team, {wanted: 1, part: 1}).retryAfterMs;
		},
		decideGrant: (team, wanted) => decide(domainShares, team, {wanted, part: 1}),
		readUsage() {
			[domainShares, ownShares].forEach(shares => {
				applyReports(shares);
			});
			const now = clock.readNow();
			return Object.fromEntries([...offered].flatMap(([team, rate]) => {
				const limit = findLimit(team);
				const perSecond = limit ? readOffered(rate, limit, now) : 0;
				return perSecond > REPORTED_PER_SECOND ? [[team, Math.round(perSecond * 10) / 10]] : [];
			}));
		},
	};

	function applyReports(shares: Map<string, TeamShare>): void {
		[...shares].forEach(([team, share]) => {
			const limit = findLimit(team);
			if (limit) {
				shares.set(team, applyReport(share, readDomainOffered(team, limit)));
			} else {
				shares.delete(team);
			}
		});
	}
}

function readLeft(bank: Bank | undefined, now: Instant): number {
	return bank && now < bank.until ? bank.left : 0;
}

function convertToHundredths(value: number): number {
	return Math.round(value * 100) / 100;
}
