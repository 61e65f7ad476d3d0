/** Decides whether a host relies on the digest of its domain leader or on the reports of its domain peers. */
import type {DomainPeers, ReceivedDigest} from './domain-peers.js';

/** Number of hosts of a domain up to which they report to each other and not only to the leader. */
const MAX_MESH_HOSTS = 6;

/** Reads the digest where it stands for the reports of the domain peers; in a small domain their own reports are more recent. */
export function readTrustedDigest(peers: Pick<DomainPeers, 'readDigest'>): ReceivedDigest | undefined {
	const received = peers.readDigest();
	return received && received.members.length > MAX_MESH_HOSTS ? received : undefined;
}
