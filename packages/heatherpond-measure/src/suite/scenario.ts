/** Fault scenarios of the measurement suite. */
import type {LocalDatabase, LocalDeployment} from 'heatherpond-local';

/** A fault that starts and ends while the load is running. */
export type Scenario = {
	readonly name: string;
	/** Injects the fault; resolves with a function that removes it. */
	readonly start: (deployment: LocalDeployment) => Promise<EndFault>;
};

/** Removes an injected fault. */
export type EndFault = () => Promise<void>;

/** Finds the primary of a group in the view of the first host; falls back to any database of the group. */
export function findPrimaryDatabase(deployment: LocalDeployment, group: string): LocalDatabase {
	const name = deployment.hosts[0]!.blackboard.read().view.groups[group]?.primary;
	return deployment.databases.find(database => database.member.name === name) ?? deployment.databases.find(database => database.group.name === group)!;
}

/** Returns the name of the group that database faults are injected into. */
export function readFaultTargetGroup(deployment: LocalDeployment): string {
	return deployment.plan.groups[0]!.name;
}
