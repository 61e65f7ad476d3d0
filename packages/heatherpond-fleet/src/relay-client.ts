/** Sends statements through connections that other hosts hold. */
import type {Clock, Deadline, Instant} from 'heatherpond-core';
import {
	createUpstreamError, type Loan, type LoanRequest, type StepEnd, type UpstreamFailure, type WorkStep, type WriteEvent,
} from 'heatherpond-session';
import type {HostRecord} from './fleet-records.js';
import type {HostLink, HostLinkPort} from './host-links.js';
import {formatRelayMessage, parseRelayMessage} from './relay-messages.js';
import {createRelayedLoan, type StepMessage} from './relayed-loan.js';

/** The relaying of one host's statements. */
export type RelayClient = {
	/** Creates a loan of a connection that another host holds; the first step asks for it. */
	readonly createLoan: (relay: HostRecord, database: string, request: LoanRequest) => Loan;
	/** Whether a host has lately failed to answer. */
	readonly isAvoided: (host: string) => boolean;
	readonly destroy: () => void;
};

/** What it needs. */
export type RelayClientOptions = {
	readonly clock: Clock;
	readonly links: HostLinkPort;
	readonly writeEvent: WriteEvent;
};

/** Milliseconds for which a host that did not answer is left alone. */
const AVOID_MS = 1000;
/** Milliseconds without any answer after which a host is asked for a sign of life, and within which that must come. */
const QUIET_MS = 150;
const PING_TIMEOUT_MS = 250;
/** Milliseconds of idleness after which a link may have gone silent unnoticed. */
const TRUSTED_IDLE_MS = 500;
/** Milliseconds beyond the deadline of a step for which its answer is waited for. */
const DEADLINE_SLACK_MS = 60;

/** A step that is waited for. */
type Waiting = {readonly resolve: (end: StepEnd) => void; readonly reject: (error: Error) => void};

/** A link to another host and the loans on it. */
type Line = {
	readonly relay: HostRecord;
	readonly link: HostLink;
	readonly waiting: Map<number, Waiting>;
	readonly pongListeners: Set<() => void>;
	loans: number;
	heardAt: Instant;
	isClosed: boolean;
};

/** Creates the client. */
export function createRelayClient({clock, links, writeEvent}: RelayClientOptions): RelayClient {
	const lines = new Map<string, Line>();
	const avoidedUntil = new Map<string, Instant>();

	function closeLine(line: Line, reason: string): void {
		if (line.isClosed) {
			return;
		}

		line.isClosed = true;
		lines.delete(line.relay.host);
		avoidedUntil.set(line.relay.host, clock.readNow() + AVOID_MS);
		writeEvent('relay_lost', {relay: line.relay.host, reason, waiting: line.waiting.size});
		line.link.destroy();
		[...line.waiting.values()].forEach(({reject}) => {
			reject(createUpstreamError(`the host that holds the connection is gone: ${reason}`, 'relay', true));
		});
	}

	function handleText(line: Line, text: string): void {
		line.heardAt = clock.readNow();
		avoidedUntil.delete(line.relay.host);
		const message = parseRelayMessage(text);
		switch (message?.kind) {
			case 'end': {
				line.waiting.get(message.loan)?.resolve(message.end);
				break;
			}

			case 'failure': {
				if (message.failure === 'relay') {
					avoidedUntil.set(line.relay.host, clock.readNow() + AVOID_MS);
				}

				line.waiting.get(message.loan)?.reject(createUpstreamError(message.reason, message.failure satisfies UpstreamFailure, message.wasSent));
				break;
			}

			case 'pong': {
				[...line.pongListeners].forEach(listener => {
					listener();
				});
				break;
			}

			default: {
				closeLine(line, 'unreadable');
				break;
			}
		}
	}

	function findLine(relay: HostRecord): Line {
		const known = lines.get(relay.host);
		if (known?.relay.incarnation === relay.incarnation) {
			return known;
		}

		if (known) {
			closeLine(known, 'another run of the host');
		}

		const line: Line = {
			relay, link: links.connect(relay.address, relay.port), waiting: new Map(), pongListeners: new Set(), loans: 0, heardAt: Number.NEGATIVE_INFINITY, isClosed: false,
		};
		lines.set(relay.host, line);
		line.link.registerListener(text => {
			handleText(line, text);
		});
		line.link.registerCloseListener(() => {
			closeLine(line, 'closed');
		});
		return line;
	}

	/** Asks for a sign of life; resolves to whether there was one in time. */
	async function checkLine(line: Line, deadline: Deadline): Promise<boolean> {
		return new Promise<boolean>(resolve => {
			function end(isAlive: boolean): void {
				stopTimer();
				line.pongListeners.delete(handlePong);
				resolve(isAlive);
			}

			function handlePong(): void {
				end(true);
			}

			const stopTimer = clock.registerTimer(Math.min(deadline, clock.readNow() + PING_TIMEOUT_MS), () => {
				end(false);
			});
			line.pongListeners.add(handlePong);
			line.link.send(formatRelayMessage({kind: 'ping'}));
		});
	}

	async function exchange(line: Line, message: StepMessage, deadline: Deadline): Promise<StepEnd> {
		const {loan} = message;
		const sentAt = clock.readNow();
		const stopTimers = [
			clock.registerTimer(deadline + DEADLINE_SLACK_MS, () => {
				line.waiting.get(loan)?.reject(createUpstreamError('no answer has come in time', 'silent', true));
			}),
			clock.registerTimer(sentAt + QUIET_MS, () => {
				// What takes long at the database is told from a host that is gone.
				void checkSilence(line, sentAt);
			}),
		];
		try {
			return await new Promise<StepEnd>((resolve, reject) => {
				line.waiting.set(loan, {resolve, reject});
				line.link.send(formatRelayMessage(message));
			});
		} finally {
			stopTimers.forEach(stop => {
				stop();
			});
			line.waiting.delete(loan);
		}
	}

	async function checkSilence(line: Line, sentAt: Instant): Promise<void> {
		if (line.isClosed || line.heardAt >= sentAt) {
			return;
		}

		const isAlive = await checkLine(line, Number.POSITIVE_INFINITY);
		if (!isAlive) {
			closeLine(line, 'silent');
		}
	}

	async function checkBeforeSending(line: Line, step: WorkStep): Promise<void> {
		const isTrusted = clock.readNow() - line.heardAt <= TRUSTED_IDLE_MS;
		if (step.isSentOnce && !isTrusted && !await checkLine(line, step.deadline)) {
			closeLine(line, 'silent');
		}

		if (line.isClosed) {
			throw createUpstreamError('the host that holds the connection cannot be reached', 'relay', false);
		}
	}

	return {
		createLoan(relay, database, request) {
			const line = findLine(relay);
			line.loans++;
			return createRelayedLoan({
				database, request, loan: line.loans, clock,
				async exchange(message, step) {
					await checkBeforeSending(line, step);
					return exchange(line, message, step.deadline);
				},
				send(message) {
					if (!line.isClosed) {
						line.link.send(formatRelayMessage(message));
					}
				},
			});
		},
		isAvoided: host => (avoidedUntil.get(host) ?? Number.NEGATIVE_INFINITY) > clock.readNow(),
		destroy() {
			[...lines.values()].forEach(line => {
				closeLine(line, 'stopping');
			});
		},
	};
}
