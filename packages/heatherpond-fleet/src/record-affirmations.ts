/** Affirms the records of primaries after the store has come back from an older copy, so that hosts may rely on them again. */
import type {Instant} from 'heatherpond-core';
import type {DatabaseStatus} from './database-control-port.js';
import {applyPrimacy} from './apply-fleet-update.js';
import {FLEET_TABLE, PRIMACY_PREFIX, type PrimacyRecord} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import type {FleetState, Versioned} from './fleet-state.js';
import {isAffirmed} from './primacy.js';
import {formatRowKey} from './row-keys.js';
import {decideAffirmation} from './store-restore.js';
import {readEra} from './store-version.js';
import type {Upstream} from './upstream.js';

const STORE_TIMEOUT_MS = 600;
const STATUS_TIMEOUT_MS = 300;
/** Maximum number of records affirmed in one transaction. */
const MAX_AFFIRMED_PER_TRANSACTION = 40;

/** Finds the records on which no host relies in the current era. */
export function findUnaffirmed(state: FleetState): ReadonlyArray<Versioned<PrimacyRecord>> {
	return [...state.primacies.values()].filter(({record}) => !isAffirmed(state, record));
}

/**
 * Affirms as many records as possible at present; those of one transaction together.
 *
 * @throws StoreError when the store does not accept the transaction
 */
export async function recordAffirmations(services: FleetServices, state: FleetState, now: Instant): Promise<void> {
	const decided = findUnaffirmed(state).map(({record, version}) => ({record, version, decision: decideAffirmation(state, record, now)}));
	const known = decided.flatMap(({version, decision}) => decision.kind === 'write' ? [{record: decision.record, version}] : []);
	const surveyed = await Promise.all(decided
		.filter(({decision}) => decision.kind === 'survey')
		.map(async ({record, version}) => ({record: await requestPrimary(services, state, record), version})));
	const affirmed = [...known, ...surveyed].slice(0, MAX_AFFIRMED_PER_TRANSACTION);
	if (affirmed.length > 0) {
		await writeAffirmed(services, state, affirmed);
	}
}

/** Asks the databases of a group which one is primary. Without any, the record of the highest known term stays, so that its primary is replaced as usual. */
async function requestPrimary({databases, clock}: FleetServices, state: FleetState, record: PrimacyRecord): Promise<PrimacyRecord> {
	const members = [...state.upstreams.values()].filter(({group}) => group === record.group);
	const deadline = clock.readNow() + STATUS_TIMEOUT_MS;
	const responses = await Promise.allSettled(members.map(async upstream => ({upstream, status: await databases.requestStatus(upstream, deadline)})));
	const newest = responses
		.filter(response => response.status === 'fulfilled')
		.map(({value}) => value)
		.filter(({status}) => status.isPrimary)
		.toSorted((left, right) => right.status.term - left.status.term)
		.at(0);
	return {...record, ...findReportedPrimary(state, record, newest), era: state.storeEra};
}

function findReportedPrimary({knownTerms}: FleetState, {group, term}: PrimacyRecord, newest: {readonly upstream: Upstream; readonly status: DatabaseStatus} | undefined): Partial<PrimacyRecord> {
	const minTerm = Math.max(term, knownTerms.get(group) ?? 0);
	return newest && newest.status.term >= minTerm ? {primary: newest.upstream.id, term: newest.status.term} : {};
}

async function writeAffirmed(services: FleetServices, {storeEra}: FleetState, affirmed: ReadonlyArray<Versioned<PrimacyRecord>>): Promise<void> {
	const {store, clock, blackboard, sendPrimacy, refreshFleet, writeEvent} = services;
	const rows = affirmed.map(({record, version}) => ({
		table: FLEET_TABLE, key: formatRowKey(PRIMACY_PREFIX, record.group), version: readEra(version) === storeEra ? version : 0, value: JSON.stringify(record),
	}));
	const result = await store.writeRows({expected: rows, puts: rows, removed: []}, clock.readNow() + STORE_TIMEOUT_MS);
	writeEvent('primaries_affirmed', {
		era: storeEra, groups: affirmed.map(({record}) => `${record.group}:${record.primary ?? ''}:${record.term}`).join(','), outcome: result.kind,
	});
	refreshFleet();
	if (result.kind === 'done') {
		affirmed.map(({record}) => ({record, version: result.version})).forEach(written => {
			blackboard.update(state => applyPrimacy(state, written));
			sendPrimacy(written);
		});
	}
}
