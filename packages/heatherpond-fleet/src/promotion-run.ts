/**
 * Carries out one promotion. Any host can restart it at any step: a run first reads the status of the databases and
 * continues from the state that an earlier run has left.
 */
import {waitUntil, type Deadline, type Instant} from 'heatherpond-core';
import {compareLogPositions} from 'heatherpond-session';
import type {DatabaseStatus} from './database-control-port.js';
import {
	FLEET_TABLE, HOSTS_TABLE, parseRecord, PRIMACY_PREFIX, primacySchema, PROMOTION_LEASE_KEY, promotionLeaseSchema, type PrimacyRecord,
} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import {applyPrimacy} from './apply-fleet-update.js';
import type {Versioned} from './fleet-state.js';
import {readHosts} from './host-list.js';
import {LEASE_MARGIN_MS, LEASE_MS} from './primacy.js';
import {decideRequestDeadline} from './promotion-lease.js';
import {
	createHomeCheck, findCandidate, findPromotedDatabase, findLiveHosts, isConfirmed, type PolledDatabase,
} from './promotion-decisions.js';
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
/** Status timeout in milliseconds of an old primary that is not expected to respond. */
const FAILED_PRIMARY_TIMEOUT_MS = 180;
/** Milliseconds for which the candidate may catch up with the old primary before that one is stepped down. */
const CATCH_UP_TIMEOUT_MS = 600;
const POLL_INTERVAL_MS = 40;
/** Milliseconds within which a candidate must become primary before the request is repeated. */
const TAKEOVER_TIMEOUT_MS = 2500;
const STORE_TIMEOUT_MS = 600;
/** Milliseconds before the end of the promotion lease after which no promotion request is sent. */
const PROMOTION_REQUEST_MARGIN_MS = 800;

/** Carries out a promotion; resolves to whether the new primary was recorded. */
export async function runPromotion(services: FleetServices, task: PromotionTask, signal: AbortSignal): Promise<boolean> {
	const {clock, writeEvent} = services;
	const {record} = task.primacy;
	await waitForConfirmations(services, task, signal);
	const excluded = new Set<string>();
	const isAtHome = createHomeCheck(services.blackboard.read(), record, services.readRegion);
	let {primacy} = task;
	while (!signal.aborted && clock.readNow() < task.readDeadline() - PROMOTION_REQUEST_MARGIN_MS) {
		const polled = await requestGroupStatus(services, task);
		const promoted = findPromotedDatabase(polled, record);
		if (promoted) {
			return writeNewPrimary(services, primacy, promoted);
		}

		const candidate = findPersistedCandidate(services, primacy.record, excluded) ?? findCandidate(polled, record, {excluded, isAtHome})?.upstream;
		if (!candidate) {
			writeEvent('promotion_without_candidate', {group: record.group, surveyed: polled.length});
			excluded.clear();
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

/** Finds the candidate that an earlier run has recorded, unless it is excluded or no longer registered. */
function findPersistedCandidate({blackboard}: FleetServices, {promotion}: PrimacyRecord, excluded: ReadonlySet<string>): Upstream | undefined {
	const id = promotion?.candidate;
	return id === undefined || excluded.has(id) ? undefined : blackboard.read().upstreams.get(id);
}

/** Records the candidate before the promotion request is sent; resolves to `undefined` when another host has taken over the promotion. */
async function writeCandidate(services: FleetServices, primacy: Versioned<PrimacyRecord>, candidate: string): Promise<Versioned<PrimacyRecord> | undefined> {
	const {record} = primacy;
	if (record.promotion?.candidate === candidate) {
		return primacy;
	}

	return writePrimacy(services, primacy, {...record, promotion: {...record.promotion!, candidate}});
}

async function writePrimacy(services: FleetServices, {record: {group}, version}: Versioned<PrimacyRecord>, record: PrimacyRecord): Promise<Versioned<PrimacyRecord> | undefined> {
	const {store, clock, blackboard, sendPrimacy} = services;
	const row = {table: FLEET_TABLE, key: formatRowKey(PRIMACY_PREFIX, group)};
	const result = await store.writeRows({expected: [{...row, version}], puts: [{...row, value: JSON.stringify(record)}], removed: []}, clock.readNow() + STORE_TIMEOUT_MS);
	if (result.kind === 'conflict') {
		return undefined;
	}

	const written = {record, version: result.version};
	blackboard.update(state => applyPrimacy(state, written));
	sendPrimacy(written);
	return written;
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

/** Requests the status of every database of the group, including the old primary; omits those that do not respond. */
async function requestGroupStatus({clock, blackboard, databases}: FleetServices, {primacy: {record}, oldPrimary}: PromotionTask): Promise<readonly PolledDatabase[]> {
	const now = clock.readNow();
	const readDeadline = ({id}: Upstream): Deadline => now + (id === record.primary && !record.promotion?.isPlanned ? FAILED_PRIMARY_TIMEOUT_MS : STATUS_TIMEOUT_MS);
	const members = [...blackboard.read().upstreams.values()].filter(({group}) => group === record.group);
	const all = oldPrimary && !members.some(({id}) => id === oldPrimary.id) ? [...members, oldPrimary] : members;
	const responses = await Promise.allSettled(all.map(async upstream => ({upstream, status: await databases.requestStatus(upstream, readDeadline(upstream))})));
	return responses.filter(response => response.status === 'fulfilled').map(({value}) => value);
}

/** Lets the candidate catch up with an old primary that still responds, then demotes the old primary to a replica. */
async function stopOldPrimary(services: FleetServices, {primacy: {record}}: PromotionTask, polled: readonly PolledDatabase[], candidate: Upstream): Promise<void> {
	const {clock, databases, writeEvent} = services;
	const old = polled.find(({upstream, status}) => upstream.id === record.primary && status.isPrimary);
	if (!old) {
		return;
	}

	const deadline: Deadline = clock.readNow() + CATCH_UP_TIMEOUT_MS;
	try {
		let {point} = polled.find(({upstream}) => upstream.id === candidate.id)?.status ?? await databases.requestStatus(candidate, clock.readNow() + STATUS_TIMEOUT_MS);
		while (compareLogPositions(point, old.status.point) < 0 && clock.readNow() < deadline) {
			await waitUntil(clock, clock.readNow() + (POLL_INTERVAL_MS / 2), new AbortController().signal);
			({point} = await databases.requestStatus(candidate, clock.readNow() + STATUS_TIMEOUT_MS));
		}

		await databases.requestStepDown(old.upstream, record.term + 1, clock.readNow() + STATUS_TIMEOUT_MS);
		writeEvent('primary_stepped_down', {group: record.group, database: old.upstream.id, caught_up: compareLogPositions(point, old.status.point) >= 0});
	} catch (error) {
		// No host holds a lease on the old primary any more; it can be demoted once it is reachable.
		writeEvent('step_down_failed', {group: record.group, database: old.upstream.id, reason: String(error)});
	}
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

/** Records the new primary and ends the promotion; resolves to whether no other host was first. */
async function writeNewPrimary(services: FleetServices, primacy: Versioned<PrimacyRecord>, {upstream, status}: PolledDatabase): Promise<boolean> {
	const {group} = primacy.record;
	const written = await writePrimacy(services, primacy, {
		group, term: status.term, primary: upstream.id, era: services.blackboard.read().storeEra,
	});
	services.writeEvent('promotion_recorded', {
		group, database: upstream.id, term: status.term, outcome: written ? 'done' : 'conflict',
	});
	services.refreshFleet();
	return written !== undefined;
}
