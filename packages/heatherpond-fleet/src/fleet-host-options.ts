/** Ports and settings with which a host is started. */
import type {Clock, Deadline} from 'heatherpond-core';
import type {
	MessageMemory, SessionServices, UpstreamConnection, WriteEvent,
} from 'heatherpond-session';
import type {Contracts} from './contracts.js';
import type {DatabaseControlPort, PromotionRequestPort} from './database-control-port.js';
import type {HostIdentity} from './fleet-services.js';
import type {HostLinkPort} from './host-links.js';
import type {DatagramPort} from './datagram-parts.js';
import type {SeedAddress} from './host-discovery.js';
import type {RowChange, StorePort} from './store-port.js';
import type {SuspensionDetector} from './suspension-detector.js';
import type {Upstream} from './upstream.js';

/** Ports and settings of a host. */
export type FleetHostOptions = {
	readonly identity: HostIdentity;
	readonly clock: Clock;
	readonly suspension: SuspensionDetector;
	/** Memory for the messages that are under way. */
	readonly memory: MessageMemory;
	/** Memory for the variables and prepared statements of client sessions. */
	readonly sessionMemory: MessageMemory;
	readonly store: StorePort;
	readonly databases: DatabaseControlPort;
	readonly promotionRequests: PromotionRequestPort;
	readonly datagrams: DatagramPort;
	readonly links: HostLinkPort;
	/** Hosts that may know the failure domain of this one; they may be down. */
	readonly seeds: readonly SeedAddress[];
	readonly openConnection: (upstream: Upstream, team: string, deadline: Deadline) => Promise<UpstreamConnection>;
	readonly writeEvent: WriteEvent;
	/** Records the outcome of each statement. */
	readonly recordStatement: SessionServices['recordStatement'];
	readonly random: () => number;
	/** All failure domains of the deployment. */
	readonly domains: readonly string[];
	/** Returns the region of a failure domain. */
	readonly readRegion: (domain: string) => string;
	/** Milliseconds within which a withdrawn key must stop working. */
	readonly revocationMs: number;
	/** Minimum duration of the promotion lease in milliseconds. */
	readonly minPromotionLeaseMs: number;
	/** Table of the operator's rows, key of the contracts, and their parsers. */
	readonly contracts: {
		readonly table: string;
		readonly key: string;
		readonly parse: (text: string) => Contracts | undefined;
		/** Returns the failure domain that a row with this key evacuates; nothing for other rows. */
		readonly parseEvacuatedDomain: (key: string) => string | undefined;
	};
	/** Milliseconds within which nothing more must be sent to the databases of an evacuated failure domain. */
	readonly evacuationMs: number;
	/** Table of the registered databases, and the parser of its rows. */
	readonly registrations: {readonly table: string; readonly parse: (row: RowChange) => Upstream | undefined};
	readonly signal: AbortSignal;
};
