/**
 * Carries out one promotion. It can be begun again by any host at any step: it looks at the databases first, and takes up
 * whatever an earlier run has left.
 */
import {waitUntil, type Deadline, type Instant} from 'heatherpond-core';
import {compareLogPoints} from 'heatherpond-session';
import type {DatabaseStatus} from './database-control-port.js';
import {
	FLEET_TABLE, HOSTS_TABLE, PRIMACY_PREFIX, type PrimacyRecord,
} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import {applyPrimacy} from './apply-fleet-news.js';
import type {Versioned} from './fleet-state.js';
import {readHosts} from './host-list.js';
import {LEASE_MARGIN_MS, LEASE_MS} from './primacy.js';
import {
	findCandidate, findLeader, findLiveHosts, isConfirmed, type SurveyedDatabase,
} from './promotion-choices.js';
import type {Upstream} from './upstream.js';
import {waitForState} from './wait-for-state.js';

/** A promotion that this host carries out. */
export type PromotionTask = {
	readonly primacy: Versioned<PrimacyRecord>;
	/** When this host knew of the promotion; the leases of others ran at the longest from then. */
	readonly begunAt: Instant;
	readonly fence: number;
	/** Reads until when the duty is this host's. */
	readonly readDeadline: () => Deadline;
	/** The database that is replaced, as it was last known. */
	readonly old?: Upstream;
};

const STATUS_TIMEOUT_MS = 300;
/** Milliseconds within which an old primary that is not expected to answer must have done so. */
const SUSPECT_TIMEOUT_MS = 180;
const CATCH_UP_MS = 600;
const POLL_MS = 40;
const ORDER_TIMEOUT_MS = 1000;
/** Milliseconds for which a database that was named is watched for taking over. */
const TAKE_OVER_MS = 2500;
const STORE_TIMEOUT_MS = 600;
/** Milliseconds before the end of the duty after which no order is sent any more. */
const ORDER_MARGIN_MS = 800;

/** Carries out a promotion; resolves to whether it is recorded. */
export async function runPromotion(services: FleetServices, task: PromotionTask, signal: AbortSignal): Promise<boolean> {
	const {clock, writeEvent} = services;
	const {record} = task.primacy;
	await waitForConfirmations(services, task, signal);
	const excluded = new Set<string>();
	let {primacy} = task;
	while (!signal.aborted && clock.readNow() < task.readDeadline() - ORDER_MARGIN_MS) {
		const surveyed = await askGroup(services, task);
		const leader = findLeader(surveyed, record);
		if (leader) {
			return writeLeader(services, primacy, leader);
		}

		const candidate = findNamed(services, primacy.record, excluded) ?? findCandidate(surveyed, record, excluded)?.upstream;
		if (!candidate) {
			writeEvent('promotion_without_candidate', {group: record.group, surveyed: surveyed.length});
			excluded.clear();
			await waitUntil(clock, clock.readNow() + POLL_MS, signal);
			continue;
		}

		const named = await writeCandidate(services, primacy, candidate.id);
		if (!named) {
			return false;
		}

		primacy = named;
		await stopOldPrimary(services, task, surveyed, candidate);
		const end = await sendOrder(services, task, candidate);
		if (end === 'not_running') {
			excluded.add(candidate.id);
			continue;
		}

		// An order whose outcome is unknown may still be carried out: the same database is named until it leads.
		const taken = await waitForTakeOver(services, task, candidate, signal);
		if (taken) {
			return writeLeader(services, primacy, {upstream: candidate, status: taken});
		}
	}

	return false;
}

/** Finds the database that an earlier order has named, as long as it may still take over. */
function findNamed({blackboard}: FleetServices, {promotion}: PrimacyRecord, excluded: ReadonlySet<string>): Upstream | undefined {
	const id = promotion?.candidate;
	return id === undefined || excluded.has(id) ? undefined : blackboard.read().upstreams.get(id);
}

/** Writes down who is about to be named; nothing when another host has gone on with the promotion. */
async function writeCandidate(services: FleetServices, primacy: Versioned<PrimacyRecord>, candidate: string): Promise<Versioned<PrimacyRecord> | undefined> {
	const {record} = primacy;
	if (record.promotion?.candidate === candidate) {
		return primacy;
	}

	return writePrimacy(services, primacy, {...record, promotion: {...record.promotion!, candidate}});
}

async function writePrimacy(services: FleetServices, {record: {group}, version}: Versioned<PrimacyRecord>, record: PrimacyRecord): Promise<Versioned<PrimacyRecord> | undefined> {
	const {store, clock, blackboard, sendNotice} = services;
	const row = {table: FLEET_TABLE, key: `${PRIMACY_PREFIX}${group}`};
	const end = await store.writeRows({expected: [{...row, version}], puts: [{...row, value: JSON.stringify(record)}], removed: []}, clock.readNow() + STORE_TIMEOUT_MS);
	if (end.kind === 'conflict') {
		return undefined;
	}

	const written = {record, version: end.version};
	blackboard.update(state => applyPrimacy(state, written));
	sendNotice(written);
	return written;
}

/** Waits until no host relies on the old primary any more. */
async function waitForConfirmations(services: FleetServices, {primacy: {record}, begunAt}: PromotionTask, signal: AbortSignal): Promise<void> {
	const {clock, store, blackboard, writeEvent} = services;
	const leasesEndAt: Deadline = begunAt + LEASE_MS + LEASE_MARGIN_MS;
	const page = await store.readTable(HOSTS_TABLE, clock.readNow() + STORE_TIMEOUT_MS).catch((error: unknown) => {
		writeEvent('hosts_unread', {reason: String(error)});
		return undefined;
	});
	const live = page && findLiveHosts(readHosts(page), page.storeNow);
	const isConfirmedByAll = await waitForState({blackboard, clock}, state => live !== undefined && isConfirmed(state, record, live), leasesEndAt, signal);
	writeEvent('promotion_clear', {
		group: record.group, promotion: record.promotion?.id, confirmed: isConfirmedByAll, hosts: live?.length, waited_ms: Math.round(clock.readNow() - begunAt),
	});
}

/** Asks every database of the group, the old primary included, what it has. */
async function askGroup({clock, blackboard, databases}: FleetServices, {primacy: {record}, old}: PromotionTask): Promise<readonly SurveyedDatabase[]> {
	const now = clock.readNow();
	const readDeadline = ({id}: Upstream): Deadline => now + (id === record.primary && !record.promotion?.isPlanned ? SUSPECT_TIMEOUT_MS : STATUS_TIMEOUT_MS);
	const members = [...blackboard.read().upstreams.values()].filter(({group}) => group === record.group);
	const all = old && !members.some(({id}) => id === old.id) ? [...members, old] : members;
	const answers = await Promise.allSettled(all.map(async upstream => ({upstream, status: await databases.askStatus(upstream, readDeadline(upstream))})));
	return answers.filter(answer => answer.status === 'fulfilled').map(({value}) => value);
}

/** Lets the candidate catch up with an old primary that still answers, and makes that one a replica. */
async function stopOldPrimary(services: FleetServices, {primacy: {record}}: PromotionTask, surveyed: readonly SurveyedDatabase[], candidate: Upstream): Promise<void> {
	const {clock, databases, writeEvent} = services;
	const old = surveyed.find(({upstream, status}) => upstream.id === record.primary && status.isPrimary);
	if (!old) {
		return;
	}

	const deadline: Deadline = clock.readNow() + CATCH_UP_MS;
	try {
		let {point} = surveyed.find(({upstream}) => upstream.id === candidate.id)?.status ?? await databases.askStatus(candidate, clock.readNow() + STATUS_TIMEOUT_MS);
		while (compareLogPoints(point, old.status.point) < 0 && clock.readNow() < deadline) {
			await waitUntil(clock, clock.readNow() + (POLL_MS / 2), new AbortController().signal);
			({point} = await databases.askStatus(candidate, clock.readNow() + STATUS_TIMEOUT_MS));
		}

		await databases.sendStepDown(old.upstream, record.term + 1, clock.readNow() + STATUS_TIMEOUT_MS);
		writeEvent('primary_stepped_down', {group: record.group, database: old.upstream.id, caught_up: compareLogPoints(point, old.status.point) >= 0});
	} catch (error) {
		// Its leases have ended; it is stepped down once it can be reached.
		writeEvent('step_down_failed', {group: record.group, database: old.upstream.id, reason: String(error)});
	}
}

/** How an order ended. */
type OrderEnd = 'accepted' | 'not_running' | 'unknown';

async function sendOrder({clock, orders, identity, writeEvent}: FleetServices, {primacy: {record}, fence, readDeadline}: PromotionTask, {id}: Upstream): Promise<OrderEnd> {
	const orderDeadline: Deadline = Math.min(readDeadline() - (ORDER_MARGIN_MS / 2), clock.readNow() + ORDER_TIMEOUT_MS);
	try {
		const isAccepted = await orders.sendOrder({
			group: record.group, database: id, holder: identity.host, fence,
		}, orderDeadline);
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

async function waitForTakeOver({clock, databases, writeEvent}: FleetServices, {primacy: {record}}: PromotionTask, upstream: Upstream, signal: AbortSignal): Promise<DatabaseStatus | undefined> {
	const giveUpAt: Deadline = clock.readNow() + TAKE_OVER_MS;
	while (!signal.aborted && clock.readNow() < giveUpAt) {
		try {
			const status = await databases.askStatus(upstream, clock.readNow() + STATUS_TIMEOUT_MS);
			if (status.isPrimary && status.term > record.term) {
				return status;
			}
		} catch (error) {
			writeEvent('candidate_silent', {group: record.group, database: upstream.id, reason: String(error)});
		}

		await waitUntil(clock, clock.readNow() + POLL_MS, signal);
	}

	return undefined;
}

/** Writes down who leads now. */
async function writeLeader(services: FleetServices, primacy: Versioned<PrimacyRecord>, {upstream, status}: SurveyedDatabase): Promise<boolean> {
	const {group} = primacy.record;
	const written = await writePrimacy(services, primacy, {group, term: status.term, primary: upstream.id});
	services.writeEvent('promotion_recorded', {
		group, database: upstream.id, term: status.term, outcome: written ? 'done' : 'conflict',
	});
	services.refreshFleet();
	return written !== undefined;
}
