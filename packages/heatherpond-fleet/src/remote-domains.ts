/** Keeps the last report of each other failure domain, and selects the hosts that receive the reports of the own domain. */
import type {Clock} from 'heatherpond-core';
import {REPORT_EXPIRY_MS, type ReceivedReport} from './domain-peers.js';
import type {HostContact} from './host-message.js';
import type {UsageReport} from './usage-report.js';

/** Age up to which reports are kept, in milliseconds; until then the last report of a silent domain still counts as its demand. */
const REPORT_RETENTION_MS = 15_000;
/** Number of hosts that receive the domain's report in a domain from which no recent report has come. */
const RECEIVERS_PER_SILENT_DOMAIN = 2;

/** Reports of the other failure domains. */
export type RemoteDomains = {
	/** Applies the report of a domain; returns false when a later one of the same incarnation is known. */
	readonly applyReport: (report: UsageReport) => boolean;
	/** Reads the last report of every domain, also of those that are silent. */
	readonly readKnown: () => readonly UsageReport[];
	/** Reads the recent reports. */
	readonly readRecent: () => readonly UsageReport[];
	/** Reads the recent reports and when they were received. */
	readonly readReceived: () => readonly ReceivedReport[];
	readonly hasReported: (domain: string) => boolean;
	/** Finds the leader of a domain that has reported recently. */
	readonly findLeaderOf: (domain: string) => HostContact | undefined;
	/** Finds the host of each domain that sends its reports, or its first hosts by name while no recent report is known. */
	readonly findReceivers: (remoteHosts: readonly HostContact[]) => readonly HostContact[];
	/** Forgets domains that have been silent for long. */
	readonly removeExpired: () => void;
};

/** Creates the reports; none is known. */
export function createRemoteDomains(clock: Clock): RemoteDomains {
	const reports = new Map<string, ReceivedReport>();

	function isRecent({receivedAt}: ReceivedReport): boolean {
		return receivedAt + REPORT_EXPIRY_MS > clock.readNow();
	}

	function findRecent(domain: string): UsageReport | undefined {
		const received = reports.get(domain);
		return received && isRecent(received) ? received.report : undefined;
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
		readKnown: () => [...reports.values()].map(({report}) => report),
		readRecent: () => [...reports.values()].filter(isRecent).map(({report}) => report),
		readReceived: () => [...reports.values()].filter(isRecent),
		hasReported: domain => reports.has(domain),
		findLeaderOf: findRecent,
		findReceivers(remoteHosts) {
			return [...new Set(remoteHosts.map(({domain}) => domain))].flatMap(domain => {
				const hosts = remoteHosts.filter(peer => peer.domain === domain).toSorted((left, right) => left.host < right.host ? -1 : 1);
				const leader = findRecent(domain);
				const sender = leader && hosts.find(({host}) => host === leader.host);
				return sender ? [sender] : hosts.slice(0, RECEIVERS_PER_SILENT_DOMAIN);
			});
		},
		removeExpired() {
			const oldest = clock.readNow() - REPORT_RETENTION_MS;
			[...reports].filter(([, {receivedAt}]) => receivedAt < oldest).forEach(([domain]) => {
				reports.delete(domain);
			});
		},
	};
}
