/** Finds the peers of a host: the other hosts whose registration may be valid, so that they may rely on leases. */
import type {Instant} from 'heatherpond-core';
import type {HostRecord} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import {REGISTRATION_EXPIRY_MS} from './promotion-decisions.js';

/** Age of the last known registration of a host in another domain after which it is no longer sent messages, in milliseconds. */
const REMOTE_PEER_EXPIRY_MS = 30_000;

/** Time for which the peers that were found are reused, in milliseconds. */
const PEERS_CACHE_MS = 250;

/** Peers found among a list of hosts. */
type FoundPeers = {readonly hosts: ReadonlyMap<string, HostRecord>; readonly storeClockOffset: number; readonly until: Instant; readonly found: readonly HostRecord[]};

/** Creates the function that finds the peers; every statement needs them, so the result is reused until the list of hosts changes, and for a short time at most. */
export function createPeerFinder({blackboard, clock, identity}: Pick<FleetServices, 'blackboard' | 'clock' | 'identity'>): () => readonly HostRecord[] {
	let peers: FoundPeers | undefined;

	function selectPeers(hosts: ReadonlyMap<string, HostRecord>, storeNow: number): readonly HostRecord[] {
		// Records of the own domain are refreshed by each received report or digest, those of other domains only when the store is read.
		return [...hosts.values()].filter(record => record.host !== identity.host
			&& storeNow < record.refreshedAt + (record.domain === identity.domain ? REGISTRATION_EXPIRY_MS : REMOTE_PEER_EXPIRY_MS));
	}

	return () => {
		const {hosts, storeClockOffset} = blackboard.read();
		const now = clock.readNow();
		if (peers?.hosts === hosts && peers.storeClockOffset === storeClockOffset && now < peers.until) {
			return peers.found;
		}

		peers = {
			hosts, storeClockOffset, until: now + PEERS_CACHE_MS, found: selectPeers(hosts, now + storeClockOffset),
		};
		return peers.found;
	};
}
