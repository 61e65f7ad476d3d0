/**
 * Creates the digests of a domain leader. The load in mind is a large failure domain: a digest goes to every host of it, so what
 * is the same for all is summed once, and what a host has already is left out.
 */
import type {Clock, Instant} from 'heatherpond-core';
import type {DomainPeers} from './domain-peers.js';
import type {HostContact} from './host-message.js';
import type {OwnReports} from './own-reports.js';
import {findEntry} from './record-entries.js';
import type {RemoteDomains} from './remote-domains.js';
import {computeTotalUsage} from './remote-usage.js';
import type {
	DomainDigest, DomainMember, DomainUsage, RemoteOverview, UsageReport,
} from './usage-report.js';

/** Creates digests, and the usage of the domain that they tell of. */
export type DomainDigests = {
	/** Creates the digest for one host of the domain. */
	readonly createDigest: (receiver: HostContact) => DomainDigest;
	/** Computes the usage of the domain with this report of the own host. */
	readonly computeDomainUsage: (own: UsageReport) => DomainUsage;
};

/** Dependencies of the digests. */
export type DomainDigestsOptions = {
	readonly clock: Clock;
	/** Incarnation of this host, which makes the ids of its lists unique. */
	readonly incarnation: string;
	readonly peers: DomainPeers;
	readonly ownReports: OwnReports;
	readonly remoteDomains: RemoteDomains;
};

/** What all digests of the same moment have in common. */
type SharedParts = {
	readonly usage: DomainUsage;
	readonly members: readonly DomainMember[];
	readonly memberList: string;
	readonly remote: RemoteOverview;
	/** Names of the hosts to which the reports of other domains are relayed. */
	readonly successors: ReadonlySet<string>;
	readonly until: Instant;
};

/** Time for which the shared parts are reused, in milliseconds: a leader sends digests to many hosts in a row. */
const SHARED_PARTS_CACHE_MS = 50;

/** Creates the digests of one host. */
export function createDomainDigests({clock, incarnation, peers, ownReports, remoteDomains}: DomainDigestsOptions): DomainDigests {
	let listVersion = 0;
	let listedIncarnations = '';
	let shared: SharedParts | undefined;

	/** Reads the id of the list with these members, which changes when a host appears or leaves. */
	function readListId(members: readonly DomainMember[]): string {
		const incarnations = members.map(member => member.incarnation).toSorted().join(' ');
		listVersion += incarnations === listedIncarnations ? 0 : 1;
		listedIncarnations = incarnations;
		return `${incarnation}-${listVersion}`;
	}

	function computeDomainUsage(own: UsageReport): DomainUsage {
		return computeTotalUsage([own, ...peers.readReports().map(({report}) => report)]);
	}

	function readSharedParts(own: UsageReport): SharedParts {
		const now = clock.readNow();
		if (!shared || now >= shared.until) {
			const members = peers.readMembers();
			shared = {
				usage: computeDomainUsage(own), members, memberList: readListId(members), remote: remoteDomains.createOverview(),
				successors: new Set(peers.findSuccessors().map(({host}) => host)), until: now + SHARED_PARTS_CACHE_MS,
			};
		}

		return shared;
	}

	return {
		createDigest(receiver) {
			const own = ownReports.createReport([receiver]);
			const {usage, members, memberList, remote, successors} = readSharedParts(own);
			const known = peers.readReports().find(({report}) => report.host === receiver.host)?.report;
			const digest = {own, memberList, members: known?.memberList === memberList ? undefined : [...members]};
			if (successors.has(receiver.host)) {
				return {...digest, usage};
			}

			// A host asks its leader for operations of teams, so it needs the demand of those only that it serves itself.
			return known
				? {...digest, usage: selectTeams(usage, known.teams), remote: {...remote, usage: selectTeams(remote.usage, known.teams)}}
				: {...digest, usage, remote};
		},
		computeDomainUsage,
	};
}

/** Selects the usage of some teams, which are the keys of `teams`; a team that nobody asks for has no demand, while one that is left out is unknown. */
function selectTeams(usage: DomainUsage, teams: Readonly<Record<string, number>>): DomainUsage {
	return {...usage, teams: Object.fromEntries(Object.keys(teams).map(team => [team, findEntry(usage.teams, team) ?? 0]))};
}
