/**
 * Keeps what is known of the other failure domains, and selects the hosts that receive the reports of the own domain. A domain
 * leader and its successors have the last report of each domain; the other hosts have an overview from their leader.
 */
import type {Clock, Instant} from 'heatherpond-core';
import {REPORT_EXPIRY_MS, type ReceivedReport} from './domain-peers.js';
import type {HostContact} from './host-message.js';
import {findEntry} from './record-entries.js';
import {computeTotalUsage} from './remote-usage.js';
import type {
	DomainUsage, RemoteLeader, RemoteOverview, UsageReport,
} from './usage-report.js';

/** Age up to which reports are kept, in milliseconds; until then the last report of a silent domain still counts as its demand. */
const REPORT_RETENTION_MS = 15_000;
/** Number of hosts that receive the domain's report in a domain from which no recent report has come. */
const RECEIVERS_PER_SILENT_DOMAIN = 2;

/** The other failure domains. */
export type RemoteDomains = {
	/** Applies the report of a domain; returns false when a later one of the same incarnation is known. */
	readonly applyReport: (report: UsageReport) => boolean;
	/** Applies the overview of the domain leader, which takes the place of the reports that it covers. */
	readonly applyOverview: (overview: RemoteOverview) => void;
	/** Creates an overview of the other domains. */
	readonly createOverview: () => RemoteOverview;
	/** Reads the usage of the other domains, as last known, also of those that are silent; a domain may be counted twice for a moment. */
	readonly readUsages: () => readonly DomainUsage[];
	/** Reads the usage that was reported recently. */
	readonly readRecentUsages: () => readonly DomainUsage[];
	/** Reads the recent reports and when they were received. */
	readonly readReceived: () => readonly ReceivedReport[];
	/** Reads the leaders of the domains that have reported recently. */
	readonly readLeaders: () => readonly RemoteLeader[];
	readonly hasReported: (domain: string) => boolean;
	/** Counts the domains that have reported, and those of them of whose demand for a team nothing is known. */
	readonly countReported: () => number;
	readonly countUnknownDemands: (team: string) => number;
	/** Finds the host of each domain that sends its reports, or its first hosts by name while no recent report is known. */
	readonly findReceivers: (remoteHosts: readonly HostContact[]) => readonly HostContact[];
	/** Forgets domains that have been silent for long. */
	readonly removeExpired: () => void;
};

/** An overview, and when it was received. */
type ReceivedOverview = {readonly overview: RemoteOverview; readonly receivedAt: Instant};

/** Creates the domains; none is known. */
export function createRemoteDomains(clock: Clock): RemoteDomains {
	const reports = new Map<string, ReceivedReport>();
	let received: ReceivedOverview | undefined;

	/** Reads the overview while it tells of a domain whose report has not arrived since. */
	function readOverview(): ReceivedOverview | undefined {
		return received?.overview.leaders.some(({domain}) => !reports.has(domain)) === true ? received : undefined;
	}

	function convertReport({report: {host, incarnation, domain, address, port, isVerified}, receivedAt}: ReceivedReport): RemoteLeader {
		return {
			host, incarnation, domain, address, port, isVerified, ageMs: Math.round(clock.readNow() - receivedAt),
		};
	}

	/** Reads the leaders of all domains that have reported. */
	function readKnownLeaders(): readonly RemoteLeader[] {
		const current = readOverview();
		const elapsedMs = current ? clock.readNow() - current.receivedAt : 0;
		const fromOverview = (current?.overview.leaders ?? []).filter(({domain}) => !reports.has(domain));
		return [...[...reports.values()].map(convertReport), ...fromOverview.map(leader => ({...leader, ageMs: leader.ageMs + elapsedMs}))];
	}

	function readLeaders(): readonly RemoteLeader[] {
		return readKnownLeaders().filter(({ageMs}) => ageMs < REPORT_EXPIRY_MS);
	}

	function isRecent({receivedAt}: {readonly receivedAt: Instant}): boolean {
		return receivedAt + REPORT_EXPIRY_MS > clock.readNow();
	}

	function readReceived(): readonly ReceivedReport[] {
		return [...reports.values()].filter(isRecent);
	}

	function readUsages(): readonly DomainUsage[] {
		const current = readOverview();
		return [...[...reports.values()].map(({report}) => report), ...(current ? [current.overview.usage] : [])];
	}

	function readRecentUsages(): readonly DomainUsage[] {
		const current = readOverview();
		return [...readReceived().map(({report}) => report), ...(current && isRecent(current) ? [current.overview.usage] : [])];
	}

	return {
		applyReport(report) {
			const last = reports.get(report.domain)?.report;
			if (last?.incarnation === report.incarnation && last.sequence >= report.sequence) {
				return false;
			}

			reports.set(report.domain, {report, receivedAt: clock.readNow()});
			return true;
		},
		applyOverview(overview) {
			received = {overview, receivedAt: clock.readNow()};
			overview.leaders.forEach(({domain}) => {
				reports.delete(domain);
			});
		},
		createOverview: () => ({
			usage: {...computeTotalUsage(readUsages()), databases: computeTotalUsage(readRecentUsages()).databases},
			leaders: [...readKnownLeaders()],
		}),
		readUsages,
		readRecentUsages,
		readReceived,
		readLeaders,
		hasReported: domain => reports.has(domain) || received?.overview.leaders.some(leader => leader.domain === domain) === true,
		countReported: () => readKnownLeaders().length,
		countUnknownDemands(team) {
			const overview = readOverview()?.overview;
			return overview && findEntry(overview.usage.teams, team) === undefined ? overview.leaders.filter(({domain}) => !reports.has(domain)).length : 0;
		},
		findReceivers(remoteHosts) {
			const leaders = readLeaders();
			return [...new Set(remoteHosts.map(({domain}) => domain))].flatMap(domain => {
				const hosts = remoteHosts.filter(peer => peer.domain === domain).toSorted((left, right) => left.host < right.host ? -1 : 1);
				const leader = leaders.find(other => other.domain === domain);
				const sender = leader && hosts.find(({host}) => host === leader.host);
				return sender ? [sender] : hosts.slice(0, RECEIVERS_PER_SILENT_DOMAIN);
			});
		},
		removeExpired() {
			const oldest = clock.readNow() - REPORT_RETENTION_MS;
			[...reports].filter(([, {receivedAt}]) => receivedAt < oldest).forEach(([domain]) => {
				reports.delete(domain);
			});
			received = received && received.receivedAt >= oldest ? received : undefined;
		},
	};
}
