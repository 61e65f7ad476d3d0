/**
 * Exchanges usage reports. Each host reports to the hosts of its own failure domain, and the leader of each domain sends the
 * sum over its domain to one host of every other domain, which relays it to its domain peers.
 */
import {runPeriodically, type Instant} from 'heatherpond-core';
import {findDomainLeader, type DomainPeer, type FindDomainLeader} from './domain-leader.js';
import type {HostRecord} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import type {HostMessages, RegisteredIncarnation} from './host-messages.js';
import type {TeamUsage} from './team-limits.js';
import type {UsageReport} from './usage-report.js';

/** Time between two reports of a host, in milliseconds. */
const REPORT_INTERVAL_MS = 1200;
/** Age up to which a report counts as recent and its sender as live, in milliseconds. */
const REPORT_EXPIRY_MS = 2800;
/** Minimum time between two extra reports triggered by the start of other hosts, in milliseconds. */
const MIN_NEW_HOST_REPORT_INTERVAL_MS = 100;
/** Age up to which reports are kept, in milliseconds; until then the last report of a silent domain still counts as its demand. */
const REPORT_RETENTION_MS = 15_000;
/** Number of hosts that receive the domain's report in a domain from which no recent report has come. */
const RECEIVERS_PER_SILENT_DOMAIN = 2;
/**
 * Number of own reports whose send times are kept. A domain leader registers this host on the basis of one of its reports;
 * a registration based on an older report is of no use.
 */
const MAX_REMEMBERED_REPORTS = 8;

/** The fields of a usage report that a host fills in from its own state. */
export type HostUsage = Pick<UsageReport, 'isVerified' | 'teams' | 'databases'>;

/** Usage of the other hosts, as received in their reports. */
export type UsageExchange = {
	/** Handles the report of another host; reports that are older than the last one of the same incarnation are ignored. */
	readonly applyReport: (report: UsageReport, isRelayed: boolean) => void;
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
	readonly readHostUsage: () => HostUsage;
	readonly signal: AbortSignal;
};

/** A report of another host or domain, and when it was received. */
export type ReceivedReport = {readonly report: UsageReport; readonly receivedAt: Instant};

/** Starts the exchange; it runs until the signal aborts. */
export function startUsageExchange({services, messages, readHostUsage, signal}: UsageExchangeOptions): UsageExchange {
	const {clock, identity} = services;
	/** Last report of each domain peer, by host. */
	const domainPeerReports = new Map<string, ReceivedReport>();
	const startedAt = clock.readNow();
	/** Last report of each other failure domain, by domain. */
	const domainReports = new Map<string, ReceivedReport>();
	let sequence = 0;
	/** Send times of the last reports, by sequence number. */
	const sentAt = new Map<number, Instant>();
	let lastExtraReportAt: Instant = Number.NEGATIVE_INFINITY;

	function isRecent({receivedAt}: ReceivedReport): boolean {
		return receivedAt + REPORT_EXPIRY_MS > clock.readNow();
	}

	function readRecentPeerReports(): readonly UsageReport[] {
		return [...domainPeerReports.values()].filter(isRecent).map(({report}) => report);
	}

	function readDomainPeers(): readonly DomainPeer[] {
		return messages.readPeers().flatMap(record => {
			const received = record.domain === identity.domain ? domainPeerReports.get(record.host) : undefined;
			return received && isRecent(received) ? [{...record, startedAt: received.receivedAt - received.report.runningMs}] : [];
		});
	}

	function findLeader(): HostRecord | undefined {
		return findDomainLeader({host: identity.host, startedAt}, readDomainPeers(), clock.readNow());
	}

	async function sendReport(hasLeft = false): Promise<void> {
		sequence++;
		sentAt.set(sequence, clock.readNow());
		sentAt.delete(sequence - MAX_REMEMBERED_REPORTS);
		const report: UsageReport = {
			host: identity.host, incarnation: identity.incarnation, sequence, domain: identity.domain, isOfDomain: false, hasLeft, runningMs: Math.round(clock.readNow() - startedAt), ...readHostUsage(),
		};
		messages.sendUsage(report, ({domain}) => domain === identity.domain);
		if (!hasLeft && !findLeader()) {
			const receivers = findRemoteReceivers();
			messages.sendUsage(computeDomainReport(report, readRecentPeerReports()), ({host}) => receivers.has(host));
		}

		const now = clock.readNow();
		[domainPeerReports, domainReports].forEach(reports => {
			[...reports].filter(([, {receivedAt}]) => receivedAt + REPORT_RETENTION_MS < now).forEach(([name]) => {
				reports.delete(name);
			});
		});
	}

	function applyReport(report: UsageReport, isRelayed: boolean): void {
		const isDomainPeer = report.domain === identity.domain;
		const [reports, name] = isDomainPeer ? [domainPeerReports, report.host] as const : [domainReports, report.domain] as const;
		const last = reports.get(name)?.report;
		const isSameIncarnation = last?.incarnation === report.incarnation;
		// Reports of the own domain must come from single hosts; those of other domains must be sums over the domain.
		if (report.host === identity.host || report.isOfDomain === isDomainPeer || (isSameIncarnation && last.sequence >= report.sequence)) {
			return;
		}

		if (report.hasLeft) {
			reports.delete(name);
			return;
		}

		reports.set(name, {report, receivedAt: clock.readNow()});
		if (report.isOfDomain && !isRelayed) {
			messages.sendRelayed(report);
		}

		if (!isSameIncarnation) {
			sendReportToNewHost();
		}
	}

	/** Finds the host of each other domain that sends its reports, or its first hosts by name while no recent report is known. */
	function findRemoteReceivers(): ReadonlySet<string> {
		const remoteHosts = messages.readPeers().filter(({domain}) => domain !== identity.domain);
		return new Set([...new Set(remoteHosts.map(({domain}) => domain))].flatMap(domain => {
			const received = domainReports.get(domain);
			const names = remoteHosts.filter(peer => peer.domain === domain).map(({host}) => host).toSorted();
			return received && isRecent(received) && names.includes(received.report.host) ? [received.report.host] : names.slice(0, RECEIVERS_PER_SILENT_DOMAIN);
		}));
	}

	/** A new host needs the demand at the other hosts to compute its share of the limits, so it is sent a report at once. */
	function sendReportToNewHost(): void {
		const now = clock.readNow();
		if (now >= lastExtraReportAt + MIN_NEW_HOST_REPORT_INTERVAL_MS) {
			lastExtraReportAt = now;
			void sendReport();
		}
	}

	function readTeam(team: string): TeamUsage {
		const peers = messages.readPeers();
		const known = [...domainReports.values()].map(({report}) => report);
		const peerReports = readRecentPeerReports();
		const peerCount = peers.filter(({domain}) => domain === identity.domain).length;
		const liveDomainHosts = peerReports.length + 1;
		const unreportedDomains = new Set(peers.map(({domain}) => domain).filter(domain => domain !== identity.domain && !domainReports.has(domain)));
		return {
			otherDomains: {
				demandPerSecond: countDemand(known, team), heard: known.length, unheard: unreportedDomains.size, coveredFraction: liveDomainHosts / Math.max(liveDomainHosts, peerCount + 1),
			},
			domainPeersPerSecond: countDemand(peerReports, team),
			liveDomainHosts,
		};
	}

	/** Counts remote usage of a database; index 0 is its statements in flight, 1 its open connections. */
	function countRemote(database: string, index: 0 | 1): number {
		return countDatabaseUsage([...readRecentPeerReports(), ...[...domainReports.values()].filter(isRecent).map(({report}) => report)], database, index);
	}

	void runPeriodically(clock, REPORT_INTERVAL_MS, async () => sendReport(), signal);
	// A host learns its peers when it is registered, and then reports at once so that they know its new incarnation.
	const stopListening = services.blackboard.registerListener(({registeredAt}) => registeredAt, () => {
		void sendReport();
	});
	signal.addEventListener('abort', stopListening, {once: true});
	return {
		applyReport,
		readTeam,
		sendDeparture() {
			void sendReport(true);
		},
		findDomainLeader: findLeader,
		readReceivedReports: () => [...domainPeerReports.values()].filter(isRecent),
		findSentAt: registered => registered.incarnation === identity.incarnation ? sentAt.get(registered.sequence) : undefined,
		isVerifiedElsewhere: () => [...domainPeerReports.values(), ...domainReports.values()].some(received => isRecent(received) && received.report.isVerified),
		countRemoteStatements: database => countRemote(database, 0),
		countRemoteConnections: database => countRemote(database, 1),
	};
}

function countDemand(reports: readonly UsageReport[], team: string): number {
	return reports.reduce((sum, {teams}) => sum + (teams[team] ?? 0), 0);
}

/** Sums the usage of a database; index 0 is its statements in flight, 1 its open connections. */
function countDatabaseUsage(reports: readonly UsageReport[], database: string, index: 0 | 1): number {
	return reports.reduce((sum, {databases}) => sum + (databases[database]?.[index] ?? 0), 0);
}

/** Sums the reports of a domain's hosts into the report of the domain. */
export function computeDomainReport(own: UsageReport, domainPeers: readonly UsageReport[]): UsageReport {
	const all = [own, ...domainPeers];
	const teams = new Set(all.flatMap(report => Object.keys(report.teams)));
	const databases = new Set(all.flatMap(report => Object.keys(report.databases)));
	return {
		...own,
		isOfDomain: true,
		isVerified: all.some(({isVerified}) => isVerified),
		teams: Object.fromEntries([...teams].map(team => [team, Math.round(countDemand(all, team) * 10) / 10])),
		databases: Object.fromEntries([...databases].map(database => [database, [countDatabaseUsage(all, database, 0), countDatabaseUsage(all, database, 1)]])),
	};
}
