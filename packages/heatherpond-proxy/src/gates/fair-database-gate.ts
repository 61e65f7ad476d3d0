/** Database gate with a fair queue per database and an adaptive limit on this host's requests in flight to it. */
import {
	applyLatencySample, createAdaptiveLimit, createFairQueue, formatDatabaseKey, readExpectedLatency, RefusalError,
	type AdaptiveLimit, type Clock, type DatabaseGate, type DatabaseOutcome, type DatabasePermit, type FairQueue, type HostBlackboard, type Instant, type QueuedItem, type RefusalReason, type RequestTicket,
} from 'heatherpond-core';

/** Dependencies of the gate. */
export type FairDatabaseGateOptions = {
	readonly blackboard: HostBlackboard;
	readonly clock: Clock;
};

/** Request that waits for a database. */
type Waiter = QueuedItem & {
	readonly start: (permit: DatabasePermit) => void;
	readonly refuse: (reason: RefusalReason) => void;
};

/** Queue, concurrency limit and requests in flight of one database. */
type DatabaseLoad = {
	readonly group: string;
	readonly database: string;
	readonly queue: FairQueue<Waiter>;
	limit: AdaptiveLimit;
	inFlight: number;
};

/** Maximum number and total size of one team's requests that wait for one database on this host. */
const MAX_TEAM_WAITERS = 500;
const MAX_TEAM_BYTES = 16_777_216;
/** Time after which requests still waiting for a draining database are refused. */
const DRAIN_GRACE_MS = 1000;

/** Creates the gate. */
export function createFairDatabaseGate({blackboard, clock}: FairDatabaseGateOptions): DatabaseGate {
	const loads = new Map<string, DatabaseLoad>();

	function readSlots(group: string, database: string): number {
		return blackboard.read().view.groups[group]?.settings.members.find(member => member.name === database)?.slots ?? 1;
	}

	function findLoad(group: string, database: string): DatabaseLoad {
		const key = formatDatabaseKey(group, database);
		const load = loads.get(key) ?? {
			group, database, queue: createFairQueue<Waiter>(), limit: createAdaptiveLimit(readSlots(group, database)), inFlight: 0,
		};
		loads.set(key, load);
		return load;
	}

	function createPermit(load: DatabaseLoad): DatabasePermit {
		const startedAt = clock.readNow();
		let isReleased = false;
		load.inFlight++;
		return {
			release(outcome) {
				if (!isReleased) {
					isReleased = true;
					handleEnd(load, outcome, startedAt);
				}
			},
		};
	}

	function handleEnd(load: DatabaseLoad, outcome: DatabaseOutcome, startedAt: Instant): void {
		const now = clock.readNow();
		load.limit = applyLatencySample(load.limit, {latencyMs: now - startedAt, inFlight: load.inFlight, hasFailed: outcome !== 'answered'}, now);
		load.inFlight--;
		startNext(load);
	}

	function startNext(load: DatabaseLoad): void {
		while (load.inFlight < Math.floor(load.limit.limit)) {
			const waiter = load.queue.take();
			if (!waiter) {
				return;
			}

			waiter.start(createPermit(load));
		}
	}

	/** Estimates the milliseconds until a request behind `ahead` others of its team would start. */
	function readQueueWait(load: DatabaseLoad, ahead: number): number {
		return ahead * readExpectedLatency(load.limit, clock.readNow()) / Math.floor(load.limit.limit);
	}

	function checkCapacity(load: DatabaseLoad, ticket: RequestTicket): void {
		const ahead = load.queue.countTeamItems(ticket.team);
		const waitMs = readQueueWait(load, ahead);
		if (ahead >= MAX_TEAM_WAITERS || load.queue.countTeamBytes(ticket.team) + ticket.bytes > MAX_TEAM_BYTES) {
			throw createRefusal('queue_full', waitMs);
		}

		if (clock.readNow() + waitMs > ticket.deadline) {
			throw createRefusal('queue_deadline', waitMs);
		}
	}

	async function waitForSlot(load: DatabaseLoad, ticket: RequestTicket): Promise<DatabasePermit> {
		return new Promise<DatabasePermit>((resolve, reject) => {
			const stopTimer = clock.registerTimer(ticket.deadline, handleAbort);
			function handleAbort(): void {
				if (load.queue.remove(waiter)) {
					waiter.refuse('queue_deadline');
				}
			}

			function stopWaiting(): void {
				stopTimer();
				ticket.signal.removeEventListener('abort', handleAbort);
			}

			const waiter: Waiter = {
				team: ticket.team,
				weight: ticket.contract?.weight ?? 1,
				cost: ticket.cost,
				bytes: ticket.bytes,
				start(permit) {
					stopWaiting();
					resolve(permit);
				},
				refuse(reason) {
					stopWaiting();
					reject(createRefusal(reason, readQueueWait(load, load.queue.countTeamItems(ticket.team))));
				},
			};
			ticket.signal.addEventListener('abort', handleAbort, {once: true});
			load.queue.insert(waiter);
		});
	}

	function refuseWaiting(load: DatabaseLoad): void {
		load.queue.readItems().forEach(waiter => {
			load.queue.remove(waiter);
			waiter.refuse('no_upstream');
		});
	}

	function isDraining({group, database}: DatabaseLoad): boolean {
		return blackboard.read().view.groups[group]?.leaving.includes(database) ?? false;
	}

	blackboard.registerListener(state => state.view.groups, () => {
		[...loads.values()].filter(load => isDraining(load)).forEach(load => {
			clock.registerTimer(clock.readNow() + DRAIN_GRACE_MS, () => {
				if (isDraining(load)) {
					refuseWaiting(load);
				}
			});
		});
	});

	return {
		async acquire(ticket, database) {
			const load = findLoad(ticket.group, database);
			if (ticket.signal.aborted || clock.readNow() >= ticket.deadline) {
				throw createRefusal('queue_deadline', 0);
			}

			if (load.queue.countItems() === 0 && load.inFlight < Math.floor(load.limit.limit)) {
				return createPermit(load);
			}

			checkCapacity(load, ticket);
			return waitForSlot(load, ticket);
		},
		readExpectedWait(group, database) {
			const load = findLoad(group, database);
			const latencyMs = readExpectedLatency(load.limit, clock.readNow());
			return latencyMs * (1 + ((load.inFlight + load.queue.countItems()) / Math.floor(load.limit.limit)));
		},
	};
}

const REFUSAL_MESSAGE: Partial<Readonly<Record<RefusalReason, string>>> = {
	queue_full: 'too many requests of the team are waiting for the database',
	queue_deadline: 'the database has no free slot before the deadline of the request',
	no_upstream: 'the database is draining and accepts no more requests',
};

function createRefusal(reason: RefusalReason, waitMs: number): InstanceType<typeof RefusalError> {
	return new RefusalError(REFUSAL_MESSAGE[reason] ?? reason, {props: {reason, retryAfterMs: Math.ceil(waitMs)}});
}
