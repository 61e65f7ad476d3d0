/** Sends statements through connections that other hosts hold. */
import type {Clock, Deadline, Instant} from 'heatherpond-core';
import {
	createUpstreamError, type Loan, type LoanRequest, type StepEnd, type UpstreamFailure, type WorkStep, type WriteEvent,
} from 'heatherpond-session';
import type {HostRecord} from './fleet-records.js';
import type {HostLink, HostLinkPort} from './host-links.js';
import {formatRelayMessage, parseRelayMessage} from './relay-messages.js';
import {createRelayedConnection, type StepMessage} from './relayed-connection.js';

/** The relaying of one host's statements. */
export type RelayClient = {
	/** Creates a loan of a connection that another host holds; the first step asks for it. */
	readonly createHandle: (relay: HostRecord, database: string, request: LoanRequest) => Loan;
	/** Whether a host has lately failed to answer. */
	readonly isBackingOff: (host: string) => boolean;
	readonly destroy: () => void;
};

/** What it needs. */
export type RelayClientOptions = {
	readonly clock: Clock;
	readonly links: HostLinkPort;
	readonly writeEvent: WriteEvent;
};

/** Milliseconds for which a host that did not answer is left alone. */
const BACKOFF_MS = 1000;
/** Milliseconds without any answer after which a host is asked for a sign of life, and within which that must come. */
const PING_AFTER_MS = 150;
const PING_TIMEOUT_MS = 250;
/** Milliseconds of idleness after which a link may have gone silent unnoticed. */
const MAX_UNCHECKED_IDLE_MS = 500;
/** Milliseconds beyond the deadline of a step for which its answer is waited for. */
const DEADLINE_GRACE_MS = 60;

/** A step that is waited for. */
type PendingStep = {readonly resolve: (end: StepEnd) => void; readonly reject: (error: Error) => void};

/** A link to another host and the loans on it. */
type RelayLink = {
	readonly relay: HostRecord;
	readonly link: HostLink;
	readonly pendingSteps: Map<number, PendingStep>;
	readonly pongListeners: Set<() => void>;
	loans: number;
	lastReceivedAt: Instant;
	isClosed: boolean;
};

/** Creates the client. */
export function createRelayClient({clock, links, writeEvent}: RelayClientOptions): RelayClient {
	const linksByHost = new Map<string, RelayLink>();
	const backoffUntil = new Map<string, Instant>();

	function closeLink(relayLink: RelayLink, reason: string): void {
		if (relayLink.isClosed) {
			return;
		}

		relayLink.isClosed = true;
		linksByHost.delete(relayLink.relay.host);
		backoffUntil.set(relayLink.relay.host, clock.readNow() + BACKOFF_MS);
		writeEvent('relay_lost', {relay: relayLink.relay.host, reason, waiting: relayLink.pendingSteps.size});
		relayLink.link.destroy();
		[...relayLink.pendingSteps.values()].forEach(({reject}) => {
			reject(createUpstreamError(`the host that holds the connection is gone: ${reason}`, 'relay', true));
		});
	}

	function handleText(relayLink: RelayLink, text: string): void {
		relayLink.lastReceivedAt = clock.readNow();
		backoffUntil.delete(relayLink.relay.host);
		const message = parseRelayMessage(text);
		switch (message?.kind) {
			case 'end': {
				relayLink.pendingSteps.get(message.loan)?.resolve(message.end);
				break;
			}

			case 'failure': {
				if (message.failure === 'relay') {
					backoffUntil.set(relayLink.relay.host, clock.readNow() + BACKOFF_MS);
				}

				relayLink.pendingSteps.get(message.loan)?.reject(createUpstreamError(message.reason, message.failure satisfies UpstreamFailure, message.wasSent));
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

	function findLink(relay: HostRecord): RelayLink {
		const known = linksByHost.get(relay.host);
		if (known?.relay.incarnation === relay.incarnation) {
			return known;
		}

		if (known) {
			closeLink(known, 'another run of the host');
		}

		const relayLink: RelayLink = {
			relay, link: links.connect(relay.address, relay.port), pendingSteps: new Map(), pongListeners: new Set(), loans: 0, lastReceivedAt: Number.NEGATIVE_INFINITY, isClosed: false,
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

	/** Asks for a sign of life; resolves to whether there was one in time. */
	async function checkLiveness(relayLink: RelayLink, deadline: Deadline): Promise<boolean> {
		return new Promise<boolean>(resolve => {
			function end(isAlive: boolean): void {
				stopTimer();
				relayLink.pongListeners.delete(handlePong);
				resolve(isAlive);
			}

			function handlePong(): void {
				end(true);
			}

			const stopTimer = clock.registerTimer(Math.min(deadline, clock.readNow() + PING_TIMEOUT_MS), () => {
				end(false);
			});
			relayLink.pongListeners.add(handlePong);
			relayLink.link.send(formatRelayMessage({kind: 'ping'}));
		});
	}

	async function exchange(relayLink: RelayLink, message: StepMessage, deadline: Deadline): Promise<StepEnd> {
		const {loan} = message;
		const sentAt = clock.readNow();
		const stopTimers = [
			clock.registerTimer(deadline + DEADLINE_GRACE_MS, () => {
				relayLink.pendingSteps.get(loan)?.reject(createUpstreamError('no answer has come in time', 'silent', true));
			}),
			clock.registerTimer(sentAt + PING_AFTER_MS, () => {
				// What takes long at the database is told from a host that is gone.
				void closeUnresponsiveLink(relayLink, sentAt);
			}),
		];
		try {
			return await new Promise<StepEnd>((resolve, reject) => {
				relayLink.pendingSteps.set(loan, {resolve, reject});
				relayLink.link.send(formatRelayMessage(message));
			});
		} finally {
			stopTimers.forEach(stop => {
				stop();
			});
			relayLink.pendingSteps.delete(loan);
		}
	}

	async function closeUnresponsiveLink(relayLink: RelayLink, sentAt: Instant): Promise<void> {
		if (relayLink.isClosed || relayLink.lastReceivedAt >= sentAt) {
			return;
		}

		const isAlive = await checkLiveness(relayLink, Number.POSITIVE_INFINITY);
		if (!isAlive) {
			closeLink(relayLink, 'silent');
		}
	}

	async function checkLink(relayLink: RelayLink, step: WorkStep): Promise<void> {
		const isTrusted = clock.readNow() - relayLink.lastReceivedAt <= MAX_UNCHECKED_IDLE_MS;
		if (step.isSentOnce && !isTrusted && !await checkLiveness(relayLink, step.deadline)) {
			closeLink(relayLink, 'silent');
		}

		if (relayLink.isClosed) {
			throw createUpstreamError('the host that holds the connection cannot be reached', 'relay', false);
		}
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
		isBackingOff: host => (backoffUntil.get(host) ?? Number.NEGATIVE_INFINITY) > clock.readNow(),
		destroy() {
			[...linksByHost.values()].forEach(relayLink => {
				closeLink(relayLink, 'stopping');
			});
		},
	};
}
