/** Finds out whether a relay responds. */
import type {Clock, Deadline} from 'heatherpond-core';
import type {RelayLink} from './relay-link.js';
import {formatRelayMessage} from './relay-messages.js';

/** Time within which a relay must answer a ping, in milliseconds. */
const PING_TIMEOUT_MS = 250;

/** Pings the relay; resolves to whether it responded in time. */
export async function checkLiveness(clock: Clock, relayLink: RelayLink, deadline: Deadline): Promise<boolean> {
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
