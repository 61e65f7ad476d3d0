/**
 * Keeps API keys verified while no host can reach the platform's table service.
 *
 * The view contains every key withdrawal that was reported as successful before an instant if every host registered in
 * the view has responded, at a version no higher than the view's, to a request sent at or after that instant. The reason:
 * operator commands are executed by registered hosts, and a host applies the log entry that it appended before it reports
 * success, so a host that had executed a withdrawal which the view lacks would have responded at a higher version.
 */
import {isSameOrSuccessor} from './allotment-share.js';
import type {Instant} from './clock.js';
import type {FleetView} from './fleet-view.js';
import type {PeerStates} from './membership.js';
import {readStampAge, type Stamp} from './stamp.js';

/** Input of the peer confirmation. */
export type PeerConfirmationInput = {
	readonly view: FleetView;
	readonly host: string;
	readonly incarnation: string;
	/** Address of this host; a process that listens at the address of an older one has replaced it. */
	readonly peerAddress: string;
	readonly peers: PeerStates;
	readonly now: Instant;
};

/**
 * Returns the instant up to which all registered hosts confirm that they had accepted no change that this view lacks.
 * Returns `-Infinity` when a host responded at a higher version or has not responded, or when the log registers neither
 * this process nor a predecessor at its address.
 */
export function readPeerConfirmedInstant({view, host, incarnation, peerAddress, peers, now}: PeerConfirmationInput): Instant {
	if (!isSameOrSuccessor(view.hosts[host], {host, incarnation, peerAddress})) {
		return Number.NEGATIVE_INFINITY;
	}

	const confirmedAt = Object.values(view.hosts).filter(record => record.host !== host).map(record => {
		const peer = peers[record.host];
		return peer && isSameOrSuccessor(record, peer) && peer.version <= view.version ? peer.answeredAt : Number.NEGATIVE_INFINITY;
	});
	return Math.min(now, ...confirmedAt);
}

/** Age in milliseconds below which a stamp is used without peer confirmation. */
const RECENT_STAMP_MS = 1000;

/** Returns the stamp used to verify keys: the later one of the host's own stamp and the peer confirmation. */
export function readKeyStamp(stamp: Stamp, confirmation: PeerConfirmationInput): Stamp {
	if (readStampAge(stamp, confirmation.now) < RECENT_STAMP_MS) {
		return stamp;
	}

	return {version: confirmation.view.version, verifiedAt: Math.max(stamp.verifiedAt, readPeerConfirmedInstant(confirmation))};
}
