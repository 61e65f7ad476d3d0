/**
 * Exchanges usage reports. The hosts of a failure domain report to their leader, which sends them a digest of all reports; in
 * a small domain, and while no digest arrives, they report to each other, so that they know whom to follow next. The leader
 * also sends the sum over its domain to the leader of every other domain, which relays it to its successors and gives the
 * other hosts of its domain an overview of all domains.
 */
import {
	runPeriodically, startLoop, type Instant,
} from 'heatherpond-core';
import type {PositionTracker} from 'heatherpond-session';
import type {FindDomainLeader} from './domain-leader.js';
import {createDomainDigests} from './domain-digests.js';
import {
	createDomainPeers, DIGEST_EXPIRY_MS, type ReceivedDigest, type ReceivedReport,
} from './domain-peers.js';
import type {FleetServices} from './fleet-services.js';
import {registerClockListener} from './fleet-state.js';
import type {HostContact, RegisteredIncarnation} from './host-message.js';
import type {HostMessages} from './host-messages.js';
import {createOwnReports, type HostUsage} from './own-reports.js';
import {findNextPoll, PEER_POLL_INTERVAL_MS} from './poll-schedule.js';
import {createRemoteDomains} from './remote-domains.js';
import {countTeamDemand} from './remote-usage.js';
import type {TeamUsage} from './team-limits.js';
import {applyReportedPositions} from './shared-positions.js';
import {createUsageElsewhere} from './usage-elsewhere.js';
import type {DomainDigest, DomainMember, UsageReport} from './usage-report.js';
import {createUsageSender} from './usage-sender.js';

/** Time between two reports of a failure domain to the others, in milliseconds. */
const DOMAIN_REPORT_INTERVAL_MS = 1200;
/** Minimum time between two digests that answer the digest of another host, in milliseconds. */
const MIN_DIGEST_REPLY_INTERVAL_MS = 100;

/** Usage of the other hosts, as received in their reports. */
export type UsageExchange = {
	/** Handles the report of another host; reports that are older than the last one of the same incarnation are ignored. */
	readonly applyReport: (report: UsageReport, isRelayed: boolean) => void;
	/** Handles the digest of a host of the own domain that considers itself the leader; returns the live hosts that it names. */
	readonly applyDigest: (digest: DomainDigest) => readonly DomainMember[];
	/** Reports to hosts of the own domain that another host has named. */
	readonly applyIntroduced: (hosts: readonly HostContact[]) => void;
	/** Finds the leader of a domain that has reported recently, or of the own domain; `undefined` when it is not known. */
	readonly findLeaderOf: (domain: string) => HostContact | undefined;
	/** Reads the leaders of all domains except this host. */
	readonly readLeaders: () => readonly HostContact[];
	/** Reads the leaders of the other domains that have reported recently, those with the least demand of a team first. */
	readonly readOtherLeaders: (team: string) => readonly HostContact[];
	/** Reads the leaders of the other domains whose recent report says that the contracts are verified there, in the order of their domains. */
	readonly readVerifiedLeaders: () => readonly HostContact[];
	/** Reads the demand of a team at the other hosts. */
	readonly readTeam: (team: string) => TeamUsage;
	/** Notifies the domain peers that this host has shut down. */
	readonly sendDeparture: () => void;
	/** Finds the leader of the failure domain, which reads the store and enforces limits for it; `undefined` when this host is the leader. */
	readonly findDomainLeader: FindDomainLeader;
	/** The recent reports of the domain peers. */
	readonly readReceivedReports: () => readonly ReceivedReport[];
	/** Finds when this host sent one of its reports; `undefined` when the report is no longer remembered or belongs to another incarnation. */
	readonly findSentAt: (registered: RegisteredIncarnation) => Instant | undefined;
	/** Whether the recent report of another host or domain says that the contracts are verified there. */
	readonly isVerifiedElsewhere: () => boolean;
	/** Statements that other hosts have in flight on a database. */
	readonly countRemoteStatements: (database: string) => number;
	/** Connections that other hosts have open to a database. */
	readonly countRemoteConnections: (database: string) => number;
};

/** Dependencies of the exchange. */
export type UsageExchangeOptions = {
	readonly services: FleetServices;
	readonly messages: HostMessages;
	/** All failure domains of the deployment. */
	readonly domains: readonly string[];
	/** An instant of the schedule of this host's polls, with which it also reports. */
	readonly pollPhase: Instant;
	/** Log positions of primaries, which hosts share with their reports. */
	readonly positions: PositionTracker;
	readonly readHostUsage: () => HostUsage;
	/** Called when the demand of this host, or of its domain if it leads it, has been reported to those whose shares depend on it. */
	readonly recordReported: () => void;
	/** Whether this host still searches for the leader of its domain, and does not act as the leader until it has given up. */
	readonly isDiscovering: () => boolean;
	/** Called when a domain peer has sent its first report. */
	readonly handleNewPeer: () => void;
	readonly signal: AbortSignal;
};

/** Starts the exchange; it runs until the signal aborts. */
export function startUsageExchange({services, messages, domains, pollPhase, positions, readHostUsage, recordReported, isDiscovering, handleNewPeer, signal}: UsageExchangeOptions): UsageExchange {
	const {clock, identity} = services;
	const peers = createDomainPeers({
		clock, identity, readRegistered: () => messages.readPeers().filter(({domain}) => domain === identity.domain),
	});
	const startedAt = clock.readNow();
	const remoteDomains = createRemoteDomains(clock);
	const ownReports = createOwnReports({
		clock, identity, positions, readHostUsage, readReceivedReports: () => [...peers.readReports(), ...remoteDomains.readReceived()], readMemberList: peers.readMemberList,
	});
	const {findSentAt} = ownReports;
	const digests = createDomainDigests({
		clock, incarnation: identity.incarnation, peers, ownReports, remoteDomains,
	});
	const sender = createUsageSender({
		clock, ownDomain: identity.domain, messages, peers, remoteDomains, ownReports, digests, recordReported, isDiscovering,
	});
	const elsewhere = createUsageElsewhere({
		clock, ownDomain: identity.domain, domains, startedAt, peers, remoteDomains, ownReports, readRegistered: messages.readPeers,
	});
	let lastDigestReplyAt: Instant = Number.NEGATIVE_INFINITY;
	let stopDigestTimer = (): void => undefined;

	function sendReportsAtOnce(): void {
		sender.sendReport();
		sender.sendDomainReport();
	}

	function applyReport(report: UsageReport, isRelayed: boolean): void {
		const isDomainPeer = report.domain === identity.domain;
		// Reports of the own domain must come from single hosts; those of other domains must be sums over the domain.
		if (report.host === identity.host || report.isOfDomain === isDomainPeer) {
			return;
		}

		applyReportedPositions(report, identity.host, findSentAt, positions);
		elsewhere.databaseUsage.clear();
		if (isDomainPeer) {
			applyPeerReport(report);
		} else {
			applyDomainReport(report, isRelayed);
		}
	}

	function applyPeerReport(report: UsageReport): void {
		if (report.hasLeft) {
			peers.removeHost(report.host);
		} else if (peers.applyReport(report)) {
			sender.notifyNewHost(report);
			handleNewPeer();
		}
	}

	function applyDomainReport(report: UsageReport, isRelayed: boolean): void {
		if (remoteDomains.applyReport(report) && !isRelayed) {
			sender.forwardDomainReport(report);
		}
	}

	function applyDigest(digest: DomainDigest): readonly DomainMember[] {
		applyReportedPositions(digest.own, identity.host, findSentAt, positions);
		elsewhere.databaseUsage.clear();
		const isNew = peers.applyReport(digest.own);
		if (isNew) {
			handleNewPeer();
		}

		const received = peers.applyDigest(digest);
		if (received) {
			applyLeaderDigest(received);
		} else if (sender.isLeader() && (isNew || clock.readNow() >= lastDigestReplyAt + MIN_DIGEST_REPLY_INTERVAL_MS)) {
			// Two hosts consider themselves the leader; the other one learns from the digest that it is not.
			lastDigestReplyAt = clock.readNow();
			sender.sendDigestTo(digest.own);
		}

		return received?.members ?? digest.members ?? [];
	}

	function applyLeaderDigest({digest: {own, remote}, members}: ReceivedDigest): void {
		stopDigestTimer();
		stopDigestTimer = clock.registerTimer(clock.readNow() + DIGEST_EXPIRY_MS, sender.sendReport);
		if (remote) {
			remoteDomains.applyOverview(remote);
		}

		if (!members.some(({incarnation}) => incarnation === identity.incarnation)) {
			// The leader knows this host from the store only, and registers it once it has a report.
			sender.sendReportTo(own);
		}
	}

	startLoop(clock, async () => {
		const now = clock.readNow();
		sender.sendPeriodicReport();
		peers.removeExpired();
		remoteDomains.removeExpired();
		return findNextPoll(now, PEER_POLL_INTERVAL_MS, pollPhase);
	}, signal);
	void runPeriodically(clock, DOMAIN_REPORT_INTERVAL_MS, async () => {
		sender.sendDomainReport();
	}, signal);
	// A host learns its peers when it is registered, and then reports at once so that they know its new incarnation.
	const stopListening = services.blackboard.registerListener(({registeredAt}) => registeredAt, sendReportsAtOnce);
	const stopListeningToPeers = services.blackboard.registerListener(({arePeersKnown}) => arePeersKnown, sendReportsAtOnce);
	const stopListeningToSuspensions = registerClockListener(services.blackboard, validFrom => {
		ownReports.clear();
		positions.clear(validFrom);
	});
	signal.addEventListener('abort', () => {
		stopListening();
		stopListeningToPeers();
		stopListeningToSuspensions();
		stopDigestTimer();
	}, {once: true});
	return {
		applyReport,
		applyDigest,
		applyIntroduced(hosts) {
			peers.insertContacts(hosts);
			if (!peers.readDigest()) {
				sender.sendReport();
			}
		},
		findLeaderOf: domain => domain === identity.domain ? peers.findLeader() : remoteDomains.readLeaders().find(leader => leader.domain === domain),
		readLeaders() {
			const own = peers.findLeader();
			return [...(own ? [own] : []), ...remoteDomains.readLeaders()];
		},
		readOtherLeaders: team => remoteDomains.readReceived().map(({report}) => report).toSorted((left, right) => countTeamDemand([left], team) - countTeamDemand([right], team)),
		readVerifiedLeaders: () => remoteDomains.readLeaders()
			.filter(({isVerified}) => isVerified)
			.toSorted((left, right) => left.domain < right.domain ? -1 : 1),
		readTeam: elsewhere.readTeam,
		sendDeparture: sender.sendDeparture,
		findDomainLeader: peers.findLeader,
		readReceivedReports: peers.readReports,
		findSentAt,
		isVerifiedElsewhere: () => elsewhere.readPeerUsage().isVerified || remoteDomains.readLeaders().some(({isVerified}) => isVerified),
		countRemoteStatements: database => elsewhere.databaseUsage.read(database).statements,
		countRemoteConnections: database => elsewhere.databaseUsage.read(database).connections,
	};
}
