/**
 * Probes the status of every database: frequently in groups that this host monitors, at a low shared rate in all others.
 */
import {
	applyProbe, applyProbeFailure, formatDatabaseKey, PortError, waitUntil, type Clock, type FleetView, type GroupRecord, type HostBlackboard, type Instant, type Member, type PrimacyBlackboard, type UpstreamPort,
} from 'heatherpond-core';
import type {GroupMonitors} from './group-monitors.js';

/** Dependencies of the prober. */
export type DatabaseProberOptions = {
	readonly blackboard: HostBlackboard;
	readonly primacy: PrimacyBlackboard;
	readonly upstream: UpstreamPort;
	readonly clock: Clock;
	readonly timings: {readonly probeIntervalMs: number; readonly probeTimeoutMs: number};
	/** Tells which groups this host monitors. */
	readonly monitors: Pick<GroupMonitors, 'isMonitor'>;
	readonly signal: AbortSignal;
};

/** Maximum number of probes per second to all databases of the monitored groups together. */
const MONITORED_PROBES_PER_SECOND = 200;
/** Maximum number of probes per second to all other databases together. */
const OTHER_PROBES_PER_SECOND = 20;

/** Starts an independent probe loop for each database. All loops end when the signal aborts. */
export function startDatabaseProber(options: DatabaseProberOptions): void {
	const {blackboard, signal} = options;
	const probing = new Set<string>();
	const counter = createDatabaseCounter(options);

	function startMissing(): void {
		Object.values(blackboard.read().view.groups).forEach(group => {
			group.settings.members.forEach(member => {
				const key = formatDatabaseKey(group.settings.name, member.name);
				if (!probing.has(key)) {
					probing.add(key);
					void runProbes(group.settings.name, member.name);
				}
			});
		});
	}

	function findMember(group: string, name: string): Member | undefined {
		return blackboard.read().view.groups[group]?.settings.members.find(member => member.name === name);
	}

	/** Returns the interval between two probes of a database in milliseconds. */
	function readInterval(group: string): number {
		const {monitored, others} = counter.read();
		const minIntervalMs = options.monitors.isMonitor(group) ? monitored * 1000 / MONITORED_PROBES_PER_SECOND : others * 1000 / OTHER_PROBES_PER_SECOND;
		return Math.max(options.timings.probeIntervalMs, minIntervalMs);
	}

	/** Probes a database until it is removed from its group. */
	async function runProbes(group: string, name: string): Promise<void> {
		let member = findMember(group, name);
		while (member && !signal.aborted) {
			const startedAt = options.clock.readNow();
			await updateDatabaseStatus(options, group, member);
			await waitUntil(options.clock, startedAt + readInterval(group), signal);
			member = findMember(group, name);
		}

		probing.delete(formatDatabaseKey(group, name));
	}

	const stopListening = blackboard.registerListener(state => state.view.groups, startMissing);
	signal.addEventListener('abort', stopListening, {once: true});
	startMissing();
}

/** Numbers of databases in groups that this host monitors and in all other groups. */
type DatabaseCounts = {readonly monitored: number; readonly others: number};

/** Creates a counter of databases that recounts only after a change of hosts or groups. */
function createDatabaseCounter({blackboard, monitors}: DatabaseProberOptions): {readonly read: () => DatabaseCounts} {
	let counted: Pick<FleetView, 'hosts' | 'groups'> | undefined;
	let count: DatabaseCounts = {monitored: 0, others: 0};
	return {
		read() {
			const {view} = blackboard.read();
			if (view.hosts !== counted?.hosts || view.groups !== counted.groups) {
				counted = view;
				const groups = Object.values(view.groups);
				const all = countDatabases(groups);
				const monitored = countDatabases(groups.filter(group => monitors.isMonitor(group.settings.name)));
				count = {monitored, others: all - monitored};
			}

			return count;
		},
	};
}

function countDatabases(groups: readonly GroupRecord[]): number {
	return groups.reduce((sum, group) => sum + group.settings.members.length, 0);
}

async function updateDatabaseStatus(options: DatabaseProberOptions, group: string, member: Member): Promise<void> {
	const {blackboard, primacy, upstream, clock, signal} = options;
	const key = formatDatabaseKey(group, member.name);
	const requestedAt = clock.readNow();
	const failures = blackboard.read().databases[key]?.failures ?? 0;
	try {
		const status = await upstream.readStatus(member, {deadline: requestedAt + options.timings.probeTimeoutMs, signal, onNewConnection: failures > 0});
		blackboard.update(state => ({
			...state,
			databases: {
				...state.databases, [key]: {
					group, name: member.name, status, readAt: requestedAt, failures: 0,
				},
			},
		}));
		primacy.update(state => ({...state, probeStates: {...state.probeStates, [key]: applyProbe(state.probeStates[key], status, requestedAt)}}));
	} catch (error) {
		if (!(error instanceof PortError)) {
			throw error;
		}

		recordProbeFailure(options, {group, name: member.name, requestedAt});
	}
}

function recordProbeFailure({blackboard, primacy}: DatabaseProberOptions, {group, name, requestedAt}: {readonly group: string; readonly name: string; readonly requestedAt: Instant}): void {
	const key = formatDatabaseKey(group, name);
	const known = blackboard.read().databases[key];
	const failures = (known?.failures ?? 0) + 1;
	blackboard.update(state => ({
		...state,
		databases: {
			...state.databases, [key]: {
				group, name, status: known?.status, readAt: known?.readAt ?? requestedAt, failures,
			},
		},
	}));
	primacy.update(state => ({...state, probeStates: {...state.probeStates, [key]: applyProbeFailure(state.probeStates[key], name, {requestedAt, failures})}}));
}
