/** Conditions under which the failover gap is measured. */
import {waitUntil, type Clock, type GroupRecord} from 'heatherpond-core';
import {openAdminConnection} from 'heatherpond-admin';
import type {LocalDatabase, LocalDeployment} from 'heatherpond-local';

/** Deployment, group and primary that a failover acts on. */
export type FailoverContext = {
	readonly deployment: LocalDeployment;
	readonly group: GroupRecord;
	readonly primary: LocalDatabase;
	readonly clock: Clock;
	readonly signal: AbortSignal;
};

/** A way to cause a failover, with the targets for its gap. */
export type FailoverCondition = {
	readonly title: string;
	/** Targets for the gap; absent if the gap depends on how long the platform is down. */
	readonly target?: {readonly medianMs: number; readonly maxMs: number};
	/** Prepares the deployment once, before the first round. */
	readonly prepare: (deployment: LocalDeployment) => void;
	/** Causes the failover; resolves when the round can wait for the new primary. */
	readonly start: (context: FailoverContext) => Promise<void>;
	/** Removes the fault that `start` injected. */
	readonly end: (context: FailoverContext) => void;
};

const FAILOVER_TARGET = {medianMs: 1500, maxMs: 3000};
const SWITCHOVER_TARGET = {medianMs: 300, maxMs: 300};
/** Duration of the platform outage that begins together with the failure of the primary. */
const OUTAGE_MS = 2000;
const CALL_TIMEOUT_MS = 8000;

function applyNoChange(): void {
	// Conditions without a setup or cleanup step use this.
}

async function startPrimaryFailure({primary}: FailoverContext): Promise<void> {
	primary.faults.isDown = true;
}

function endPrimaryFailure({primary}: FailoverContext): void {
	primary.faults.isDown = false;
}

async function startGroupPartition({primary}: FailoverContext): Promise<void> {
	primary.faults.isPartitionedFromGroup = true;
}

function endGroupPartition({primary}: FailoverContext): void {
	primary.faults.isPartitionedFromGroup = false;
}

/** Partitions the last failure domain from its peers: its hosts cannot confirm, so that leases must expire instead. */
function startDomainPartition({peerFaults, plan}: LocalDeployment): void {
	peerFaults.partitionedDomains.add(plan.domains.at(-1)!);
}

async function startPrimaryFailureInOutage(context: FailoverContext): Promise<void> {
	const {deployment, clock, signal} = context;
	deployment.platform.faults.isDown = true;
	await startPrimaryFailure(context);
	await waitUntil(clock, clock.readNow() + OUTAGE_MS, signal);
	deployment.platform.faults.isDown = false;
}

async function startSwitchover({deployment, group, clock, signal}: FailoverContext): Promise<void> {
	const admin = openAdminConnection({address: deployment.hosts[0]!.identity.peerAddress, clock});
	try {
		await admin.requestSwitchover({group: group.settings.name, candidate: ''}, {deadline: clock.readNow() + CALL_TIMEOUT_MS, signal});
	} finally {
		admin.close();
	}
}

/** All conditions, in the order in which they are measured. */
export const FAILOVER_CONDITIONS: readonly FailoverCondition[] = [
	{
		title: 'primary dead, every host confirms', target: FAILOVER_TARGET, prepare: applyNoChange, start: startPrimaryFailure, end: endPrimaryFailure,
	},
	{
		title: 'primary cut off from its group, every host confirms', target: FAILOVER_TARGET, prepare: applyNoChange, start: startGroupPartition, end: endGroupPartition,
	},
	{
		title: 'primary dead, hosts of one failure domain cannot confirm', target: FAILOVER_TARGET, prepare: startDomainPartition, start: startPrimaryFailure, end: endPrimaryFailure,
	},
	{
		title: 'primary cut off, hosts of one failure domain cannot confirm', target: FAILOVER_TARGET, prepare: startDomainPartition, start: startGroupPartition, end: endGroupPartition,
	},
	{
		title: `primary dead, platform down for ${OUTAGE_MS} ms from then on`, prepare: applyNoChange, start: startPrimaryFailureInOutage, end: endPrimaryFailure,
	},
	{
		title: 'planned switchover', target: SWITCHOVER_TARGET, prepare: applyNoChange, start: startSwitchover, end: applyNoChange,
	},
];
