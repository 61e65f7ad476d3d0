/** Handle for a database connection that another host, the relay, holds open for this host. */
import type {Clock} from 'heatherpond-core';
import {
	createReleasedError, type ConnectionHandle, type ConnectionRequest, type StepResult, type ConnectionStep,
} from 'heatherpond-session';
import {encodeStep, type RelayMessage} from './relay-messages.js';

/** A message that runs a step on the relay. */
export type StepMessage = Extract<RelayMessage, {readonly kind: 'first-step' | 'step'}>;

/** Parameters of a handle. */
export type RelayedConnectionOptions = {
	readonly database: string;
	readonly request: ConnectionRequest;
	/** Id of the handle, unique on the link to the relay; messages carry it as `loan`. */
	readonly loan: number;
	readonly clock: Clock;
	/** Sends a step to the relay and waits for its result. */
	readonly exchange: (message: StepMessage, step: ConnectionStep) => Promise<StepResult>;
	/** Sends a message that has no response. */
	readonly send: (message: RelayMessage) => void;
};

/** Creates a handle. The relay acquires the connection on the first step, and releases it when the handle ends. */
export function createRelayedConnection({database, request: {team, priority, variables, objective}, loan, clock, exchange, send}: RelayedConnectionOptions): ConnectionHandle {
	let phase: 'new' | 'open' | 'ended' = 'new';

	function createMessage(step: ConnectionStep): StepMessage {
		const encoded = encodeStep(step, clock);
		return phase === 'new'
			? {
				kind: 'first-step', loan, database, team, priority, variables: new Map(variables), step: encoded,
				objectiveMs: objective === undefined ? undefined : Math.round(objective - clock.readNow()),
			}
			: {kind: 'step', loan, step: encoded};
	}

	function release(): void {
		if (phase === 'open') {
			send({kind: 'release', loan});
		}

		phase = 'ended';
	}

	return {
		database,
		team,
		async run(step) {
			if (phase === 'ended') {
				throw createReleasedError();
			}

			const message = createMessage(step);
			phase = 'open';
			try {
				const result = await exchange(message, step);
				if (result.kind !== 'prepared' && step.isLast && result.answer.state === 'idle') {
					phase = 'ended';
				}

				return result;
			} catch (error) {
				// Nothing waits for the result any more, so the relay must not go on with the step.
				release();
				throw error;
			}
		},
		release,
	};
}
