/** What metrics are told of a statement. */
import type {SessionReply} from './session-reply.js';
import type {StatementObservation} from './session-services.js';
import type {SessionClient} from './transaction-run.js';

/** Creates the observation of a statement that was replied to after so many milliseconds. */
export function createObservation({database}: SessionClient, reply: SessionReply, elapsedMs: number): StatementObservation {
	switch (reply.kind) {
		case 'answer': {
			return {
				route: database, outcome: reply.isError ? 'failed' : 'served', database: reply.database, elapsedMs,
			};
		}

		case 'done': {
			return {route: database, outcome: 'done', elapsedMs};
		}

		case 'refused': {
			return {route: database, outcome: reply.refusal.code, elapsedMs};
		}
	}
}
