/** Dependencies and lookups shared by the promotion modules. */
import {
	formatDatabaseKey,
	type Clock, type DatabaseStatus, type GroupRecord, type HostBlackboard, type HostIdentity, type Member, type MemberProbeState, type PlatformPort, type PrimacyBlackboard, type PromotionPort, type RecordEvent, type UpstreamPort,
} from 'heatherpond-core';
import type {Timings} from 'heatherpond-config';
import type {GroupMonitors} from './group-monitors.js';

/** Dependencies of the promotion modules. */
export type PromotionOptions = {
	readonly identity: HostIdentity;
	readonly blackboard: HostBlackboard;
	readonly primacy: PrimacyBlackboard;
	readonly platform: PlatformPort;
	readonly upstream: UpstreamPort;
	readonly hosts: PromotionPort;
	/** Tells which hosts monitor a group. */
	readonly monitors: GroupMonitors;
	readonly clock: Clock;
	readonly recordEvent: RecordEvent;
	/** Reads the log once and applies its entries. Resolves with whether the platform responded. */
	readonly readLog: () => Promise<boolean>;
	/** Returns a random number between 0 and 1. */
	readonly drawNumber: () => number;
	/** Creates a unique id for a log entry. */
	readonly createId: () => string;
	/** Returns the number of commits of a group that are waiting for a proof of primacy on this host. */
	readonly countPending: (group: string) => number;
	readonly timings: Timings;
	readonly signal: AbortSignal;
};

const MAX_HOST_LENGTH = 54;
const INCARNATION_LENGTH = 8;

/** Formats the promoter name of one incarnation of a host. */
export function formatPromoter(host: string, incarnation: string): string {
	return `${host.slice(0, MAX_HOST_LENGTH)}.${incarnation.slice(0, INCARNATION_LENGTH)}`;
}

/** Finds a group in the host's view. */
export function findGroup({blackboard}: Pick<PromotionOptions, 'blackboard'>, name: string): GroupRecord | undefined {
	return blackboard.read().view.groups[name];
}

/** Finds a member of a group by name. */
export function findMember(group: GroupRecord | undefined, name: string | undefined): Member | undefined {
	return group?.settings.members.find(member => member.name === name);
}

/** Returns the probe states of a group's members. */
export function collectProbeStates({primacy}: Pick<PromotionOptions, 'primacy'>, group: GroupRecord): readonly MemberProbeState[] {
	const {probeStates} = primacy.read();
	return group.settings.members
		.map(member => probeStates[formatDatabaseKey(group.settings.name, member.name)])
		.filter((state): state is MemberProbeState => state !== undefined);
}

/** Returns the last known statuses of a group's members. */
export function collectStatuses(options: Pick<PromotionOptions, 'primacy'>, group: GroupRecord): readonly DatabaseStatus[] {
	return collectProbeStates(options, group).flatMap(state => state.status ?? []);
}
