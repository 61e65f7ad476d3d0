/** Dependencies shared by all components of one entry host. */
import type {Server} from '@grpc/grpc-js';
import type {ProxySettings} from 'heatherpond-config';
import type {
	Clock, HostBlackboard, HostIdentity, PeerPort, PlatformPort, PromotionPort, RecordEvent, UpstreamPort,
} from 'heatherpond-core';
import type {EventStore, Logger} from 'heatherpond-observe';

/**
 * How hosts share rates and bursts. `ledger`, the mode for production, lends unused shares to other hosts. The others are
 * baselines for benchmarks: `static` never lends, and `alone` gives each host the full rate.
 */
export type SharingMode = 'ledger' | 'static' | 'alone';

/** Settings, ports and shared state of one host. */
export type HostContext = {
	readonly settings: ProxySettings;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly recordEvent: RecordEvent;
	/** Recorded events. */
	readonly events: EventStore;
	readonly sharing: SharingMode;
	readonly identity: HostIdentity;
	readonly blackboard: HostBlackboard;
	readonly platform: PlatformPort;
	readonly peers: PeerPort;
	readonly promotions: PromotionPort;
	readonly upstream: UpstreamPort;
	/** Server of the gRPC services for peers and operators. Components add their services while the host starts. */
	readonly server: Server;
	/** Stops the host immediately. */
	readonly signal: AbortSignal;
};
