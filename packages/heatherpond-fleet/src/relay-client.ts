/** Sends statements to databases through connections that other hosts, the relays, have open. */
import type {Clock, Instant} from 'heatherpond-core';
import {
	createOverloadError, createUpstreamError, type ConnectionHandle, type ConnectionRequest, type UpstreamFailure, type WriteEvent,
} from 'heatherpond-session';
import type {HostRecord} from './fleet-records.js';
import type {HostLinkPort} from './host-links.js';
import {appendRelayClock} from './relay-clock.js';
import type {RelayLink} from './relay-link.js';
import {checkLiveness} from './relay-liveness.js';
import {formatRelayMessage, parseRelayMessage} from './relay-messages.js';
import {createRelayStepExchange} from './relay-step-exchange.js';
import {createRelayedConnection} from './relayed-connection.js';

/** Client of the relays, one per host. */
export type RelayClient = {
	/** Creates a handle for a connection of a relay; the relay acquires the connection when the first step arrives. */
	readonly createHandle: (relay: HostRecord, database: string, request: ConnectionRequest) => ConnectionHandle;
	/** Whether a host has failed as a relay and has not answered since; it is pinged from time to time, and used again once it answers. */
	readonly isBackingOff: (relay: HostRecord) => boolean;
	readonly destroy: () => void;
};

/** Dependencies of the client. */
export type RelayClientOptions = {
	readonly clock: Clock;
	readonly links: HostLinkPort;
	readonly writeEvent: WriteEvent;
};

/** Time after which a relay that does not respond is pinged again, in milliseconds; it doubles with each failure up to the maximum. */
const BACKOFF_MS = 1000;
const MAX_BACKOFF_MS = 4000;
/** The same for a relay whose machine has closed or refused the link, because its process restarts. */
const CLOSED_BACKOFF_MS = 250;
/** Time for which a link that is no longer used for new work stays open, so that the work on it can end, in milliseconds. */
const RETIREMENT_MS = 4000;

/** A relay that has failed: how often in a row, when it is pinged, and whether a ping is under way. */
type FailedRelay = {readonly failures: number; readonly retryAt: Instant; isPinged: boolean};

/** Creates the client; links are opened on first use. */
export function createRelayClient({clock, links, writeEvent}: RelayClientOptions): RelayClient {
	const linksByHost = new Map<string, RelayLink>();
	/** Relays that have failed and have not answered since. */
	const failedRelays = new Map<string, FailedRelay>();
	const {exchange, checkLink} = createRelayStepExchange(clock, closeLink);

	function recordFailure(host: string, backoffMs: number): void {
		const failures = (failedRelays.get(host)?.failures ?? 0) + 1;
		failedRelays.set(host, {failures, isPinged: false, retryAt: clock.readNow() + Math.min(MAX_BACKOFF_MS, backoffMs * (2 ** (failures - 1)))});
	}

	/** Pings a failed relay, so that no statement has to find out whether it responds again. */
	async function checkFailedRelay(relay: HostRecord, failed: FailedRelay): Promise<void> {
		failed.isPinged = true;
		const relayLink = findLink(relay);
		// The response, or any other message, removes the relay from the failed ones.
		if (!await checkLiveness(clock, relayLink, Number.POSITIVE_INFINITY)) {
			closeLink(relayLink, 'silent');
		}
	}

	function closeLink(relayLink: RelayLink, reason: string): void {
		if (relayLink.isClosed) {
			return;
		}

		relayLink.isClosed = true;
		if (linksByHost.get(relayLink.relay.host) === relayLink) {
			linksByHost.delete(relayLink.relay.host);
			recordFailure(relayLink.relay.host, reason === 'closed' ? CLOSED_BACKOFF_MS : BACKOFF_MS);
		}

		writeEvent('relay_lost', {relay: relayLink.relay.host, reason, waiting: relayLink.waiting.size});
		relayLink.link.destroy();
		[...relayLink.waiting.values()].forEach(({reject}) => {
			reject(createUpstreamError(`lost the link to the relay: ${reason}`, 'relay', true));
		});
	}

	function handleText(relayLink: RelayLink, text: string): void {
		relayLink.lastReceivedAt = clock.readNow();
		failedRelays.delete(relayLink.relay.host);
		const message = parseRelayMessage(text);
		if (message && 'sentAt' in message) {
			relayLink.relayClocks = appendRelayClock(relayLink.relayClocks, {toldAt: message.sentAt, receivedAt: relayLink.lastReceivedAt});
		}

		switch (message?.kind) {
			case 'end': {
				relayLink.waiting.get(message.loan)?.resolve(message.end);
				break;
			}

			case 'failure': {
				if (message.failure === 'expired') {
					// The relay may have been suspended, and what it said of its clock before is void.
					relayLink.relayClocks = relayLink.relayClocks.slice(-1);
				}

				if (message.failure === 'relay') {
					recordFailure(relayLink.relay.host, BACKOFF_MS);
				}

				relayLink.waiting.get(message.loan)?.reject(message.failure === 'overloaded' ? createOverloadError(message.retryAfterMs ?? 0) : createUpstreamError(message.reason, message.failure satisfies UpstreamFailure, message.wasSent));
				break;
			}

			case 'pong': {
				[...relayLink.pongListeners].forEach(listener => {
					listener();
				});
				break;
			}

			default: {
				closeLink(relayLink, 'unreadable');
				break;
			}
		}
	}

	/**
	 * Stops using a link for new work. The link may have been opened to the new incarnation of the relay before this host
	 * learned of the restart, so the work on it goes on; a link to the old incarnation is closed by its peer or by a ping.
	 */
	function stopUsingLink(relayLink: RelayLink): void {
		linksByHost.delete(relayLink.relay.host);
		const stopTimer = clock.registerTimer(clock.readNow() + RETIREMENT_MS, () => {
			closeLink(relayLink, 'relay restarted');
		});
		relayLink.link.registerCloseListener(stopTimer);
	}

	function findLink(relay: HostRecord): RelayLink {
		const known = linksByHost.get(relay.host);
		if (known?.relay.incarnation === relay.incarnation) {
			return known;
		}

		if (known) {
			stopUsingLink(known);
		}

		const relayLink: RelayLink = {
			relay, link: links.connect(relay.address, relay.port), waiting: new Map(), pongListeners: new Set(), loans: 0, lastReceivedAt: Number.NEGATIVE_INFINITY, relayClocks: [], isClosed: false,
		};
		linksByHost.set(relay.host, relayLink);
		relayLink.link.registerListener(text => {
			handleText(relayLink, text);
		});
		relayLink.link.registerCloseListener(() => {
			closeLink(relayLink, 'closed');
		});
		return relayLink;
	}

	return {
		createHandle(relay, database, request) {
			const relayLink = findLink(relay);
			relayLink.loans++;
			return createRelayedConnection({
				database, request, loan: relayLink.loans, clock,
				async exchange(message, step) {
					await checkLink(relayLink, step);
					return exchange(relayLink, message, step.deadline);
				},
				send(message) {
					if (!relayLink.isClosed) {
						relayLink.link.send(formatRelayMessage(message));
					}
				},
			});
		},
		isBackingOff(relay) {
			const failed = failedRelays.get(relay.host);
			if (failed && !failed.isPinged && clock.readNow() >= failed.retryAt) {
				void checkFailedRelay(relay, failed);
			}

			return failedRelays.has(relay.host);
		},
		destroy() {
			[...linksByHost.values()].forEach(relayLink => {
				closeLink(relayLink, 'stopping');
			});
		},
	};
}
