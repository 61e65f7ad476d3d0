/**
 * Tracks the live hosts of the own failure domain, from the reports that they send and from the digests of the domain leader,
 * and selects the leader among them.
 */
import type {Clock, Instant} from 'heatherpond-core';
import {findDomainLeader, MIN_LEADER_UPTIME_MS} from './domain-leader.js';
import type {HostRecord} from './fleet-records.js';
import type {HostIdentity} from './fleet-services.js';
import type {HostContact} from './host-message.js';
import type {DomainDigest, DomainMember, UsageReport} from './usage-report.js';

/** A report of another host or domain, and when it was received. */
export type ReceivedReport = {readonly report: UsageReport; readonly receivedAt: Instant};

/** The digest of the leader, with the live hosts that it names. */
export type ReceivedDigest = {readonly digest: DomainDigest; readonly members: readonly DomainMember[]; readonly receivedAt: Instant};

/** The live hosts of the own failure domain, without this one. */
export type DomainPeers = {
	/** Applies the report of a domain peer; returns whether it is the first one of its incarnation. */
	readonly applyReport: (report: UsageReport) => boolean;
	/** Applies the digest of a host that considers itself the leader; returns what it tells if it comes from the leader. */
	readonly applyDigest: (digest: DomainDigest) => ReceivedDigest | undefined;
	/** Adds hosts that other hosts have named; they count as live once they are heard. */
	readonly insertContacts: (contacts: readonly HostContact[]) => void;
	readonly removeHost: (host: string) => void;
	/** Finds the domain leader; nothing when this host is the leader. */
	readonly findLeader: () => HostContact | undefined;
	/** Reads the digest of the leader, if it is recent enough to stand for the reports of the domain peers. */
	readonly readDigest: () => ReceivedDigest | undefined;
	/** Reads the id of the list of members that this host has from its leader. */
	readonly readMemberList: () => string | undefined;
	/** Reads the recent reports that domain peers have sent to this host. */
	readonly readReports: () => readonly ReceivedReport[];
	/** Reads the domain peers that may be running: the live ones and those whose registration may be valid. */
	readonly readContacts: () => readonly HostContact[];
	/** Reads the hosts that have reported to this one recently, and this one. */
	readonly readMembers: () => readonly DomainMember[];
	/** Finds the hosts that lead the domain next when this one, its leader, fails. */
	readonly findSuccessors: () => readonly HostContact[];
	/** Forgets the hosts that are no longer live. */
	readonly removeExpired: () => void;
};

/** Dependencies of the tracker. */
export type DomainPeersOptions = {
	readonly clock: Clock;
	readonly identity: HostIdentity;
	/** Reads the domain peers whose registration may be valid. */
	readonly readRegistered: () => readonly HostRecord[];
};

/** Age up to which a host counts as live after its last report or the last digest that names it, in milliseconds. */
export const REPORT_EXPIRY_MS = 2800;
/** Age up to which the digest of the leader stands for the reports of the domain peers, in milliseconds; one interval of reports and a margin. */
export const DIGEST_EXPIRY_MS = 1600;
/** Time for which the selected leader is reused, in milliseconds; it is selected anew at once when a host appears or leaves. */
const LEADER_CACHE_MS = 25;
/** Number of successors of a leader that are kept informed as it is, because several hosts may fail at the same time. */
const SUCCESSORS = 2;

type Member = {readonly contact: HostContact; readonly startedAt: Instant; readonly heardAt: Instant};
type SelectedLeader = {readonly leader: HostContact | undefined; readonly until: Instant};

/** Creates a tracker that knows no other host. */
export function createDomainPeers({clock, identity, readRegistered}: DomainPeersOptions): DomainPeers {
	const startedAt = clock.readNow();
	const members = new Map<string, Member>();
	const reports = new Map<string, ReceivedReport>();
	const digests = new Map<string, ReceivedDigest>();
	/** Hosts that others have named and that have not been heard yet. */
	const named = new Map<string, HostContact>();
	let selected: SelectedLeader | undefined;

	function isLive({heardAt}: Member): boolean {
		return heardAt + REPORT_EXPIRY_MS > clock.readNow();
	}

	function updateMember({host, incarnation, address, port, runningMs}: DomainMember): void {
		const now = clock.readNow();
		const known = members.get(host);
		const isSameIncarnation = known?.contact.incarnation === incarnation;
		// A leader that has not heard from the new incarnation of a host yet still names the previous one.
		if (known && !isSameIncarnation && known.startedAt > now - runningMs) {
			return;
		}

		selected = isSameIncarnation && isLive(known) ? selected : undefined;
		named.delete(host);
		members.set(host, {
			contact: {
				host, incarnation, address, port, domain: identity.domain,
			}, startedAt: now - runningMs, heardAt: now,
		});
	}

	function findLeader(): HostContact | undefined {
		const now = clock.readNow();
		if (!selected || selected.until <= now) {
			const live = [...members.values()].filter(isLive).map(({contact, startedAt: peerStartedAt}) => ({...contact, startedAt: peerStartedAt}));
			selected = {leader: findDomainLeader({host: identity.host, startedAt}, live, now), until: now + LEADER_CACHE_MS};
		}

		return selected.leader;
	}

	function removeHost(host: string): void {
		[members, reports, digests].forEach(map => {
			map.delete(host);
		});
		selected = undefined;
	}

	/** Adds the live hosts to a digest; returns nothing when it refers to a list that this host does not have. */
	function createReceivedDigest(digest: DomainDigest): ReceivedDigest | undefined {
		const receivedAt = clock.readNow();
		if (digest.members) {
			return {digest, members: digest.members, receivedAt};
		}

		const previous = digests.get(digest.own.host);
		if (previous?.digest.memberList !== digest.memberList) {
			return undefined;
		}

		const elapsedMs = receivedAt - previous.receivedAt;
		return {digest, members: previous.members.map(member => ({...member, runningMs: member.runningMs + elapsedMs})), receivedAt};
	}

	function readReports(): readonly ReceivedReport[] {
		const now = clock.readNow();
		return [...reports.values()].filter(({receivedAt}) => receivedAt + REPORT_EXPIRY_MS > now);
	}

	return {
		applyReport(report) {
			const last = reports.get(report.host)?.report;
			if (last?.incarnation === report.incarnation && last.sequence >= report.sequence) {
				return false;
			}

			reports.set(report.host, {report, receivedAt: clock.readNow()});
			updateMember(report);
			return last?.incarnation !== report.incarnation;
		},
		applyDigest(digest) {
			const received = createReceivedDigest(digest);
			if (!received) {
				return undefined;
			}

			received.members.filter(({host}) => host !== identity.host && host !== digest.own.host).forEach(updateMember);
			digests.set(digest.own.host, received);
			return findLeader()?.host === digest.own.host ? received : undefined;
		},
		insertContacts(contacts) {
			contacts.filter(({host, domain}) => domain === identity.domain && host !== identity.host && !members.has(host)).forEach(contact => {
				named.set(contact.host, contact);
			});
		},
		removeHost,
		findLeader,
		readDigest() {
			const leader = findLeader();
			const received = leader && digests.get(leader.host);
			return received && received.receivedAt + DIGEST_EXPIRY_MS > clock.readNow() ? received : undefined;
		},
		readMemberList() {
			const leader = findLeader();
			return leader && digests.get(leader.host)?.digest.memberList;
		},
		readReports,
		readContacts() {
			const live = [...members.values()].filter(isLive).map(({contact}) => [contact.host, contact] as const);
			return [...new Map<string, HostContact>([...named, ...readRegistered().map(record => [record.host, record] as const), ...live]).values()];
		},
		// Hosts that are only known from another digest are left out, or two hosts could keep a dead one in each other's digests.
		readMembers() {
			const now = clock.readNow();
			const own = {...identity, runningMs: now - startedAt};
			return [own, ...readReports().map(({report, receivedAt}) => ({...report, runningMs: report.runningMs + now - receivedAt}))].map(convertToMember);
		},
		findSuccessors: () => readReports()
			.map(({report}) => report)
			.filter(({runningMs}) => runningMs >= MIN_LEADER_UPTIME_MS)
			.toSorted((left, right) => left.host < right.host ? -1 : 1)
			.slice(0, SUCCESSORS),
		removeExpired() {
			named.clear();
			[...members].filter(([, member]) => !isLive(member)).forEach(([host]) => {
				removeHost(host);
			});
		},
	};
}

function convertToMember({host, incarnation, address, port, runningMs}: DomainMember): DomainMember {
	return {
		host, incarnation, address, port, runningMs: Math.round(runningMs),
	};
}
