/**
 * Holds back the acknowledgement of each write until the database is proved to have been primary when it committed. A
 * valid lease is sufficient proof; otherwise the commit waits for confirmations of replicas or for a renewed lease, and is
 * re-evaluated after each response and each change of the view or stamp.
 */
import {
	decideDurability, formatDatabaseKey, isLeaseProof, isReplaced, PortError,
	type Clock, type PendingCommit, type DatabaseStatus, type GroupRecord, type HostBlackboard, type Instant, type Member, type PrimacyBlackboard, type PrimacyGate, type ProofKind, type RecordEvent, type UpstreamPort,
} from 'heatherpond-core';
import {startProofWaiter, type ProofVerdict, type ProofWaiter} from './proof-waiter.js';
import {createReplicaProver, type ReplicaProver} from './replica-prover.js';

/** Dependencies of the gate. */
export type ProofGateOptions = {
	readonly blackboard: HostBlackboard;
	readonly primacy: PrimacyBlackboard;
	readonly upstream: UpstreamPort;
	readonly clock: Clock;
	readonly recordEvent: RecordEvent;
	readonly timings: {readonly termLeaseMs: number; readonly probeTimeoutMs: number};
	readonly signal: AbortSignal;
};

/** Primacy gate that also counts waiting commits, for switchovers. */
export type ProofGate = PrimacyGate & {
	/** Returns the number of commits of a group that are waiting for a proof. */
	readonly countPending: (group: string) => number;
};

/** Commits of one database that are waiting for a proof. */
type ProofQueue = {readonly group: string; readonly prover: ReplicaProver; readonly waiters: Set<ProofWaiter>};

/** Minimum remaining lease time, so that the lease does not expire between the proof and the acknowledgement. */
const LEASE_MARGIN_MS = 20;

/** Creates the gate. Each wait ends with the signal of its commit. */
export function createProofGate(options: ProofGateOptions): ProofGate {
	const {blackboard, primacy, clock, recordEvent} = options;
	const {termLeaseMs} = options.timings;
	const queues = new Map<string, ProofQueue>();
	/** Send time of the oldest request that a commit's replica proof is based on. */
	const provenAt = new WeakMap<PendingCommit, Instant>();

	function findGroup(name: string): GroupRecord | undefined {
		return blackboard.read().view.groups[name];
	}

	/** Decides whether the lease remains valid for at least `marginMs`. */
	function hasLease(commit: PendingCommit, marginMs: number): boolean {
		const {view, stamp, identity} = blackboard.read();
		const group = findGroup(commit.group);
		return decideDurability(group?.settings, commit.durability) === 'primary' && isLeaseProof({
			group,
			claim: commit,
			stamp,
			now: clock.readNow() + marginMs,
			termLeaseMs,
			isRegistered: view.hosts[identity.host]?.incarnation === identity.incarnation,
			fencedTerm: primacy.read().fences[commit.group] ?? 0,
		});
	}

	/**
	 * Decides whether a proof based on a request sent at `at` is more recent than a lease; after a pause of the process
	 * it must be renewed.
	 */
	function isRecent(at: Instant | undefined): at is Instant {
		return at !== undefined && clock.readNow() - at < termLeaseMs;
	}

	function decideVerdict(queue: ProofQueue, commit: PendingCommit, arrivedAt: Instant): ProofVerdict {
		if (isReplaced(findGroup(commit.group), commit)) {
			return 'replaced';
		}

		if (hasLease(commit, LEASE_MARGIN_MS)) {
			return 'lease';
		}

		const at = queue.prover.findProof(commit, Math.max(arrivedAt, clock.readNow() - termLeaseMs));
		if (!isRecent(at)) {
			return undefined;
		}

		provenAt.set(commit, at);
		return 'replica';
	}

	function findQueue(group: string, database: string): ProofQueue {
		const key = formatDatabaseKey(group, database);
		const queue = queues.get(key) ?? createQueue(options, group, database);
		queues.set(key, queue);
		return queue;
	}

	async function waitInQueue(commit: PendingCommit, arrivedAt: Instant): Promise<ProofKind> {
		const queue = findQueue(commit.group, commit.database);
		const waiter = startProofWaiter({
			commit,
			clock,
			decideVerdict: () => decideVerdict(queue, commit, arrivedAt),
			onEnd(ended) {
				queue.waiters.delete(ended);
				if (queue.waiters.size === 0) {
					queue.prover.stop();
				}
			},
		});
		if (!commit.signal.aborted) {
			queue.waiters.add(waiter);
			queue.prover.start();
			waiter.evaluate();
		}

		return waiter.result;
	}

	registerWakeUp(options, () => {
		[...queues.values()].forEach(evaluateQueue);
	});
	return {
		async waitForProof(commit) {
			const arrivedAt = clock.readNow();
			try {
				const proof = hasLease(commit, LEASE_MARGIN_MS) ? 'lease' : await waitInQueue(commit, arrivedAt);
				recordEvent('proofObtained', {request: commit.requestId, group: commit.group, step: proof});
				return proof;
			} catch (error) {
				recordEvent('proofMissing', {
					request: commit.requestId, group: commit.group, database: commit.database, elapsedMs: clock.readNow() - arrivedAt,
				});
				throw error;
			}
		},
		isStillProven: (commit, proof) => proof === 'lease' ? hasLease(commit, 0) : isRecent(provenAt.get(commit)) && !isReplaced(findGroup(commit.group), commit),
		countPending: group => [...queues.values()].filter(queue => queue.group === group).reduce((sum, queue) => sum + queue.waiters.size, 0),
	};
}

function evaluateQueue(queue: ProofQueue): void {
	[...queue.waiters].forEach(waiter => {
		waiter.evaluate();
	});
}

function createQueue(options: ProofGateOptions, group: string, database: string): ProofQueue {
	const waiters = new Set<ProofWaiter>();
	const prover = createReplicaProver({
		findGroup: () => options.blackboard.read().view.groups[group],
		database,
		clock: options.clock,
		requestStatus: async member => readStatus(options, member),
		onResponse() {
			evaluateQueue(queue);
		},
		signal: options.signal,
	});
	const queue: ProofQueue = {group, prover, waiters};
	return queue;
}

/** Calls `wake` after each change of the view or the stamp. */
function registerWakeUp({blackboard, signal}: ProofGateOptions, wake: () => void): void {
	const teardowns = [blackboard.registerListener(state => state.view, wake), blackboard.registerListener(state => state.stamp, wake)];
	signal.addEventListener('abort', () => {
		teardowns.forEach(teardown => {
			teardown();
		});
	}, {once: true});
}

async function readStatus({upstream, clock, timings, signal}: ProofGateOptions, member: Member): Promise<DatabaseStatus | undefined> {
	try {
		return await upstream.readStatus(member, {deadline: clock.readNow() + timings.probeTimeoutMs, signal, onNewConnection: false});
	} catch (error) {
		if (error instanceof PortError) {
			return undefined;
		}

		throw error;
	}
}
