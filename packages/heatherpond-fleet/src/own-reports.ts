/** Creates the usage reports of this host, and remembers when they were sent. */
import type {Clock, Instant} from 'heatherpond-core';
import type {PositionTracker} from 'heatherpond-session';
import type {ReceivedReport} from './domain-peers.js';
import type {HostIdentity} from './fleet-services.js';
import type {HostContact, RegisteredIncarnation} from './host-message.js';
import {createReportedPositions, createReportEchoes} from './shared-positions.js';
import type {UsageReport} from './usage-report.js';

/** The fields of a usage report that a host fills in from its own state. */
export type HostUsage = Pick<UsageReport, 'isVerified' | 'teams' | 'databases'>;

/** Reports of this host. */
export type OwnReports = {
	/** Creates the next report, which is to be sent at once, with echoes for its receivers; `hasLeft` marks the last one. */
	readonly createReport: (receivers: readonly HostContact[], hasLeft?: boolean) => UsageReport;
	/** Reads the usage in the last report. */
	readonly readLastUsage: () => HostUsage;
	/** Finds when a report was sent; nothing when it is no longer remembered or belongs to another incarnation. */
	readonly findSentAt: (reported: RegisteredIncarnation) => Instant | undefined;
	/** Forgets all send times, after a suspension that the clock did not measure. */
	readonly clear: () => void;
};

/** Dependencies of the reports. */
export type OwnReportsOptions = {
	readonly clock: Clock;
	readonly identity: HostIdentity;
	readonly positions: PositionTracker;
	readonly readHostUsage: () => HostUsage;
	/** Reads the last reports that other hosts have sent to this one. */
	readonly readReceivedReports: () => readonly ReceivedReport[];
	/** Reads the id of the list of members that this host has from its leader. */
	readonly readMemberList: () => string | undefined;
};

/**
 * Number of own reports whose send times are kept. A domain leader registers this host on the basis of one of its reports, and
 * others tell which one they received last; a leader sends one to each host of its domain in every poll interval.
 */
const MAX_REMEMBERED_REPORTS = 256;

/** Maximum number of echoes in a report; more receivers than this are reported to only while a large domain starts. */
const MAX_ECHOES = 32;

/** Creates the reports of a host that has just started. */
export function createOwnReports({clock, identity, positions, readHostUsage, readReceivedReports, readMemberList}: OwnReportsOptions): OwnReports {
	const startedAt = clock.readNow();
	let sequence = 0;
	let lastUsage: HostUsage = {isVerified: false, teams: {}, databases: {}};
	/** Send times of the last reports, by sequence number. */
	const sentAt = new Map<number, Instant>();

	/** Selects the reports to echo: a report names those of its receivers only, or it would grow with the domain. */
	function selectEchoed(receivers: readonly HostContact[]): readonly ReceivedReport[] {
		const hosts = new Set(receivers.slice(0, MAX_ECHOES).map(({host}) => host));
		return readReceivedReports().filter(({report}) => hosts.has(report.host));
	}

	return {
		createReport(receivers, hasLeft = false) {
			const now = clock.readNow();
			sequence++;
			sentAt.set(sequence, now);
			sentAt.delete(sequence - MAX_REMEMBERED_REPORTS);
			lastUsage = readHostUsage();
			const {host, incarnation, domain, address, port} = identity;
			return {
				host, incarnation, domain, address, port, sequence, isOfDomain: false, hasLeft, runningMs: Math.round(now - startedAt), ...lastUsage,
				positions: createReportedPositions(positions, now), echoes: createReportEchoes(selectEchoed(receivers), now), memberList: readMemberList(),
			};
		},
		readLastUsage: () => lastUsage,
		findSentAt: ({incarnation, sequence: sent}) => incarnation === identity.incarnation ? sentAt.get(sent) : undefined,
		clear() {
			sentAt.clear();
		},
	};
}
