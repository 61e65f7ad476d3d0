/**
 * Request gate over token buckets: a request is admitted immediately, queued first-in first-out for a short time, or
 * refused.
 */
import {
	advanceAllotment, RefusalError, readTokenRate, takeTokens, type Clock, type RecordEvent, type RequestGate, type RequestTicket, type Teardown,
} from 'heatherpond-core';
import {countDemand, type AllotmentRegistry, type TeamQuota} from '../controllers/allotment-registry.js';

/** Dependencies of the gate. */
export type AllotmentRequestGateOptions = {
	readonly registry: AllotmentRegistry;
	readonly clock: Clock;
	/** Called when requests of a team have to wait for tokens. */
	readonly handleShortage: (team: string) => void;
	readonly recordEvent: RecordEvent;
	/** Decides whether every possible lender of a team recently had nothing to lend. */
	readonly isExhausted: (team: string) => boolean;
};

/** Request gate that is notified of arriving tokens. */
export type AllotmentRequestGate = RequestGate & {
	/** Admits waiting requests of a team after tokens may have become available. */
	readonly handleTokens: (team: string) => void;
	/** Returns the number of requests of a team that are waiting. */
	readonly countWaiting: (team: string) => number;
};

/** Request that waits for tokens. */
type Waiter = {
	readonly ticket: RequestTicket;
	readonly admit: () => void;
};

/** Waiting requests of one team in order of arrival, with their total cost and size. */
type TeamQueue = {
	readonly waiters: Waiter[];
	cost: number;
	bytes: number;
	stopTimer: Teardown;
};

/** Maximum time that a request waits for tokens. */
const MAX_TOKEN_WAIT_MS = 1000;
/** Maximum number and total size of one team's requests that wait for tokens on this host. */
const MAX_WAITERS = 2000;
const MAX_WAITING_BYTES = 33_554_432;
/** Minimum delay before a queue is checked again. */
const MIN_RECHECK_DELAY_MS = 1;

function insertWaiter(queue: TeamQueue, waiter: Waiter): void {
	queue.waiters.push(waiter);
	queue.cost += waiter.ticket.cost;
	queue.bytes += waiter.ticket.bytes;
}

function removeWaiter(queue: TeamQueue, waiter: Waiter): void {
	const index = queue.waiters.indexOf(waiter);
	if (index !== -1) {
		queue.waiters.splice(index, 1);
		queue.cost -= waiter.ticket.cost;
		queue.bytes -= waiter.ticket.bytes;
	}
}

/** Creates the gate. */
export function createAllotmentRequestGate(options: AllotmentRequestGateOptions): AllotmentRequestGate {
	const {registry, clock} = options;
	const queues = new Map<string, TeamQueue>();

	function findQueue(team: string): TeamQueue {
		const known = queues.get(team) ?? {
			waiters: [], cost: 0, bytes: 0, stopTimer() {
			// No timer has been started yet.
			},
		};
		queues.set(team, known);
		return known;
	}

	function hasTakenTokens(quota: TeamQuota, cost: number): boolean {
		const outcome = takeTokens(quota.allotment, cost, clock.readNow());
		quota.allotment = outcome.allotment;
		return outcome.isTaken;
	}

	/** Admits waiting requests in order of arrival while tokens suffice. */
	function handleTokens(team: string): void {
		const queue = queues.get(team);
		const quota = registry.findQuota(team);
		if (!queue || !quota) {
			return;
		}

		while (queue.waiters[0] && hasTakenTokens(quota, queue.waiters[0].ticket.cost)) {
			const [waiter] = queue.waiters;
			removeWaiter(queue, waiter);
			waiter.admit();
		}

		updateWaiting(quota, queue);
		if (queue.waiters.length > 0) {
			options.handleShortage(team);
		}
	}

	function updateWaiting(quota: TeamQuota, queue: TeamQueue): void {
		quota.waiting = queue.cost;
		queue.stopTimer();
		const [first] = queue.waiters;
		if (first) {
			const rate = readTokenRate(quota.allotment);
			const missing = first.ticket.cost - quota.allotment.tokens;
			const waitMs = rate > 0 ? Math.min(MAX_TOKEN_WAIT_MS, Math.max(MIN_RECHECK_DELAY_MS, missing / rate * 1000)) : MAX_TOKEN_WAIT_MS;
			queue.stopTimer = clock.registerTimer(clock.readNow() + waitMs, () => {
				handleTokens(quota.team);
			});
		}
	}

	/** Estimates the milliseconds until a new request would be admitted. */
	function readExpectedWait(quota: TeamQuota, cost: number): number {
		const {allotment, contract} = quota;
		const ownRate = readTokenRate(allotment);
		const rate = options.isExhausted(quota.team) ? ownRate : contract.rate;
		const missing = Math.max(0, quota.waiting + cost - allotment.tokens);
		return rate > 0 ? missing / rate * 1000 : Number.POSITIVE_INFINITY;
	}

	function checkCapacity(quota: TeamQuota, ticket: RequestTicket): void {
		const queue = findQueue(quota.team);
		const waitMs = readExpectedWait(quota, ticket.cost);
		const allowedMs = Math.min(MAX_TOKEN_WAIT_MS, ticket.deadline - clock.readNow());
		const retryAfterMs = Math.ceil(Math.min(waitMs, (quota.waiting + ticket.cost) / quota.contract.rate * 1000));
		if (waitMs > allowedMs) {
			throw new RefusalError('the team has exceeded its rate and burst', {props: {reason: 'over_rate', retryAfterMs}});
		}

		if (queue.waiters.length >= MAX_WAITERS || queue.bytes + ticket.bytes > MAX_WAITING_BYTES) {
			throw new RefusalError('too many requests of the team are waiting for tokens', {props: {reason: 'queue_full', retryAfterMs}});
		}
	}

	async function waitForTokens(quota: TeamQuota, ticket: RequestTicket): Promise<void> {
		const queue = findQueue(quota.team);
		const deadline = Math.min(ticket.deadline, clock.readNow() + MAX_TOKEN_WAIT_MS);
		await new Promise<void>((resolve, reject) => {
			const waiter: Waiter = {ticket, admit: createSettler(resolve)};
			const stopTimer = clock.registerTimer(deadline, () => {
				handleTokens(quota.team);
				refuseWaiter('over_rate');
			});
			function handleAbort(): void {
				refuseWaiter('queue_deadline');
			}

			/** Wraps `settle` so that the timer and the abort listener are removed first. */
			function createSettler(settle: () => void): () => void {
				return () => {
					stopTimer();
					ticket.signal.removeEventListener('abort', handleAbort);
					settle();
				};
			}

			function refuseWaiter(reason: 'over_rate' | 'queue_deadline'): void {
				removeWaiter(queue, waiter);
				updateWaiting(quota, queue);

				createSettler(() => {
					reject(new RefusalError('the team has exceeded its rate and burst', {props: {reason, retryAfterMs: Math.ceil(readExpectedWait(quota, ticket.cost))}}));
				})();
			}

			ticket.signal.addEventListener('abort', handleAbort, {once: true});
			insertWaiter(queue, waiter);
			updateWaiting(quota, queue);
			options.handleShortage(quota.team);
		});
	}

	async function waitForAdmission(quota: TeamQuota, ticket: RequestTicket): Promise<void> {
		const isFirst = findQueue(ticket.team).waiters.length === 0;
		if (isFirst && hasTakenTokens(quota, ticket.cost)) {
			return;
		}

		quota.allotment = advanceAllotment(quota.allotment, clock.readNow());
		checkCapacity(quota, ticket);
		await waitForTokens(quota, ticket);
	}

	return {
		async admit(ticket) {
			if (!ticket.contract) {
				return;
			}

			const quota = registry.findQuota(ticket.team);
			if (!quota) {
				throw new RefusalError('the team has no contract', {props: {reason: 'contract_removed', retryAfterMs: 0}});
			}

			countDemand(quota, ticket.cost, clock.readNow());
			await waitForAdmission(quota, ticket);
			options.recordEvent('requestAdmitted', {request: ticket.requestId, team: ticket.team, amount: ticket.cost});
		},
		handleTokens,
		countWaiting: team => queues.get(team)?.waiters.length ?? 0,
	};
}
