/** Handle of a connection whose statements take their turns in the queue of the database. */
import type {Clock} from 'heatherpond-core';
import type {
	ConnectionHandle, ConnectionRequest, ConnectionStep, StepResult,
} from './connection-handle.js';
import type {QueuedStatement} from './queue-decisions.js';
import type {EndStatement, StatementQueue} from './statement-queue.js';

/** Options of a queued handle. */
export type QueuedHandleOptions = {
	readonly clock: Clock;
	readonly queue: StatementQueue;
	readonly request: ConnectionRequest;
	/** Acquires the connection, once the statement has its turn. */
	readonly acquire: () => Promise<ConnectionHandle>;
};

/**
 * Waits for the turn of a request's first statement, and acquires its connection then. Each further statement waits for a turn
 * of its own, before statements that do not continue a transaction.
 *
 * @throws UpstreamError when the statement cannot be run in time, or no connection can be acquired
 */
export async function acquireQueuedHandle({clock, queue, request, acquire}: QueuedHandleOptions): Promise<ConnectionHandle> {
	function createQueued(step?: ConnectionStep): QueuedStatement {
		const deadline = step?.deadline ?? request.deadline;
		return {
			team: request.team, priority: request.priority, enqueuedAt: clock.readNow(), objective: request.objective ?? deadline, deadline, isContinuation: step !== undefined,
		};
	}

	let endFirst: EndStatement | undefined = await queue.acquire(createQueued(), request.signal);
	function endUnused(): void {
		endFirst?.(false);
		endFirst = undefined;
	}

	async function startStep(step: ConnectionStep): Promise<EndStatement> {
		const end = endFirst ?? await queue.acquire(createQueued(step), request.signal);
		endFirst = undefined;
		return end;
	}

	try {
		const handle = await acquire();
		return {
			...handle,
			async run(step) {
				const end = await startStep(step);
				let result: StepResult | undefined;
				try {
					result = await handle.run(step);
					return result;
				} finally {
					end(result?.kind === 'answered');
				}
			},
			release() {
				endUnused();
				handle.release();
			},
		};
	} catch (error) {
		endUnused();
		throw error;
	}
}
