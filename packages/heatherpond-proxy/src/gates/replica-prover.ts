/**
 * Collects confirmations of replicas for the commits of one database. While commits are waiting, each replica is polled
 * continuously; one response serves every commit that arrived before its request was sent.
 */
import {
	isReplicaProof, readClaimTerm, waitUntil, type Clock, type PendingCommit, type DatabaseStatus, type GroupRecord, type Instant, type Member,
} from 'heatherpond-core';

/** Response of a replica and the send time of its request. */
type Confirmation = {readonly status: DatabaseStatus; readonly requestedAt: Instant};

/** Requests the status of a replica. Resolves with `undefined` if the replica did not respond. */
export type RequestReplicaStatus = (member: Member) => Promise<DatabaseStatus | undefined>;

/** Dependencies of a prover. */
export type ReplicaProverOptions = {
	readonly findGroup: () => GroupRecord | undefined;
	/** Database on which the commits were made. */
	readonly database: string;
	readonly clock: Clock;
	readonly requestStatus: RequestReplicaStatus;
	/** Called after each response. */
	readonly onResponse: () => void;
	readonly signal: AbortSignal;
};

/** Collector of confirmations for one database. */
export type ReplicaProver = {
	/** Starts polling the replicas. Has no effect while polling is active. */
	readonly start: () => void;
	/** Stops polling after the requests in flight. */
	readonly stop: () => void;
	/**
	 * Checks whether the responses to requests sent at or after `since` prove a commit. Returns the send time of the oldest
	 * of these requests, or `undefined` while there is no proof.
	 */
	readonly findProof: (commit: PendingCommit, since: Instant) => Instant | undefined;
};

const MIN_POLL_DELAY_MS = 1;
const MAX_POLL_DELAY_MS = 16;

/** Creates the prover of one database. */
export function createReplicaProver(options: ReplicaProverOptions): ReplicaProver {
	const {clock} = options;
	const confirmations = new Map<string, Confirmation>();
	let polling: AbortController | undefined;

	async function requestOnce(member: Member): Promise<boolean> {
		const requestedAt = clock.readNow();
		const status = await options.requestStatus(member);
		const known = confirmations.get(member.name);
		if (!status) {
			return false;
		}

		confirmations.set(member.name, {status, requestedAt});
		options.onResponse();
		return known?.status.last.position !== status.last.position;
	}

	async function requestRepeatedly(member: Member, signal: AbortSignal): Promise<void> {
		let delayMs = 0;
		while (!signal.aborted) {
			const hasMoved = await requestOnce(member);
			delayMs = hasMoved ? 0 : Math.min(MAX_POLL_DELAY_MS, Math.max(MIN_POLL_DELAY_MS, delayMs * 2));
			await (delayMs > 0 && waitUntil(clock, clock.readNow() + delayMs, signal));
		}
	}

	return {
		start() {
			if (polling) {
				return;
			}

			polling = new AbortController();
			const signal = AbortSignal.any([polling.signal, options.signal]);
			const members = options.findGroup()?.settings.members ?? [];
			members.filter(member => member.name !== options.database).forEach(member => {
				void requestRepeatedly(member, signal);
			});
		},
		stop() {
			polling?.abort();
			polling = undefined;
		},
		findProof(commit, since) {
			const group = options.findGroup();
			const recent = [...confirmations.values()].filter(confirmation => confirmation.requestedAt >= since);
			const isProved = group !== undefined && isReplicaProof(recent.map(confirmation => confirmation.status), commit, readClaimTerm(group, commit), group.settings.members.length);
			return isProved ? Math.min(clock.readNow(), ...recent.map(confirmation => confirmation.requestedAt)) : undefined;
		},
	};
}
