/** Fault injection for the network between hosts: partitions and latency between failure domains. */
import {
	PortError, waitUntil, type CallOptions, type Clock, type PeerPort, type PromotionPort,
} from 'heatherpond-core';

/** Faults that are currently injected into the network between hosts. */
export type PeerFaults = {
	/** Failure domains that are partitioned from all other domains. */
	readonly partitionedDomains: Set<string>;
	/** Failure domain of each host, by the peer address of the host. */
	readonly domainsByAddress: Map<string, string>;
	/** One-way latency between two failure domains, in milliseconds. */
	delayMs: number;
};

/** Creates the state of a network without faults. */
export function createPeerFaults(): PeerFaults {
	return {partitionedDomains: new Set(), domainsByAddress: new Map(), delayMs: 0};
}

/** Wraps a peer port with injected faults. A call across a partition fails at its deadline, as on a real network that drops packets. */
export function createFaultyPeers(peers: PeerPort, domain: string, faults: PeerFaults, clock: Clock): PeerPort {
	const callOverNetwork = createNetworkCall(domain, faults, clock);
	return {
		askStamp: async (address, request, options) => callOverNetwork(address, options, async () => peers.askStamp(address, request, options)),
		askView: async (address, options) => callOverNetwork(address, options, async () => peers.askView(address, options)),
		moveAllotments: async (address, request, options) => callOverNetwork(address, options, async () => peers.moveAllotments(address, request, options)),
	};
}

/** Wraps a promotion port with the same injected faults as {@link createFaultyPeers}. */
export function createFaultyPromotions(promotions: PromotionPort, domain: string, faults: PeerFaults, clock: Clock): PromotionPort {
	const callOverNetwork = createNetworkCall(domain, faults, clock);
	return {
		askView: async (address, request, options) => callOverNetwork(address, options, async () => promotions.askView(address, request, options)),
	};
}

/** Calls the host at an address, subject to the injected faults. */
type NetworkCall = <Result>(address: string, options: CallOptions, call: () => Promise<Result>) => Promise<Result>;

/** Creates the network path for calls of a host in `domain`. */
function createNetworkCall(domain: string, faults: PeerFaults, clock: Clock): NetworkCall {
	async function waitForTransit(delayMs: number, options: CallOptions): Promise<void> {
		if (delayMs > 0) {
			await waitUntil(clock, clock.readNow() + delayMs, options.signal);
		}
	}

	return async (address, options, call) => {
		const peerDomain = faults.domainsByAddress.get(address);
		if (peerDomain !== domain && (faults.partitionedDomains.has(domain) || faults.partitionedDomains.has(peerDomain ?? ''))) {
			await waitUntil(clock, options.deadline, options.signal);
			throw new PortError('no response before the deadline: the peer is in a partitioned failure domain');
		}

		const delayMs = peerDomain === domain ? 0 : faults.delayMs;
		await waitForTransit(delayMs, options);
		const response = await call();
		await waitForTransit(delayMs, options);
		return response;
	};
}
