/** Handle of a connection that a relay has open. */
import type {Clock} from 'heatherpond-core';
import type {
	ConnectionHandle, ConnectionRequest, StepResult, ConnectionStep,
} from 'heatherpond-session';
import {encodeStep, type RelayMessage} from './relay-messages.js';

/** A message that runs a step on the relay. */
export type StepMessage = Extract<RelayMessage, {readonly kind: 'first-step' | 'step'}>;

/** Parameters of a handle. */
export type RelayedConnectionOptions = {
	readonly database: string;
	readonly request: ConnectionRequest;
	/** Id of the handle on its link. */
	readonly loan: number;
	readonly clock: Clock;
	/** Sends a step to the relay and waits for its result. */
	readonly exchange: (message: StepMessage, step: ConnectionStep) => Promise<StepResult>;
	/** Sends a message that has no response. */
	readonly send: (message: RelayMessage) => void;
};

/** Creates a handle. The relay acquires the connection on the first step, and releases it when the handle ends. */
export function createRelayedConnection({database, request: {team, priority, variables}, loan, clock, exchange, send}: RelayedConnectionOptions): ConnectionHandle {
	let phase: 'new' | 'open' | 'ended' = 'new';

	function createMessage(step: ConnectionStep): StepMessage {
		const encoded = encodeStep(step, clock);
		return phase === 'new'
			? {
				kind: 'first-step', loan, database, team, priority, variables: new Map(variables), step: encoded,
			}
			: {kind: 'step', loan, step: encoded};
	}

	return {
		database,
		team,
		async run(step) {
			const message = createMessage(step);
			phase = 'open';
			try {
				const end = await exchange(message, step);
				if (end.kind !== 'prepared' && step.isLast && end.answer.state === 'idle') {
					phase = 'ended';
				}

				return end;
			} catch (error) {
				// Nobody awaits the result any more, so the relay drops the connection.
				send({kind: 'release', loan, isClean: false});
				phase = 'ended';
				throw error;
			}
		},
		release(isClean) {
			if (phase === 'open') {
				send({kind: 'release', loan, isClean});
			}

			phase = 'ended';
		},
		async rollBack(deadline) {
			if (phase === 'open') {
				send({kind: 'roll-back', loan, remainingMs: deadline - clock.readNow()});
			}

			phase = 'ended';
		},
	};
}
