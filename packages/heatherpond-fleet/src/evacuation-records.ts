/**
 * Records evacuations in the store. The operator's row of an evacuation is gone once it has ended, so a host that starts shortly
 * afterwards could not know that the databases of the failure domain are still cold.
 */
import {startLoop, type Instant} from 'heatherpond-core';
import {EVACUATION_PREFIX, FLEET_TABLE, type EvacuationRecord} from './fleet-records.js';
import type {FleetState} from './fleet-state.js';
import {findNextPoll, PEER_POLL_INTERVAL_MS} from './poll-schedule.js';
import {formatRowKey} from './row-keys.js';
import type {RecordWriterOptions} from './record-writer-options.js';
import {StoreError} from './store-port.js';

const STORE_TIMEOUT_MS = 600;

/** Starts to write the records, until the signal aborts. */
export function startEvacuationRecords({services, isPreferred, pollPhase, signal}: RecordWriterOptions): void {
	const {blackboard, clock, store, refreshFleet, writeEvent} = services;

	async function writeDueRecords(): Promise<void> {
		const due = isPreferred() ? findDueRecords(blackboard.read(), clock.readNow()) : [];
		if (due.length === 0) {
			return;
		}

		try {
			await store.writeRows({
				expected: [], puts: due.map(record => ({table: FLEET_TABLE, key: formatRowKey(EVACUATION_PREFIX, record.domain), value: JSON.stringify(record)})), removed: [],
			}, clock.readNow() + STORE_TIMEOUT_MS);
			writeEvent('evacuations_recorded', {domains: due.map(({domain}) => domain).join(',')});
			refreshFleet();
		} catch (error) {
			if (!(error instanceof StoreError)) {
				throw error;
			}

			writeEvent('evacuations_unrecorded', {reason: error.message});
		}
	}

	const loop = startLoop(clock, async () => {
		await writeDueRecords();
		return findNextPoll(clock.readNow(), PEER_POLL_INTERVAL_MS, pollPhase);
	}, signal);
	const stopListening = blackboard.registerListener(({evacuations}) => evacuations, loop.wake);
	signal.addEventListener('abort', stopListening, {once: true});
}

/** Finds the records to write: of evacuations that have started or ended, where cold databases are limited at all. */
export function findDueRecords(state: FleetState, now: Instant): readonly EvacuationRecord[] {
	const {contracts, contractsVerifiedAt, evacuations, evacuationEnds, evacuationRecords, storeClockOffset, primacyVerifiedAt, isStopping} = state;
	const warmUpMs = Math.max(0, ...[...contracts?.groups.values() ?? []].map(group => group.coldPerSecond ? group.warmUpMs ?? 0 : 0));
	if (warmUpMs === 0 || isStopping || !Number.isFinite(primacyVerifiedAt)) {
		return [];
	}

	const started = [...evacuations.keys()].filter(domain => !evacuationRecords.has(domain) || evacuationRecords.get(domain)!.endedAt !== undefined);
	// A host that reads the records first may not know yet that the evacuation goes on.
	const ended = [...evacuationEnds]
		.filter(([, endedAt]) => contractsVerifiedAt >= endedAt)
		.filter(([domain, endedAt]) => !evacuations.has(domain) && (evacuationRecords.has(domain) || now < endedAt + warmUpMs))
		.filter(([domain]) => evacuationRecords.get(domain)?.endedAt === undefined);
	return [
		...started.map(domain => ({domain})),
		...ended.map(([domain, endedAt]) => ({domain, endedAt: Math.floor(endedAt + storeClockOffset)})),
	];
}
