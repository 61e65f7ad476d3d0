/** Decides which hosts a domain leader registers and which registrations it removes. */
import type {ReceivedReport} from './domain-peers.js';
import type {HostRecord} from './fleet-records.js';

/** Milliseconds of the store's clock for which the row of a host that no longer refreshes its registration is retained. */
const EXPIRED_ROW_RETENTION_MS = 60_000;

/**
 * Finds the domain peers whose reports prove that they run, unless a later incarnation of them is registered.
 *
 * @param hosts - the registrations that are known
 * @param storeClockOffset - clock of the store minus that of this host, in milliseconds
 */
export function findPeersToRegister(reports: readonly ReceivedReport[], hosts: ReadonlyMap<string, HostRecord>, storeClockOffset: number): readonly ReceivedReport[] {
	return reports.filter(({report, receivedAt}) => {
		const known = hosts.get(report.host);
		return !known || known.incarnation === report.incarnation || receivedAt - report.runningMs + storeClockOffset > known.refreshedAt;
	});
}

/** Creates the registration of a host from its report. */
export function createPeerRecord({report: {host, incarnation, domain, address, port}, receivedAt}: ReceivedReport, storeClockOffset: number): HostRecord {
	return {
		host, incarnation, domain, address, port, refreshedAt: Math.floor(receivedAt + storeClockOffset),
	};
}

/** Finds the names of hosts whose registration expired long ago, without the own one. */
export function findExpiredHosts(hosts: ReadonlyMap<string, HostRecord>, ownHost: string, storeNow: number): readonly string[] {
	return [...hosts.values()]
		.filter(({host, refreshedAt}) => refreshedAt + EXPIRED_ROW_RETENTION_MS < storeNow && host !== ownHost)
		.map(({host}) => host);
}
