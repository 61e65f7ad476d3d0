/** A loan of a connection that another host holds. */
import type {Clock} from 'heatherpond-core';
import type {
	Loan, LoanRequest, StepEnd, WorkStep,
} from 'heatherpond-session';
import {encodeStep, type RelayMessage} from './relay-messages.js';

/** A message that runs a step. */
export type StepMessage = Extract<RelayMessage, {readonly kind: 'first-step' | 'step'}>;

/** What a loan is made of. */
export type RelayedConnectionOptions = {
	readonly database: string;
	readonly request: LoanRequest;
	readonly loan: number;
	readonly clock: Clock;
	readonly exchange: (message: StepMessage, step: WorkStep) => Promise<StepEnd>;
	readonly send: (message: RelayMessage) => void;
};

/** Creates a loan whose connection another host holds; it exists there from its first step to its end. */
export function createRelayedConnection({database, request: {team, priority, variables}, loan, clock, exchange, send}: RelayedConnectionOptions): Loan {
	let state: 'new' | 'open' | 'ended' = 'new';

	function createMessage(step: WorkStep): StepMessage {
		const encoded = encodeStep(step, clock);
		return state === 'new'
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
			state = 'open';
			try {
				const end = await exchange(message, step);
				if (end.kind !== 'prepared' && step.isLast && end.answer.state === 'idle') {
					state = 'ended';
				}

				return end;
			} catch (error) {
				// Whatever is still at work there is for nobody.
				send({kind: 'release', loan, isClean: false});
				state = 'ended';
				throw error;
			}
		},
		release(isClean) {
			if (state === 'open') {
				send({kind: 'release', loan, isClean});
			}

			state = 'ended';
		},
		async rollBack(deadline) {
			if (state === 'open') {
				send({kind: 'roll-back', loan, remainingMs: deadline - clock.readNow()});
			}

			state = 'ended';
		},
	};
}
