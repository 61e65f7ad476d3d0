/** Notifies the hosts of the own failure domain which registrations were refreshed. */
import type {ReceivedReport} from './domain-peers.js';
import type {HostRecord} from './fleet-records.js';
import type {Registration} from './host-registration-state.js';

/** Minimum number of hosts of other failure domains in one notification, and of notifications in which all of them are named: those of 20 s, before they are forgotten. */
const MIN_REMOTE_HOSTS_PER_MESSAGE = 20;
const NOTIFICATIONS_FOR_ALL = 8;

/** Notifies the domain peers whose reports led to a registration, and names some hosts of other failure domains to them. */
export function sendRegistrations(registration: Registration, peers: readonly ReceivedReport[]): void {
	if (peers.length > 0) {
		const {hosts, storeEra} = registration.services.blackboard.read();
		registration.sendRegistered({era: storeEra, runs: peers.map(({report: {incarnation, sequence}}) => ({incarnation, sequence})), farHosts: selectRemoteHosts(registration, hosts)});
	}
}

/** Selects the next hosts of other failure domains in rotation, so that notifications cover all of them over time. */
function selectRemoteHosts(registration: Registration, hosts: ReadonlyMap<string, HostRecord>): HostRecord[] {
	const remoteHosts = [...hosts.values()].filter(({domain}) => domain !== registration.services.identity.domain);
	const count = Math.max(MIN_REMOTE_HOSTS_PER_MESSAGE, Math.ceil(remoteHosts.length / NOTIFICATIONS_FOR_ALL));
	const firstIndex = registration.nextRemoteHost < remoteHosts.length ? registration.nextRemoteHost : 0;
	registration.nextRemoteHost = firstIndex + count;
	return remoteHosts.slice(firstIndex, firstIndex + count);
}
