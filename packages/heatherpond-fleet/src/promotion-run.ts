/**
 * Carries out one promotion. Any host can restart it at any step: a run first reads the status of the databases and
 * continues from the state that an earlier run has left.
 */
import {waitUntil, type Deadline, type Instant} from 'heatherpond-core';
import type {CandidateChoice} from './candidate-choice.js';
import type {DatabaseStatus} from './database-control-port.js';
import {
	FLEET_TABLE, HOSTS_TABLE, parseRecord, PRIMACY_PREFIX, primacySchema, PROMOTION_LEASE_KEY, promotionLeaseSchema, type PrimacyRecord,
} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import type {Versioned} from './fleet-state.js';
import {readHosts} from './host-list.js';
import {LEASE_MARGIN_MS, LEASE_MS} from './primacy.js';
import {decideRequestDeadline} from './promotion-lease.js';
import {findPromotedDatabase, findLiveHosts, isConfirmed} from './promotion-decisions.js';
import {writeCandidate, writeNewPrimary} from './promotion-records.js';
import {
	selectByStatus, findPersistedChoice, requestGroupStatus, stopOldPrimary, waitForCatchUp,
} from './promotion-survey.js';
import {formatRowKey} from './row-keys.js';
import type {Upstream} from './upstream.js';
import {waitForState} from './wait-for-state.js';

/** A promotion that this host carries out. */
export type PromotionTask = {
	readonly primacy: Versioned<PrimacyRecord>;
	/**
	 * When this host first saw the promotion. A lease runs from the sending of a read that found no promotion, so no other
	 * host's lease on the old primary can have started later.
	 */
	readonly firstSeenAt: Instant;
	/** Fencing token of the promotion lease. */
	readonly fence: number;
	/** Returns until when this host may use the promotion lease. */
	readonly readDeadline: () => Deadline;
	/** Last known registration of the database that is replaced. */
	readonly oldPrimary?: Upstream;
};

const STATUS_TIMEOUT_MS = 300;
const POLL_INTERVAL_MS = 40;
/** Milliseconds within which a candidate must become primary before the request is repeated. */
const TAKEOVER_TIMEOUT_MS = 2500;
const STORE_TIMEOUT_MS = 600;
/** Milliseconds before the end of the promotion lease after which no promotion request is sent. */
const PROMOTION_REQUEST_MARGIN_MS = 800;

/** Carries out a promotion; resolves to whether the new primary was recorded. */
export async function runPromotion(services: FleetServices, task: PromotionTask, signal: AbortSignal): Promise<boolean> {
	const {clock} = services;
	const {record} = task.primacy;
	await waitForConfirmations(services, task, signal);
	const excluded = new Set<string>();
	const recordLack = createLackRecorder(services, record.group);
	let {primacy} = task;
	let mayCatchUp = true;
	while (!signal.aborted && clock.readNow() < task.readDeadline() - PROMOTION_REQUEST_MARGIN_MS) {
		const polled = await requestGroupStatus(services, task);
		const promoted = findPromotedDatabase(polled, record);
		if (promoted) {
			return writeNewPrimary(services, primacy, promoted);
		}

		const choice: CandidateChoice = findPersistedChoice(services, primacy.record, excluded) ?? selectByStatus(services, primacy.record, polled, {excluded, mayCatchUp});
		if (choice.kind === 'none') {
			recordLack(polled.length, choice.unknown);
			mayCatchUp = true;
			excluded.clear();
			await waitUntil(clock, clock.readNow() + POLL_INTERVAL_MS, signal);
			continue;
		}

		const candidate: Upstream = choice.upstream;
		mayCatchUp = !choice.mustCatchUp || await waitForCatchUp(services, task, polled, candidate);
		if (!mayCatchUp) {
			await waitUntil(clock, clock.readNow() + POLL_INTERVAL_MS, signal);
			continue;
		}

		const updated = await writeCandidate(services, primacy, candidate.id);
		if (!updated) {
			return false;
		}

		primacy = updated;
		await stopOldPrimary(services, task, polled, candidate);
		const ownership = await readOwnership(services, task);
		if (ownership === 'lost') {
			return false;
		}

		if (ownership === 'unknown') {
			await waitUntil(clock, clock.readNow() + POLL_INTERVAL_MS, signal);
			continue;
		}

		const outcome = await sendPromotionRequest(services, task, candidate);
		if (outcome === 'not_sent') {
			return false;
		}

		if (outcome === 'not_running') {
			excluded.add(candidate.id);
			continue;
		}

		// A request with an unknown outcome may still be carried out, so the candidate stays the same until it is primary.
		const promotedStatus = await waitForTakeover(services, task, candidate, signal);
		if (promotedStatus) {
			return writeNewPrimary(services, primacy, {upstream: candidate, status: promotedStatus});
		}
	}

	return false;
}

/** Creates the function that logs the lack of a candidate, whenever the databases whose logs are not known have changed. */
function createLackRecorder({writeEvent}: FleetServices, group: string): (surveyed: number, unknown: readonly string[]) => void {
	let before = '';
	return (surveyed, unknown) => {
		const text = unknown.join(',');
		if (text === '' || text !== before) {
			writeEvent('promotion_without_candidate', {group, surveyed, unknown: text});
		}

		before = text;
	};
}

/** Waits until no host relies on the old primary: all have confirmed the promotion, or all leases have expired. */
async function waitForConfirmations(services: FleetServices, {primacy: {record}, firstSeenAt}: PromotionTask, signal: AbortSignal): Promise<void> {
	const {clock, store, blackboard, writeEvent} = services;
	const leasesExpireAt: Deadline = firstSeenAt + LEASE_MS + LEASE_MARGIN_MS;
	const page = await store.readTable(HOSTS_TABLE, clock.readNow() + STORE_TIMEOUT_MS).catch((error: unknown) => {
		writeEvent('hosts_unread', {reason: String(error)});
		return undefined;
	});
	const live = page && findLiveHosts(readHosts(page), page.storeNow);
	const isConfirmedByAll = await waitForState({blackboard, clock}, state => live !== undefined && isConfirmed(state, record, live), leasesExpireAt, signal);
	writeEvent('promotion_clear', {
		group: record.group, promotion: record.promotion?.id, confirmed: isConfirmedByAll, hosts: live?.length, waited_ms: Math.round(clock.readNow() - firstSeenAt),
	});
}

/** Whether this host still carries out a promotion under its lease, by the rows of the store. */
type PromotionOwnership = 'kept' | 'lost' | 'unknown';

/** Reads right before the request whether the promotion is still this host's; the store may have come back without its rows. */
async function readOwnership(services: FleetServices, {primacy: {record}, fence}: PromotionTask): Promise<PromotionOwnership> {
	const {store, clock, writeEvent, identity} = services;
	const promotion = record.promotion!.id;
	try {
		const {rows} = await store.readTable(FLEET_TABLE, clock.readNow() + STORE_TIMEOUT_MS);
		const values = new Map(rows.map(({key, value}) => [key, value]));
		const current = parseRecord(primacySchema, values.get(formatRowKey(PRIMACY_PREFIX, record.group)) ?? '');
		const lease = parseRecord(promotionLeaseSchema, values.get(PROMOTION_LEASE_KEY) ?? '');
		const isKept = current?.promotion?.id === promotion && lease?.incarnation === identity.incarnation && lease.fence === fence;
		if (!isKept) {
			writeEvent('promotion_ownership_lost', {
				group: record.group, promotion, fence, stored_fence: lease?.fence,
			});
		}

		return isKept ? 'kept' : 'lost';
	} catch (error) {
		writeEvent('promotion_ownership_unread', {group: record.group, promotion, reason: String(error)});
		return 'unknown';
	}
}

/**
 * Outcome of a promotion request; `not_running`: rejected because the database is not running, so the candidate is excluded;
 * `not_sent`: the lease has ended, and another host may have acquired it.
 */
type PromotionRequestOutcome = 'accepted' | 'not_running' | 'unknown' | 'not_sent';

async function sendPromotionRequest({clock, promotionRequests, identity, writeEvent}: FleetServices, {primacy: {record}, fence, readDeadline}: PromotionTask, {id}: Upstream): Promise<PromotionRequestOutcome> {
	const requestDeadline = decideRequestDeadline(readDeadline(), clock.readNow());
	if (requestDeadline === undefined) {
		writeEvent('promotion_order_withheld', {group: record.group, database: id, fence});
		return 'not_sent';
	}

	try {
		const isAccepted = await promotionRequests.requestPromotion({
			group: record.group, database: id, holder: identity.host, fence,
		}, requestDeadline);
		writeEvent('promotion_ordered', {
			group: record.group, database: id, fence, accepted: isAccepted,
		});
		return isAccepted ? 'accepted' : 'not_running';
	} catch (error) {
		writeEvent('promotion_order_unknown', {
			group: record.group, database: id, fence, reason: String(error),
		});
		return 'unknown';
	}
}

async function waitForTakeover({clock, databases, writeEvent}: FleetServices, {primacy: {record}}: PromotionTask, upstream: Upstream, signal: AbortSignal): Promise<DatabaseStatus | undefined> {
	const deadline: Deadline = clock.readNow() + TAKEOVER_TIMEOUT_MS;
	while (!signal.aborted && clock.readNow() < deadline) {
		try {
			const status = await databases.requestStatus(upstream, clock.readNow() + STATUS_TIMEOUT_MS);
			if (status.isPrimary && status.term > record.term) {
				return status;
			}
		} catch (error) {
			writeEvent('candidate_silent', {group: record.group, database: upstream.id, reason: String(error)});
		}

		await waitUntil(clock, clock.readNow() + POLL_INTERVAL_MS, signal);
	}

	return undefined;
}
