/** Generates fleet views of any size from the log entries that operators and hosts would write. */
import {createHash} from 'node:crypto';
import {
	applyLogEntry, contractSchema, EMPTY_FLEET_VIEW, type Change, type Contract, type FleetView, type LogEntry, type Member,
} from 'heatherpond-core';

/** Number of items of each kind in a generated fleet. */
export type FleetSizes = {
	readonly hosts: number;
	/** Number of database groups; each has three databases and one route. */
	readonly groups: number;
	readonly teams: number;
	readonly keysPerTeam: number;
};

const DOMAINS = 26;

function createMember(group: number, index: number): Member {
	return {
		name: `group-${group}-db-${index}`, host: `10.${group % 256}.${index}.1`, port: 5432, domain: `domain-${(group + index) % DOMAINS}`, slots: 3, connections: 20,
	};
}

function createContract(team: number, groups: number): Contract {
	return contractSchema.parse({
		team: `team-${team}`, routes: [`route-${team % Math.max(1, groups)}`], rate: 100, burst: 100,
	});
}

function createIndexes(count: number): readonly number[] {
	return Array.from({length: count}, (_value, index) => index);
}

/** Creates the changes that set up a fleet of the given sizes. */
export function createChanges(sizes: FleetSizes): readonly Change[] {
	return [
		...createIndexes(sizes.groups).flatMap<Change>(group => [
			{kind: 'groupApplied', group: {name: `group-${group}`, durability: 'contract', members: createIndexes(3).map(index => createMember(group, index))}},
			{
				kind: 'promotionEnded', group: `group-${group}`, term: 1, primary: `group-${group}-db-0`, start: 0n,
			},
			{
				kind: 'routeApplied', route: {
					name: `route-${group}`, group: `group-${group}`, open: false, maxStalenessMs: 0,
				},
			},
		]),
		...createIndexes(sizes.teams).flatMap<Change>(team => [
			{kind: 'contractApplied', contract: createContract(team, sizes.groups)},
			...createIndexes(sizes.keysPerTeam).map<Change>(key => ({
				kind: 'keyGiven', team: `team-${team}`, keyId: `team-${team}-key-${key}`, keyHash: createHash('sha256').update(`${team}/${key}`).digest('hex'),
			})),
		]),
		...createIndexes(sizes.hosts).map<Change>(host => ({
			kind: 'hostRegistered', host: `host-${host}`, incarnation: createHash('md5').update(String(host)).digest('hex'), domain: `domain-${host % DOMAINS}`, peerAddress: `10.0.${host % 256}.1:7000`,
		})),
	];
}

/** Wraps a change in a log entry with the given version. */
export function createEntry(change: Change, version: number): LogEntry {
	return {
		version, operationId: `operation-${version}`, author: 'operator', writtenAt: '2026-12-03T00:00:00.000Z', change,
	};
}

/** Builds the view of a fleet by applying its changes in order. */
export function createView(sizes: FleetSizes): FleetView {
	return createChanges(sizes).reduce((view, change) => applyLogEntry(view, createEntry(change, view.version + 1)), EMPTY_FLEET_VIEW);
}
