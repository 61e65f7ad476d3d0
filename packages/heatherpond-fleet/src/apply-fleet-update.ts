/** Applies updates of the fleet table, from the store or from other hosts, to the fleet state. */
import type {Instant} from 'heatherpond-core';
import {
	CONFIRMATION_PREFIX, confirmationSchema, EVACUATION_PREFIX, evacuationRecordSchema, PROMOTION_LEASE_KEY, promotionLeaseSchema, parseRecord, PRIMACY_PREFIX, primacySchema, SUSPICION_PREFIX, suspicionSchema,
	type ConfirmationRecord, type PrimacyRecord, type SuspicionRecord,
} from './fleet-records.js';
import type {FleetState, Versioned} from './fleet-state.js';
import {formatGroupHostKey} from './row-keys.js';
import type {RowChange} from './store-port.js';
import type {TableUpdate} from './table-follower.js';

/** Applies a snapshot of the fleet table, or its changes since the previous update. */
export function applyFleetUpdate(state: FleetState, {kind, page, requestedAt, receivedAt}: TableUpdate): FleetState {
	const start: FleetState = kind === 'snapshot'
		? {
			...state, primacies: new Map(), duty: undefined, confirmations: new Map(), suspicions: new Map(), evacuationRecords: new Map(),
		}
		: state;
	const changed = page.rows.reduce(applyRow, start);
	const next = applyNewerPrimacies(state, changed);
	const verifiedAt = Math.max(next.primacyVerifiedAt, requestedAt);
	return {
		...next,
		primacyVerifiedAt: verifiedAt,
		leaseVerifiedAt: renewLeases(next, requestedAt),
		ownConfirmations: new Map([...next.ownConfirmations].filter(([group, own]) => next.primacies.get(group)?.record.promotion?.id === own.promotionId)),
		storeClockOffset: page.storeNow - receivedAt,
		evacuationEnds: applyRecordedEnds(next, receivedAt, page.storeNow - receivedAt),
	};
}

/** Adds the ends of evacuations that this host has only read of; one whose end has not been recorded yet counts as ended now. */
function applyRecordedEnds({evacuations, evacuationEnds, evacuationRecords}: FleetState, now: Instant, storeClockOffset: number): ReadonlyMap<string, Instant> {
	const later = [...evacuationRecords.values()]
		.filter(({domain, endedAt}) => !evacuations.has(domain) && (endedAt !== undefined || !evacuationEnds.has(domain)))
		.map(({domain, endedAt}) => [domain, endedAt === undefined ? now : endedAt - storeClockOffset] as const)
		.filter(([domain, endedAt]) => endedAt > (evacuationEnds.get(domain) ?? Number.NEGATIVE_INFINITY));
	return later.length === 0 ? evacuationEnds : new Map([...evacuationEnds, ...later]);
}

/** Extends the lease of each primary that has no promotion in progress; a lease starts when the verifying request was sent. */
function renewLeases(state: FleetState, requestedAt: Instant): ReadonlyMap<string, Instant> {
	const withoutPromotion = [...state.primacies.values()].filter(({record}) => !record.promotion);
	return new Map([
		...state.leaseVerifiedAt,
		...withoutPromotion.map(({record}) => [record.group, Math.max(state.leaseVerifiedAt.get(record.group) ?? Number.NEGATIVE_INFINITY, requestedAt)] as const),
	]);
}

/** Restores records that are newer than those of the update, so that a delayed response never reverts a primary. */
function applyNewerPrimacies(previous: FleetState, next: FleetState): FleetState {
	const primacies = new Map([...previous.primacies].filter(([group, known]) => !((next.primacies.get(group)?.version ?? -1) >= known.version)));
	return primacies.size === 0 ? next : {...next, primacies: new Map([...next.primacies, ...primacies])};
}

function applyRow(state: FleetState, row: RowChange): FleetState {
	if (row.key.startsWith(PRIMACY_PREFIX)) {
		const record = row.value === undefined ? undefined : parseRecord(primacySchema, row.value);
		return record ? {...state, primacies: insertNewer(state.primacies, record, row.version)} : state;
	}

	if (row.key === PROMOTION_LEASE_KEY) {
		const record = row.value === undefined ? undefined : parseRecord(promotionLeaseSchema, row.value);
		return record && row.version >= (state.duty?.version ?? 0) ? {...state, duty: {record, version: row.version}} : state;
	}

	if (row.key.startsWith(EVACUATION_PREFIX)) {
		const record = row.value === undefined ? undefined : parseRecord(evacuationRecordSchema, row.value);
		return record ? {...state, evacuationRecords: new Map([...state.evacuationRecords, [record.domain, record]])} : state;
	}

	return applyHostRow(state, row);
}

/** Applies a primacy record that this host has just written, or that another host has sent. */
export function applyPrimacy(state: FleetState, {record, version}: Versioned<PrimacyRecord>): FleetState {
	const primacies = insertNewer(state.primacies, record, version);
	return primacies === state.primacies ? state : {...state, primacies};
}

/** Applies the message of a host that it has confirmed a promotion. */
export function applyConfirmation(state: FleetState, {host, group, promotionId}: ConfirmationRecord): FleetState {
	return {...state, confirmations: new Map([...state.confirmations, [formatGroupHostKey(group, host), promotionId]])};
}

/** Applies the message of a host that it suspects a primary to have failed, or that it no longer does. */
export function applySuspicion(state: FleetState, record: SuspicionRecord, isSuspected: boolean): FleetState {
	const suspicions = new Map(state.suspicions);
	const name = formatGroupHostKey(record.group, record.host);
	return {...state, suspicions: isSuspected ? suspicions.set(name, record) : removeKey(suspicions, name)};
}

function insertNewer(primacies: FleetState['primacies'], record: PrimacyRecord, version: number): ReadonlyMap<string, Versioned<PrimacyRecord>> {
	const known = primacies.get(record.group);
	return known && known.version >= version ? primacies : new Map([...primacies, [record.group, {record, version}]]);
}

function applyHostRow(state: FleetState, {key, value}: RowChange): FleetState {
	if (key.startsWith(CONFIRMATION_PREFIX)) {
		const record = value === undefined ? undefined : parseRecord(confirmationSchema, value);
		const confirmations = new Map(state.confirmations);
		return {...state, confirmations: record ? confirmations.set(key.slice(CONFIRMATION_PREFIX.length), record.promotionId) : removeKey(confirmations, key.slice(CONFIRMATION_PREFIX.length))};
	}

	if (key.startsWith(SUSPICION_PREFIX)) {
		const record = value === undefined ? undefined : parseRecord(suspicionSchema, value);
		const suspicions = new Map(state.suspicions);
		const name = key.slice(SUSPICION_PREFIX.length);
		return {...state, suspicions: record ? suspicions.set(name, record) : removeKey(suspicions, name)};
	}

	return state;
}

function removeKey<Value>(map: Map<string, Value>, key: string): Map<string, Value> {
	map.delete(key);
	return map;
}
