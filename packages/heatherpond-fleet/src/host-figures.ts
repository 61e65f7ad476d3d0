/** Metrics of a host about its own state. */
import type {Clock} from 'heatherpond-core';
import type {FleetBlackboard} from './fleet-state.js';
import type {UpstreamDirectory} from './upstream-directory.js';

/** A gauge that is read when the metrics are collected. */
export type HostFigure = {readonly name: string; readonly help: string; readonly read: () => number};

/** Sources of the metrics. */
export type HostFigureSources = {
	readonly clock: Clock;
	readonly blackboard: FleetBlackboard;
	readonly upstreams: Pick<UpstreamDirectory, 'readUsage'>;
	readonly isReady: () => boolean;
};

/** Age reported for state that has never been verified. */
const NEVER_VERIFIED_MS = -1;

/** Creates the metrics of a host. */
export function createHostFigures({clock, blackboard, upstreams, isReady}: HostFigureSources): readonly HostFigure[] {
	function readAge(instant: number): number {
		return Number.isFinite(instant) ? Math.round(clock.readNow() - instant) : NEVER_VERIFIED_MS;
	}

	function countUsage(index: 0 | 1): number {
		return Object.values(upstreams.readUsage()).reduce((sum, usage) => sum + usage[index], 0);
	}

	return [
		{name: 'heatherpond_ready', help: 'Whether the host takes new callers', read: () => isReady() ? 1 : 0},
		{name: 'heatherpond_contracts_version', help: 'Version of the contracts in force', read: () => blackboard.read().contracts?.version ?? 0},
		{name: 'heatherpond_contracts_age_milliseconds', help: 'Time since the contracts were verified; -1 for never', read: () => readAge(blackboard.read().contractsVerifiedAt)},
		{name: 'heatherpond_primacy_age_milliseconds', help: 'Time since the primaries were verified; -1 for never', read: () => readAge(blackboard.read().primacyVerifiedAt)},
		{name: 'heatherpond_registration_left_milliseconds', help: 'Time until the registration of the host lapses', read: () => -readAge(blackboard.read().registeredUntil)},
		{name: 'heatherpond_hosts', help: 'Hosts that are known', read: () => blackboard.read().hosts.size},
		{name: 'heatherpond_upstreams', help: 'Databases that are registered', read: () => blackboard.read().upstreams.size},
		{name: 'heatherpond_statements_at_work', help: 'Statements that databases have at work for this host', read: () => countUsage(0)},
		{name: 'heatherpond_connections', help: 'Connections to databases', read: () => countUsage(1)},
	];
}
