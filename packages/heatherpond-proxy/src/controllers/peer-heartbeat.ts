/** Sends heartbeats to this host's heartbeat peers in turn. */
import {
	decideHeartbeatTarget, findLaggingPeers, findHeartbeatPeers, runPeriodically, type Clock, type HostBlackboard, type HostRecord, type HostState, type Instant,
} from 'heatherpond-core';
import type {RequestStamp} from './peer-exchange.js';

/** Dependencies of the heartbeats. */
export type PeerHeartbeatOptions = {
	readonly blackboard: HostBlackboard;
	readonly clock: Clock;
	readonly requestStamp: RequestStamp;
	readonly signal: AbortSignal;
};

/** Interval between two heartbeats of this host. */
const HEARTBEAT_INTERVAL_MS = 500;
/** Interval between two heartbeats to lagging peers, which have not yet confirmed the newest registration. */
const LAGGING_PEER_INTERVAL_MS = 50;

/** Starts the heartbeats. They end when the signal aborts. */
export function startPeerHeartbeat({blackboard, clock, requestStamp, signal}: PeerHeartbeatOptions): void {
	const lastSentAt = new Map<string, Instant>();
	function sendHeartbeat(candidates: readonly HostRecord[]): void {
		const target = decideHeartbeatTarget(candidates, lastSentAt);
		if (target) {
			lastSentAt.set(target.host, clock.readNow());
			// Not awaited: an unresponsive peer must not delay the next heartbeat.
			void requestStamp(target);
		}
	}

	let heartbeatPeers: readonly HostRecord[] = [];
	let hosts: HostState['view']['hosts'] = {};
	function readHeartbeatPeers(): readonly HostRecord[] {
		const {view, identity} = blackboard.read();
		if (view.hosts !== hosts) {
			hosts = view.hosts;
			heartbeatPeers = findHeartbeatPeers(view, identity.host);
		}

		return heartbeatPeers;
	}

	void runPeriodically(clock, HEARTBEAT_INTERVAL_MS, async () => {
		sendHeartbeat(readHeartbeatPeers());
	}, signal);
	void runPeriodically(clock, LAGGING_PEER_INTERVAL_MS, async () => {
		const {view, peers} = blackboard.read();
		sendHeartbeat(findLaggingPeers(view, readHeartbeatPeers(), peers));
	}, signal);
}
