/**
 * Shares the log positions of primaries between hosts. A read may go to a replica only if this host knows a position that the
 * primary reached within the staleness that the contract allows. The load in mind is a fleet of many hosts, each of which hears
 * from a given primary once in a while only: without shared positions most of its reads would go to the primaries, which alone
 * can run writes.
 *
 * Clocks of hosts differ, and a message may be late, so a position travels with its age when the report was created, and the
 * report names the last report that its sender had received from the receiver and how long before that was. The receiver knows
 * when it had sent that one, and so the earliest instant at which the position can have been seen.
 */
import type {Instant} from 'heatherpond-core';
import type {PositionTracker} from 'heatherpond-session';
import {findEntry} from './record-entries.js';
import type {UsageReport} from './usage-report.js';

/** Positions by group, as they are reported: term, position and age in milliseconds. */
export type ReportedPositions = Record<string, [number, string, number]>;

/** By host: the last report that was received from it (incarnation and sequence number), and the milliseconds since then. */
export type ReportEchoes = Record<string, [string, number, number]>;

/** A report that was received, as far as echoes need it. */
export type EchoedReport = {readonly report: Pick<UsageReport, 'host' | 'incarnation' | 'sequence'>; readonly receivedAt: Instant};

/** Age, in milliseconds, above which a position is not worth reporting: contracts allow little more staleness. */
const MAX_REPORTED_AGE_MS = 3000;
/** Maximum number of positions in a report, the newest ones; a report should fit into one datagram. */
const MAX_REPORTED_POSITIONS = 64;

/** Creates the positions of a report. */
export function createReportedPositions(positions: PositionTracker, now: Instant): ReportedPositions {
	return Object.fromEntries(positions.readNewest()
		.filter(({seenAt}) => seenAt > now - MAX_REPORTED_AGE_MS)
		.toSorted((left, right) => right.seenAt - left.seenAt)
		.slice(0, MAX_REPORTED_POSITIONS)
		.map(({group, term, point, seenAt}) => [group, [term, String(point.position), Math.ceil(now - seenAt)]]));
}

/** Creates the echoes of a report from the last reports received. */
export function createReportEchoes(received: readonly EchoedReport[], now: Instant): ReportEchoes {
	return Object.fromEntries(received.map(({report: {host, incarnation, sequence}, receivedAt}) => [host, [incarnation, sequence, Math.floor(now - receivedAt)]]));
}

/**
 * Records the positions of a report.
 *
 * @param findSentAt - finds when this host sent one of its reports
 */
export function applyReportedPositions({echoes = {}, positions = {}}: Pick<UsageReport, 'echoes' | 'positions'>, host: string, findSentAt: (echoed: {readonly incarnation: string; readonly sequence: number}) => Instant | undefined, tracker: PositionTracker): void {
	const echo = findEntry(echoes, host);
	const sentAt = echo && findSentAt({incarnation: echo[0], sequence: echo[1]});
	if (sentAt === undefined) {
		return;
	}

	const createdAt = sentAt + echo![2];
	Object.entries(positions).forEach(([group, [term, position, ageMs]]) => {
		tracker.recordPrimaryPosition(group, term, {term, position: BigInt(position)}, createdAt - ageMs);
	});
}
