/** Sends steps to relays and waits for their results; a link that does not respond meanwhile is closed. */
import type {Clock, Deadline, Instant} from 'heatherpond-core';
import {
	createExpiredError, createUpstreamError, type ConnectionStep, type StepResult,
} from 'heatherpond-session';
import {MAX_LINK_TEXT_LENGTH} from './host-links.js';
import {convertDeadline} from './relay-clock.js';
import type {RelayLink} from './relay-link.js';
import {checkLiveness} from './relay-liveness.js';
import {formatRelayMessage} from './relay-messages.js';
import type {StepMessage} from './relayed-connection.js';

/** Exchange of steps for their results. */
export type RelayStepExchange = {
	/**
	 * Sends a step and resolves to its result.
	 *
	 * @throws the error with which the relay or the link failed, an expired error after the deadline, or an upstream error
	 * `unsendable` when the step is too long
	 */
	readonly exchange: (relayLink: RelayLink, message: StepMessage, deadline: Deadline) => Promise<StepResult>;
	/**
	 * Checks that a link can take a step; one that must not be sent twice is sent only to a relay that has responded recently.
	 *
	 * @throws upstream error `relay` when the link is closed
	 */
	readonly checkLink: (relayLink: RelayLink, step: ConnectionStep) => Promise<void>;
};

/** Time without a response after which a relay is pinged, in milliseconds. */
const PING_AFTER_MS = 150;
/** Time since the last message from a relay after which its link is pinged before a non-repeatable step is sent, in milliseconds. */
const MAX_UNCHECKED_IDLE_MS = 500;
/** Time beyond the deadline of a step for which its response is awaited, in milliseconds. */
const DEADLINE_GRACE_MS = 60;

/** Creates the exchange; `closeLink` ends a link and all steps on it. */
export function createRelayStepExchange(clock: Clock, closeLink: (relayLink: RelayLink, reason: string) => void): RelayStepExchange {
	async function exchange(relayLink: RelayLink, message: StepMessage, deadline: Deadline): Promise<StepResult> {
		const {loan} = message;
		const sentAt = clock.readNow();
		if (sentAt >= deadline) {
			throw createExpiredError();
		}

		message.step.relayDeadline = convertDeadline(relayLink.relayClocks, deadline);
		const text = formatRelayMessage(message);
		if (text.length > MAX_LINK_TEXT_LENGTH) {
			throw createUpstreamError('the step is longer than what a link carries', 'unsendable', false);
		}

		const stopTimers = [
			clock.registerTimer(deadline + DEADLINE_GRACE_MS, () => {
				relayLink.waiting.get(loan)?.reject(createUpstreamError('relay did not respond within the deadline of the step', 'silent', true));
			}),
			clock.registerTimer(sentAt + PING_AFTER_MS, () => {
				// A ping tells a slow database from an unreachable relay.
				void closeUnresponsiveLink(relayLink, sentAt);
			}),
		];
		try {
			return await new Promise<StepResult>((resolve, reject) => {
				relayLink.waiting.set(loan, {resolve, reject});
				relayLink.link.send(text);
			});
		} finally {
			stopTimers.forEach(stop => {
				stop();
			});
			relayLink.waiting.delete(loan);
		}
	}

	async function closeUnresponsiveLink(relayLink: RelayLink, sentAt: Instant): Promise<void> {
		if (relayLink.isClosed || relayLink.lastReceivedAt >= sentAt) {
			return;
		}

		const isAlive = await checkLiveness(clock, relayLink, Number.POSITIVE_INFINITY);
		if (!isAlive) {
			closeLink(relayLink, 'silent');
		}
	}

	async function checkLink(relayLink: RelayLink, step: ConnectionStep): Promise<void> {
		const isTrusted = clock.readNow() - relayLink.lastReceivedAt <= MAX_UNCHECKED_IDLE_MS;
		if (step.isSentOnce && !isTrusted && !await checkLiveness(clock, relayLink, step.deadline)) {
			closeLink(relayLink, 'silent');
		}

		if (relayLink.isClosed) {
			throw createUpstreamError('relay is unreachable', 'relay', false);
		}
	}

	return {exchange, checkLink};
}
