/**
 * Decides how long keys stay verified while no host reaches the platform's store.
 *
 * Operators' commands go through registered hosts, and a host applies what it appended before it says that it was
 * accepted. When every host that the view names has answered at no later version than the view's own, to questions
 * sent at or after an instant, none of them had accepted a withdrawal before that instant that the view lacks.
 */
import {isInPlace} from './allotment-share.js';
import type {Instant} from './clock.js';
import type {FleetView} from './fleet-view.js';
import type {PeerKnowledgeByHost} from './membership.js';
import {readStampAge, type Stamp} from './stamp.js';

/** What the census looks at. */
export type PeerConfirmationInput = {
	readonly view: FleetView;
	readonly host: string;
	readonly incarnation: string;
	/** Address of this host; a run that listens at the address of an older one has taken its place. */
	readonly peerAddress: string;
	readonly peers: PeerKnowledgeByHost;
	readonly now: Instant;
};

/**
 * Reads the instant up to which no registered host had accepted a change that this view lacks; `-Infinity` when one of
 * them has answered at a later version or not at all, or when the log names neither this run nor one at its address.
 */
export function readCensusInstant({view, host, incarnation, peerAddress, peers, now}: PeerConfirmationInput): Instant {
	if (!isInPlace(view.hosts[host], {host, incarnation, peerAddress})) {
		return Number.NEGATIVE_INFINITY;
	}

	const confirmedAt = Object.values(view.hosts).filter(record => record.host !== host).map(record => {
		const peer = peers[record.host];
		return peer && isInPlace(record, peer) && peer.version <= view.version ? peer.answeredAt : Number.NEGATIVE_INFINITY;
	});
	return Math.min(now, ...confirmedAt);
}

/** Age in milliseconds below which a stamp needs no census. */
const RECENT_STAMP_MS = 1000;

/** Reads the stamp by which keys are judged: the later of the log's own and that of the census. */
export function readKeyStamp(stamp: Stamp, confirmation: PeerConfirmationInput): Stamp {
	if (readStampAge(stamp, confirmation.now) < RECENT_STAMP_MS) {
		return stamp;
	}

	return {version: confirmation.view.version, verifiedAt: Math.max(stamp.verifiedAt, readCensusInstant(confirmation))};
}
