/** Faults that tests inject into the platform. */

/** Names of the platform's RPC methods. */
export type PlatformCall = 'commit' | 'scan' | 'putObject' | 'getObject' | 'listHosts' | 'reportHost';

/** Faults currently injected into the platform. Fields can be changed while it runs. */
export type PlatformFaults = {
	/** Whether the platform is down: requests neither take effect nor receive a response. */
	isDown: boolean;
	/** Milliseconds by which each request is delayed before it takes effect. */
	delayMs: number;
	/** Number of responses still to be lost per method, after their requests took effect. */
	readonly lostResponses: Map<PlatformCall, number>;
	/** Failure domains partitioned from the platform. */
	readonly partitionedDomains: Set<string>;
};

/** Creates a set of faults with none injected. */
export function createPlatformFaults(): PlatformFaults {
	return {
		isDown: false, delayMs: 0, lostResponses: new Map(), partitionedDomains: new Set(),
	};
}
