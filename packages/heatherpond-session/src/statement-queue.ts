/** Queue of one host in front of one database: bounds the statements that run there at once, and lets the others wait in order. */
import type {Clock, Deadline} from 'heatherpond-core';
import {
	computeRetryAfter, computeCompletion, findHopeless, findLastQueued, findUnservable, PACE_WINDOW_MS, readRunDeadline, readShareTag, selectNextQueued, type DatabaseLoad, type QueuedStatement, type StartedStatement,
} from './queue-decisions.js';
import {createOverloadError, createUpstreamError} from './session-error.js';

/** Queue of one database. */
export type StatementQueue = {
	/**
	 * Waits until the statement may be sent; resolves to the function that ends it.
	 *
	 * @throws UpstreamError with `overloaded` when it cannot be run before its deadline, and with `cancelled` when its wait is cancelled
	 */
	readonly acquire: (statement: QueuedStatement, signal: AbortSignal) => Promise<EndStatement>;
	readonly countRunning: () => number;
	readonly countWaiting: () => number;
	/** Refuses the waiting statements that cannot have been run in time; called when the host begins to stop. */
	readonly refuseUnservable: () => void;
	/** Reads the expected time of one statement, in milliseconds. */
	readonly readStatementMs: () => number;
};

/** Ends a statement; `wasRun` tells whether the time it took is that of a statement. */
export type EndStatement = (wasRun: boolean) => void;

/** Dependencies of a queue. */
export type StatementQueueOptions = {
	readonly clock: Clock;
	readonly random: () => number;
	/** Reads how many statements this host may have running on the database at present. */
	readonly readLimit: () => number;
	/** Reads when this host starts no more statements; infinite as long as it does not stop. */
	readonly readWorkEnd: () => Deadline;
};

type Waiter = QueuedStatement & {readonly start: () => void; readonly refuse: (error: Error) => void};

/** Expected time of a statement before any has been measured, in milliseconds, and the weight of a new sample. */
const INITIAL_STATEMENT_MS = 5;
const SAMPLE_WEIGHT = 0.1;
/** Number of waiting statements up to which nothing is refused: an estimate over a few is mostly chance. */
const MIN_REFUSAL_DEPTH = 4;
/** Number of starts that are remembered. */
const MAX_RECENT_STARTS = 200;

function createCancellationError(): Error {
	return createUpstreamError('the wait for the database was cancelled', 'cancelled', false);
}

/** Creates an empty queue. */
export function createStatementQueue({clock, random, readLimit, readWorkEnd}: StatementQueueOptions): StatementQueue {
	let waiting: readonly Waiter[] = [];
	let running = 0;
	let statementMs = INITIAL_STATEMENT_MS;
	let startCount = 0;
	let recentStarts: readonly StartedStatement[] = [];
	const shareTags = new Map<string, number>();
	let lastTag = 0;

	function readLoad(): DatabaseLoad {
		return {
			statementMs, limit: Math.max(1, readLimit()), shareTags, lastTag, workEndsAt: readWorkEnd(), recentStarts: recentStarts.filter(({at}) => at > clock.readNow() - PACE_WINDOW_MS),
		};
	}

	function recordStart({team, priority}: QueuedStatement): void {
		running++;
		startCount++;
		recentStarts = [...recentStarts, {at: clock.readNow(), priority}].slice(-MAX_RECENT_STARTS);
		// Start-time fair queueing: the next statement of the team stands behind this one by the time that this one takes.
		lastTag = readShareTag(team, {shareTags, lastTag});
		shareTags.set(team, lastTag + statementMs);
		removePastTags();
	}

	function createEnd(): EndStatement {
		const startedAt = clock.readNow();
		let hasEnded = false;
		return wasRun => {
			if (hasEnded) {
				return;
			}

			hasEnded = true;
			running--;
			const elapsedMs = clock.readNow() - startedAt;
			if (wasRun) {
				statementMs += (elapsedMs - statementMs) * SAMPLE_WEIGHT;
			}

			startWaiting();
		};
	}

	/** Forgets teams whose last statement is behind all others, so that a team that pauses saves up nothing for a burst. */
	function removePastTags(): void {
		[...shareTags].filter(([team, tag]) => tag < readShareTag(team, {shareTags, lastTag})).forEach(([team]) => {
			shareTags.delete(team);
		});
	}

	function refuseAll(statements: readonly Waiter[], load: DatabaseLoad): void {
		statements.forEach(({refuse}) => {
			refuse(createOverloadError(computeRetryAfter(waiting, load, random)));
		});
	}

	function startWaiting(): void {
		const now = clock.readNow();
		const load = readLoad();
		refuseAll(findHopeless(waiting, now, load), load);
		while (running < load.limit) {
			const next = selectNextQueued(waiting, now, readLoad(), startCount);
			if (!next) {
				return;
			}

			next.start();
		}
	}

	function hasRoom(statement: QueuedStatement): boolean {
		return statement.isContinuation || waiting.length < MIN_REFUSAL_DEPTH || computeCompletion(statement, waiting, clock.readNow(), readLoad()) <= readRunDeadline(statement, readLoad());
	}

	/** Refuses a new statement that cannot be run in time, or the one that no longer can be because of it. */
	function checkRoom(statement: QueuedStatement): void {
		const load = readLoad();
		if (!hasRoom(statement)) {
			throw createOverloadError(computeRetryAfter(waiting, load, random));
		}

		const last = findLastQueued(waiting, clock.readNow(), load);
		if (last && !hasRoom(last)) {
			last.refuse(createOverloadError(computeRetryAfter(waiting, load, random)));
		}
	}

	async function waitForTurn(statement: QueuedStatement, signal: AbortSignal): Promise<EndStatement> {
		return new Promise<EndStatement>((resolve, reject) => {
			function stopWaiting(): void {
				waiting = waiting.filter(other => other !== waiter);
				stopTimer();
				signal.removeEventListener('abort', handleAbort);
			}

			const waiter: Waiter = {
				...statement,
				start() {
					stopWaiting();
					recordStart(statement);
					resolve(createEnd());
				},
				refuse(error) {
					stopWaiting();
					reject(error);
				},
			};
			const stopTimer = clock.registerTimer(statement.deadline, () => {
				waiter.refuse(createOverloadError(computeRetryAfter(waiting, readLoad(), random)));
			});
			function handleAbort(): void {
				waiter.refuse(createCancellationError());
			}

			signal.addEventListener('abort', handleAbort, {once: true});
			waiting = [...waiting, waiter];
		});
	}

	return {
		async acquire(statement, signal) {
			if (signal.aborted) {
				throw createCancellationError();
			}

			if (running < readLoad().limit && waiting.length === 0) {
				recordStart(statement);
				return createEnd();
			}

			checkRoom(statement);
			const turn = waitForTurn(statement, signal);
			startWaiting();
			return turn;
		},
		countRunning: () => running,
		countWaiting: () => waiting.length,
		refuseUnservable() {
			const load = readLoad();
			refuseAll(findUnservable(waiting, clock.readNow(), load), load);
		},
		readStatementMs: () => statementMs,
	};
}
