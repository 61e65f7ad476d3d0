/** Sums up the usage of the other hosts, of the own domain and of the others, from what they have reported. */
import type {Clock, Instant} from 'heatherpond-core';
import type {DomainPeers} from './domain-peers.js';
import type {HostRecord} from './fleet-records.js';
import type {OwnReports} from './own-reports.js';
import type {RemoteDomains} from './remote-domains.js';
import {
	countTeamDemand, computeOthersUsage, computeTotalUsage, createDatabaseUsageCache,
} from './remote-usage.js';
import type {TeamUsage} from './team-limits.js';
import {readTrustedDigest} from './trusted-digest.js';
import type {DomainUsage} from './usage-report.js';

/** Usage of the other hosts, as they have reported it. */
export type UsageElsewhere = {
	/** Reads the usage of the other hosts of the domain. */
	readonly readPeerUsage: () => DomainUsage;
	/** Reads the demand of a team at the other hosts, in operations per second. */
	readonly readTeam: (team: string) => TeamUsage;
	/** Statements in flight and open connections of the other hosts, by database; cleared when a report arrives. */
	readonly databaseUsage: ReturnType<typeof createDatabaseUsageCache>;
};

/** Dependencies of the sums. */
export type UsageElsewhereOptions = {
	readonly clock: Clock;
	/** Failure domain of this host. */
	readonly ownDomain: string;
	/** All failure domains of the deployment. */
	readonly domains: readonly string[];
	/** When this host started. */
	readonly startedAt: Instant;
	readonly peers: DomainPeers;
	readonly remoteDomains: RemoteDomains;
	readonly ownReports: OwnReports;
	/** Reads the registrations of the other hosts, of all domains. */
	readonly readRegistered: () => readonly HostRecord[];
};

/** Age of the last report up to which a domain peer counts as in contact with this host, in milliseconds: one interval and a margin. */
const CONTACT_EXPIRY_MS = 1600;
/** Time after the start of a host for which every domain counts that has not reported, even if none of its hosts is known, in milliseconds. */
const DOMAIN_START_MS = 5000;

/** Creates the sums; they read the reports that `peers` and `remoteDomains` hold at the time. */
export function createUsageElsewhere({clock, ownDomain, domains, startedAt, peers, remoteDomains, ownReports, readRegistered}: UsageElsewhereOptions): UsageElsewhere {
	/** Counts the domain peers with which this host is in contact: those that the leader names, or those that report to this host. */
	function countLivePeers(): number {
		const trusted = readTrustedDigest(peers);
		return trusted ? trusted.members.length - 1 : peers.readReports().filter(({receivedAt}) => receivedAt + CONTACT_EXPIRY_MS > clock.readNow()).length;
	}

	function readPeerUsage(): DomainUsage {
		const trusted = readTrustedDigest(peers);
		return trusted ? computeOthersUsage(trusted.digest.usage, ownReports.readLastUsage()) : computeTotalUsage(peers.readReports().map(({report}) => report));
	}

	function countPeerDemand(team: string): number {
		const trusted = readTrustedDigest(peers);
		return trusted
			? Math.max(0, countTeamDemand([trusted.digest.usage], team) - countTeamDemand([ownReports.readLastUsage()], team))
			: countTeamDemand(peers.readReports().map(({report}) => report), team);
	}

	function countUnreportedDomains(registered: readonly HostRecord[]): number {
		const otherDomains = clock.readNow() < startedAt + DOMAIN_START_MS ? domains : registered.map(({domain}) => domain);
		return new Set(otherDomains.filter(domain => domain !== ownDomain && !remoteDomains.hasReported(domain))).size;
	}

	return {
		readPeerUsage,
		readTeam(team) {
			const registered = readRegistered();
			const peerCount = registered.filter(({domain}) => domain === ownDomain).length;
			const liveDomainHosts = countLivePeers() + 1;
			const unreportedDomains = countUnreportedDomains(registered);
			const unknownDemands = remoteDomains.countUnknownDemands(team);
			return {
				otherDomains: {
					demandPerSecond: countTeamDemand(remoteDomains.readUsages(), team),
					heard: remoteDomains.countReported() - unknownDemands,
					unheard: unreportedDomains + unknownDemands,
					coveredFraction: liveDomainHosts / Math.max(liveDomainHosts, peerCount + 1),
				},
				domainPeersPerSecond: countPeerDemand(team),
				liveDomainHosts,
			};
		},
		databaseUsage: createDatabaseUsageCache(clock, () => [readPeerUsage(), ...remoteDomains.readRecentUsages()]),
	};
}
