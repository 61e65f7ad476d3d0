/**
 * Decides which statement a database runs next, and which are refused. The load in mind is a database that gets more statements
 * than it can run: callers who compete for it, bursts, and a team that presses within its rate. What waits inside the database
 * is out of reach of these decisions, so few statements are sent at once and the others wait in a queue of the host.
 */
import type {Deadline, Instant} from 'heatherpond-core';

/** A statement that waits for a database. */
export type QueuedStatement = {
	readonly team: string;
	/** Priority class; 0 is the most urgent. */
	readonly priority: number;
	readonly enqueuedAt: Instant;
	/** When its operation misses its target latency. */
	readonly objective: Deadline;
	/** When nobody waits for it any more. */
	readonly deadline: Deadline;
	/** Whether it continues a transaction, which holds a connection and locks. */
	readonly isContinuation: boolean;
};

/** What the decisions know of a database. */
export type DatabaseLoad = {
	/** Expected time of one statement, in milliseconds. */
	readonly statementMs: number;
	/** Number of statements that this host may have running on it. */
	readonly limit: number;
	/** By team: where its next statement stands in the order of fair shares; teams without recent work are absent. */
	readonly shareTags: ReadonlyMap<string, number>;
	/** The tag of the statement that was started last. */
	readonly lastTag: number;
	/** Starts of the last second: when, and in which priority class. */
	readonly recentStarts: readonly StartedStatement[];
	/** When this host starts no more statements, because it stops; infinite as long as it does not. */
	readonly workEndsAt: Deadline;
};

/** A statement that was started. */
export type StartedStatement = {readonly at: Instant; readonly priority: number};

/** Time over which the pace of a class is measured, in milliseconds, and the number of starts in it from which it is used. */
export const PACE_WINDOW_MS = 1000;
const MIN_PACE_STARTS = 20;

/** Time of the database by which a team that has used less than its share may be ahead of the others, in milliseconds. */
const SHARE_CREDIT_MS = 100;

/** Reads where the next statement of a team stands in the order of fair shares. */
export function readShareTag(team: string, {shareTags, lastTag}: Pick<DatabaseLoad, 'shareTags' | 'lastTag'>): number {
	return Math.max(lastTag - SHARE_CREDIT_MS, shareTags.get(team) ?? Number.NEGATIVE_INFINITY);
}

/**
 * Orders waiting statements; the first one is run next. What has missed its objective comes last: it is still worth something
 * to its caller, but not at the cost of another's objective.
 */
export function compareQueued(left: QueuedStatement, right: QueuedStatement, now: Instant, load: DatabaseLoad): number {
	return Number(right.isContinuation) - Number(left.isContinuation)
		|| Number(isLate(left, now, load)) - Number(isLate(right, now, load))
		|| left.priority - right.priority
		|| readShareTag(left.team, load) - readShareTag(right.team, load)
		|| left.objective - right.objective;
}

/** Whether a statement misses its objective even if it is run now. */
function isLate({objective}: QueuedStatement, now: Instant, {statementMs}: DatabaseLoad): boolean {
	return now + statementMs > objective;
}

/** One start in this many goes to the least urgent class that waits, so that it does not starve. */
const STARTS_PER_LEAST_URGENT = 8;

/** Selects the statement that is run next, as the start with this number; nothing when none waits. */
export function selectNextQueued<Statement extends QueuedStatement>(waiting: readonly Statement[], now: Instant, load: DatabaseLoad, startNumber: number): Statement | undefined {
	const first = findFirst(waiting, now, load);
	if (!first || first.isContinuation || startNumber % STARTS_PER_LEAST_URGENT > 0) {
		return first;
	}

	const leastUrgent = waiting.reduce((most, {priority}) => Math.max(most, priority), first.priority);
	return findFirst(waiting.filter(({priority}) => priority === leastUrgent), now, load);
}

function findFirst<Statement extends QueuedStatement>(waiting: readonly Statement[], now: Instant, load: DatabaseLoad): Statement | undefined {
	return waiting.reduce<Statement | undefined>((first, next) => first && compareQueued(first, next, now, load) <= 0 ? first : next, undefined);
}

/**
 * Computes when a statement would have been run: after those that come before it, and at the pace at which its class and less
 * urgent ones have been started, because more urgent statements that are still to arrive will overtake it.
 */
export function computeCompletion(statement: QueuedStatement, waiting: readonly QueuedStatement[], now: Instant, load: DatabaseLoad): Instant {
	const ahead = waiting.filter(other => other !== statement && compareQueued(other, statement, now, load) <= 0);
	const byQueue = Math.floor(ahead.length / load.limit) * load.statementMs;
	const classStarts = load.recentStarts.filter(({priority}) => priority >= statement.priority).length;
	const byPace = ahead.filter(({priority}) => priority >= statement.priority).length * PACE_WINDOW_MS / Math.max(1, classStarts);
	return now + Math.max(byQueue, load.recentStarts.length < MIN_PACE_STARTS ? 0 : byPace) + load.statementMs;
}

/** Finds the statement that would be run last. */
export function findLastQueued<Statement extends QueuedStatement>(waiting: readonly Statement[], now: Instant, load: DatabaseLoad): Statement | undefined {
	return waiting.reduce<Statement | undefined>((last, next) => last && compareQueued(last, next, now, load) > 0 ? last : next, undefined);
}

/** Reads until when a statement must have been run: its caller gives up, or this host has stopped. */
export function readRunDeadline({deadline}: QueuedStatement, {workEndsAt}: DatabaseLoad): Deadline {
	return Math.min(deadline, workEndsAt);
}

/** Finds the waiting statements whose callers will have given up before they could have been run. */
export function findHopeless<Statement extends QueuedStatement>(waiting: readonly Statement[], now: Instant, load: DatabaseLoad): readonly Statement[] {
	return waiting.filter(statement => !statement.isContinuation && now + load.statementMs > readRunDeadline(statement, load));
}

/**
 * Finds the waiting statements that the database can't have run in time, by their place in the order. The load in mind is a host
 * that stops while more statements wait than it can still run.
 */
export function findUnservable<Statement extends QueuedStatement>(waiting: readonly Statement[], now: Instant, load: DatabaseLoad): readonly Statement[] {
	return waiting
		.toSorted((left, right) => compareQueued(left, right, now, load))
		.filter((statement, index) => !statement.isContinuation && now + ((Math.floor(index / load.limit) + 1) * load.statementMs) > readRunDeadline(statement, load));
}

/** Computes when there is room again, in milliseconds from now, spread so that callers refused together do not return together. */
export function computeRetryAfter(waiting: readonly QueuedStatement[], {limit, statementMs}: DatabaseLoad, random: () => number): number {
	const drainMs = (waiting.length / limit) * statementMs;
	return Math.ceil(drainMs * (0.5 + random()));
}
