/** All scenarios of the measurement suite, one per kind of fault. */
import {createSystemClock} from 'heatherpond-core';
import {findPrimaryDatabase, readFaultTargetGroup, type Scenario} from './scenario.js';

const REPLICA_LAG_MS = 2000;
const SLOW_PLATFORM_MS = 3000;
const LOST_RESPONSES = 3;

/** A scenario without a fault. */
export const HEALTHY: Scenario = {
	name: 'healthy',
	start: async () => async () => undefined,
};

const FAULTS: readonly Scenario[] = [
	{
		name: 'primary dead',
		async start(deployment) {
			const primary = findPrimaryDatabase(deployment, readFaultTargetGroup(deployment));
			primary.faults.isDown = true;
			return async () => {
				primary.faults.isDown = false;
			};
		},
	},
	{
		name: 'primary cut off from its group',
		async start(deployment) {
			const primary = findPrimaryDatabase(deployment, readFaultTargetGroup(deployment));
			primary.faults.isPartitionedFromGroup = true;
			deployment.plan.domains.filter(domain => domain !== primary.member.domain).forEach(domain => {
				primary.faults.partitionedDomains.add(domain);
			});
			return async () => {
				primary.faults.isPartitionedFromGroup = false;
				primary.faults.partitionedDomains.clear();
			};
		},
	},
	{
		name: 'replicas far behind',
		async start(deployment) {
			deployment.databases.forEach(database => {
				database.faults.replicationLagMs = REPLICA_LAG_MS;
			});
			return async () => {
				deployment.databases.forEach(database => {
					database.faults.replicationLagMs = 0;
				});
			};
		},
	},
	{
		name: 'a host dies',
		async start(deployment) {
			const host = deployment.hosts.at(-1)!;
			host.kill();
			return async () => {
				await host.restart(deployment.hosts.map(other => other.identity.peerAddress));
			};
		},
	},
	{
		name: 'platform down',
		async start({platform}) {
			platform.faults.isDown = true;
			return async () => {
				platform.faults.isDown = false;
			};
		},
	},
	{
		name: 'platform slow',
		async start({platform}) {
			platform.faults.delayMs = SLOW_PLATFORM_MS;
			return async () => {
				platform.faults.delayMs = 0;
			};
		},
	},
	{
		name: 'platform loses answers',
		async start({platform}) {
			platform.faults.lostResponses.set('commit', LOST_RESPONSES);
			platform.faults.lostResponses.set('scan', LOST_RESPONSES);
			return async () => {
				platform.faults.lostResponses.clear();
			};
		},
	},
	{
		name: 'a domain cut off from platform and peers',
		async start({plan, platform, peerFaults}) {
			const domain = plan.domains.at(-1)!;
			platform.faults.partitionedDomains.add(domain);
			peerFaults.partitionedDomains.add(domain);
			return async () => {
				platform.faults.partitionedDomains.delete(domain);
				peerFaults.partitionedDomains.delete(domain);
			};
		},
	},
	{
		name: 'connections gone silent',
		async start({databases}) {
			databases.forEach(database => {
				database.faults.unresponsiveBefore = createSystemClock().readNow();
			});
			return async () => undefined;
		},
	},
	{
		name: 'an upstream leaves',
		async start(deployment) {
			const group = readFaultTargetGroup(deployment);
			const primary = findPrimaryDatabase(deployment, group);
			const leavingDatabase = deployment.databases.find(database => database.group.name === group && database !== primary)!.member.name;
			await deployment.appendChange({kind: 'upstreamLeft', group, database: leavingDatabase});
			return async () => {
				await deployment.appendChange({kind: 'upstreamReturned', group, database: leavingDatabase});
			};
		},
	},
];

/** All scenarios of the full suite, the healthy one first. */
export const SCENARIOS: readonly Scenario[] = [HEALTHY, ...FAULTS];

const QUICK_NAMES = new Set(['healthy', 'primary dead', 'platform down']);

/** Scenarios of the quick suite. */
export const QUICK_SCENARIOS: readonly Scenario[] = SCENARIOS.filter(scenario => QUICK_NAMES.has(scenario.name));
