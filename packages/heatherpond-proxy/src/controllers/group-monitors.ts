/** Assigns groups to the hosts that monitor them. The assignment is recomputed only when the registered hosts change. */
import {
	createMonitorRing, findMonitors, type FleetView, type HostBlackboard, type MonitorRing,
} from 'heatherpond-core';

/** Assignment of groups to the hosts that monitor them. */
export type GroupMonitors = {
	/** Decides whether this host monitors a group. */
	readonly isMonitor: (group: string) => boolean;
	/** Returns the hosts that monitor a group. */
	readonly findMonitors: (group: string) => readonly string[];
};

/** Creates the assignment from the hosts in a blackboard's view. */
export function createGroupMonitors(blackboard: HostBlackboard): GroupMonitors {
	let hosts: FleetView['hosts'] | undefined;
	let ring: MonitorRing = createMonitorRing({});
	let monitorsByGroup = new Map<string, readonly string[]>();

	function findCached(group: string): readonly string[] {
		const {view} = blackboard.read();
		if (view.hosts !== hosts) {
			hosts = view.hosts;
			ring = createMonitorRing(hosts);
			monitorsByGroup = new Map();
		}

		const monitors = monitorsByGroup.get(group) ?? findMonitors(ring, group);
		monitorsByGroup.set(group, monitors);
		return monitors;
	}

	return {
		isMonitor: group => findCached(group).includes(blackboard.read().identity.host),
		findMonitors: findCached,
	};
}
