/** Writes the records of a promotion that is being carried out. */
import {applyPrimacy} from './apply-fleet-update.js';
import {findNextHolders, readSyncReplicas} from './commit-holders.js';
import {FLEET_TABLE, PRIMACY_PREFIX, type PrimacyRecord} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import type {Versioned} from './fleet-state.js';
import {createHolder} from './own-promotion-lease.js';
import type {PolledDatabase} from './promotion-decisions.js';
import {formatRowKey} from './row-keys.js';
import {isAcceptingWork} from './upstream.js';

const STORE_TIMEOUT_MS = 600;

/** Records the candidate before the promotion request is sent; resolves to `undefined` when another host has taken over the promotion. */
export async function writeCandidate(services: FleetServices, primacy: Versioned<PrimacyRecord>, candidate: string): Promise<Versioned<PrimacyRecord> | undefined> {
	const {record} = primacy;
	if (record.promotion?.candidate === candidate) {
		return primacy;
	}

	return writePrimacy(services, primacy, {...record, promotion: {...record.promotion!, candidate}});
}

/** Replaces a primacy record; resolves to `undefined` when it is no longer the one that was read. */
export async function writePrimacy(services: FleetServices, {record: {group}, version}: Versioned<PrimacyRecord>, record: PrimacyRecord): Promise<Versioned<PrimacyRecord> | undefined> {
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

/** Records the new primary and ends the promotion; resolves to whether no other host was first. */
export async function writeNewPrimary(services: FleetServices, primacy: Versioned<PrimacyRecord>, promoted: PolledDatabase): Promise<boolean> {
	const {group} = primacy.record;
	const record = createPromotedRecord(services, primacy, promoted);
	const written = await writePrimacy(services, primacy, record);
	services.writeEvent('promotion_recorded', {
		group, database: promoted.upstream.id, term: promoted.status.term, outcome: written ? 'done' : 'conflict', next_promotion: record.promotion?.id,
	});
	services.refreshFleet();
	return written !== undefined;
}

/**
 * Creates the record of a new primary. In a group with synchronous replicas it may be a database that drains, promoted because it
 * alone held every acknowledged commit. No host may send it work, so the record starts the planned promotion of the next one.
 */
function createPromotedRecord({blackboard, identity}: FleetServices, {record, version}: Versioned<PrimacyRecord>, {upstream, status}: PolledDatabase): PrimacyRecord {
	const state = blackboard.read();
	const created: PrimacyRecord = {
		group: record.group, term: status.term, primary: upstream.id, era: state.storeEra,
	};
	if (readSyncReplicas(state, record.group) === 0) {
		return created;
	}

	const isLasting = isAcceptingWork(state.upstreams.get(upstream.id) ?? upstream);
	return {
		...created,
		holders: [...findNextHolders(state, record, upstream.id)],
		promotion: isLasting
			? undefined
			: {
				id: `${identity.incarnation}-${version}-next`, isPlanned: true, reason: 'leaving', holder: createHolder(identity),
			},
	};
}
