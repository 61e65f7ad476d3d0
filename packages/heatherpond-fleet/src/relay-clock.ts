/** Converts deadlines to the clock of a relay, which it tells with its messages. */
import type {Deadline, Instant} from 'heatherpond-core';
import type {EncodedStep} from './relay-messages.js';

/** What a relay said of its clock, and when that arrived here. */
export type RelayClock = {readonly toldAt: Instant; readonly receivedAt: Instant};

/** Number of the last times at which a relay told its clock that are remembered. */
const MAX_RELAY_CLOCKS = 8;

/** Appends what a relay has just said of its clock; the oldest is forgotten when there are too many. */
export function appendRelayClock(relayClocks: readonly RelayClock[], told: RelayClock): readonly RelayClock[] {
	return [...relayClocks.slice(1 - MAX_RELAY_CLOCKS), told];
}

/**
 * Converts a deadline to the clock of the relay. What it told was true when it arrived here, or some time before; what was on its
 * way for the shortest time gives the deadline that is least too early. Nothing when the relay has not told its clock.
 */
export function convertDeadline(relayClocks: readonly RelayClock[], deadline: Deadline): EncodedStep['relayDeadline'] {
	const [first, ...others] = relayClocks;
	if (!first) {
		return undefined;
	}

	const {toldAt, receivedAt} = others.reduce((best, next) => next.toldAt - next.receivedAt > best.toldAt - best.receivedAt ? next : best, first);
	return {toldAt, deadline: Math.floor(toldAt + (deadline - receivedAt))};
}
