/** Dependencies that the fleet controllers share. */
import type {Clock} from 'heatherpond-core';
import type {WriteEvent} from 'heatherpond-session';
import type {DatabaseControlPort, PromotionRequestPort} from './database-control-port.js';
import type {PrimacyRecord, SuspicionRecord} from './fleet-records.js';
import type {FleetBlackboard, FleetState, Versioned} from './fleet-state.js';
import type {StorePort} from './store-port.js';

/** Identity of this host. */
export type HostIdentity = {
	readonly host: string;
	/** Unique id of this run of the process; changes with every restart. */
	readonly incarnation: string;
	readonly domain: string;
	readonly address: string;
	/** Port that receives datagrams of other hosts. */
	readonly port: number;
};

/** Ports, fleet state and identity of a host. */
export type FleetServices = {
	readonly identity: HostIdentity;
	readonly clock: Clock;
	readonly blackboard: FleetBlackboard;
	/** Reads the fleet state after a check for a suspension of the machine, which makes verifications and the offset of clocks void. */
	readonly readState: () => FleetState;
	readonly store: StorePort;
	readonly databases: DatabaseControlPort;
	readonly promotionRequests: PromotionRequestPort;
	readonly writeEvent: WriteEvent;
	readonly random: () => number;
	/** Returns the region of a failure domain. */
	readonly readRegion: (domain: string) => string;
	/** Sends a primacy record to the other hosts directly, because some of them may be unable to reach the store. */
	readonly sendPrimacy: (primacy: Versioned<PrimacyRecord>) => void;
	/** Notifies the domain leaders, which start promotions, that this host suspects a primary to have failed, or no longer does. */
	readonly sendSuspicion: (suspicion: SuspicionRecord, isSuspected: boolean) => void;
	/** Requests changes of the fleet table immediately instead of at the next poll. */
	readonly refreshFleet: () => void;
};
