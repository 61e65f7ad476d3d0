/**
 * Sends the usage of this host: its own report, or the digest of its domain if it is the leader. The leader also sends the sum
 * over its domain to the leaders of the other domains, and relays what it receives from them.
 */
import type {Clock, Deadline} from 'heatherpond-core';
import type {DomainDigests} from './domain-digests.js';
import type {DomainPeers} from './domain-peers.js';
import type {HostContact} from './host-message.js';
import {GATHERING_MS, type HostMessages} from './host-messages.js';
import type {OwnReports} from './own-reports.js';
import {PEER_POLL_INTERVAL_MS} from './poll-schedule.js';
import type {RemoteDomains} from './remote-domains.js';
import {readTrustedDigest} from './trusted-digest.js';
import type {UsageReport} from './usage-report.js';

/** Sends reports and digests; a message that is lost is not repeated, the next one replaces it. */
export type UsageSender = {
	/** Whether this host acts as the leader of its domain. */
	readonly isLeader: () => boolean;
	/** Sends the report of this host at once, or the digest if it is the leader. */
	readonly sendReport: () => void;
	/** Reports with the next requests of this host, or with the next responses to those that send it requests if it is the leader. */
	readonly sendPeriodicReport: () => void;
	/** Sends the sum over the domain to the leaders of the other domains if this host is the leader. */
	readonly sendDomainReport: () => void;
	/** Sends the report of this host to one other host at once. */
	readonly sendReportTo: (receiver: HostContact) => void;
	/** Sends the digest of the domain to one host at once. */
	readonly sendDigestTo: (receiver: HostContact) => void;
	/** Makes this host known to one that has just started: it needs the demand at the other hosts, and whom to follow. */
	readonly notifyNewHost: (newHost: HostContact) => void;
	/** Relays the report of another domain to the domain peers that need it. */
	readonly forwardDomainReport: (report: UsageReport) => void;
	/** Notifies the domain peers that this host has shut down. */
	readonly sendDeparture: () => void;
};

/** Dependencies of the sender. */
export type UsageSenderOptions = {
	readonly clock: Clock;
	/** Failure domain of this host. */
	readonly ownDomain: string;
	readonly messages: HostMessages;
	readonly peers: DomainPeers;
	readonly remoteDomains: RemoteDomains;
	readonly ownReports: OwnReports;
	readonly digests: DomainDigests;
	/** Called when the demand of this host, or of its domain if it leads it, has been reported to those whose shares depend on it. */
	readonly recordReported: () => void;
	/** Whether this host still searches for the leader of its domain, and does not act as the leader until it has given up. */
	readonly isDiscovering: () => boolean;
};

/** Time for which what a leader sends to its domain waits for the next response to each host, in milliseconds: one poll interval. */
const RELAY_DELAY_MS = PEER_POLL_INTERVAL_MS;

/** Creates the sender. */
export function createUsageSender({clock, ownDomain, messages, peers, remoteDomains, ownReports, digests, recordReported, isDiscovering}: UsageSenderOptions): UsageSender {
	const {createDigest, computeDomainUsage} = digests;

	function isLeader(): boolean {
		return peers.findLeader() === undefined && !isDiscovering();
	}

	function sendOwnReport(sendBy?: Deadline): void {
		const leader = peers.findLeader();
		const receivers = leader && readTrustedDigest(peers) ? [leader] : peers.readContacts();
		const report = ownReports.createReport(receivers);
		recordReported();
		messages.sendUsage(report, receivers, sendBy);
	}

	function sendReportTo(receiver: HostContact): void {
		messages.sendUsage(ownReports.createReport([receiver]), [receiver]);
	}

	function sendDigestTo(receiver: HostContact): void {
		messages.sendDigest(createDigest, [receiver]);
	}

	/** Finds the domain peers that need the single reports of other domains: the leader and its successors, and all of them while no leader is known. */
	function findRelayReceivers(): readonly HostContact[] {
		const leader = peers.findLeader();
		if (leader) {
			return [leader];
		}

		return isLeader() ? peers.findSuccessors() : peers.readContacts();
	}

	function readRemoteHosts(): readonly HostContact[] {
		return messages.readPeers().filter(({domain}) => domain !== ownDomain);
	}

	return {
		isLeader,
		sendReport() {
			if (isLeader()) {
				messages.sendDigest(createDigest, peers.readContacts());
			} else {
				sendOwnReport();
			}
		},
		sendPeriodicReport() {
			const now = clock.readNow();
			if (!isLeader()) {
				sendOwnReport(now + GATHERING_MS);
				return;
			}

			const followers = new Set(peers.readReports().map(({report}) => report.host));
			const contacts = peers.readContacts();
			messages.sendDigest(createDigest, contacts.filter(({host}) => followers.has(host)), now + RELAY_DELAY_MS);
			messages.sendDigest(createDigest, contacts.filter(({host}) => !followers.has(host)));
		},
		sendDomainReport() {
			if (isLeader()) {
				const receivers = remoteDomains.findReceivers(readRemoteHosts());
				const report = ownReports.createReport(receivers);
				recordReported();
				// Not from the cache: the buckets record the demand of this instant.
				messages.sendUsage({...report, ...computeDomainUsage(report), isOfDomain: true}, receivers);
			}
		},
		sendReportTo,
		sendDigestTo,
		notifyNewHost(newHost) {
			if (isLeader()) {
				sendDigestTo(newHost);
			} else if (!readTrustedDigest(peers)) {
				sendReportTo(newHost);
			}
		},
		forwardDomainReport(report) {
			// The receivers know positions from this host, and the echoes are for it alone.
			messages.sendRelayed({...report, positions: undefined, echoes: undefined}, findRelayReceivers(), clock.readNow() + RELAY_DELAY_MS);
		},
		sendDeparture() {
			messages.sendUsage(ownReports.createReport([], true), peers.readContacts());
		},
	};
}
