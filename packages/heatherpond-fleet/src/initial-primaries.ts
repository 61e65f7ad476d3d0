/** Records the first primary of a group: the database that reports itself as primary. */
import {FLEET_TABLE, PRIMACY_PREFIX, type PrimacyRecord} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import type {FleetState} from './fleet-state.js';
import type {PromotionController} from './promotion-controller-state.js';
import {waitForJitter} from './promotion-jitter.js';
import {formatRowKey} from './row-keys.js';
import type {Upstream} from './upstream.js';

const STORE_TIMEOUT_MS = 600;
const STATUS_TIMEOUT_MS = 400;
/** Milliseconds that hosts which are not preferred leave the preferred ones to record the initial primaries. */
const NON_PREFERRED_RECORD_DELAY_MS = 2500;

/** Finds the databases that are registered as primaries of groups without a record; once contracts are known, a group that none names is nobody's. */
function findUnrecordedPrimaries({upstreams, primacies, contracts}: Pick<FleetState, 'upstreams' | 'primacies' | 'contracts'>): readonly Upstream[] {
	return [...upstreams.values()].filter(({group, claimsPrimary, isLeaving}) => claimsPrimary && !isLeaving && !primacies.has(group) && (contracts === undefined || contracts.groups.has(group)));
}

/** Records a database as the primary of its group, if it confirms its role and no other host has recorded one; failures are logged. */
async function writeInitialPrimary({clock, databases, store, blackboard, refreshFleet, writeEvent}: FleetServices, upstream: Upstream): Promise<void> {
	const {group, id} = upstream;
	try {
		const status = await databases.requestStatus(upstream, clock.readNow() + STATUS_TIMEOUT_MS);
		if (!status.isPrimary || blackboard.read().primacies.has(group)) {
			return;
		}

		const record: PrimacyRecord = {
			group, term: status.term, primary: id, era: blackboard.read().storeEra,
		};
		const row = {table: FLEET_TABLE, key: formatRowKey(PRIMACY_PREFIX, group)};
		const result = await store.writeRows({expected: [{...row, version: 0}], puts: [{...row, value: JSON.stringify(record)}], removed: []}, clock.readNow() + STORE_TIMEOUT_MS);
		writeEvent('first_primary', {
			group, database: id, term: status.term, outcome: result.kind,
		});
		refreshFleet();
	} catch (error) {
		writeEvent('first_primary_failed', {group, database: id, reason: String(error)});
	}
}

/** Records the initial primary of a group that has no record; hosts that are not preferred leave it to the preferred ones for a while. */
export async function writeInitialPrimaries(controller: PromotionController, state: FleetState): Promise<void> {
	const {services, isPreferred} = controller;
	const {clock, random, blackboard} = services;
	const unrecorded = findUnrecordedPrimaries(state);
	controller.unrecordedSince = unrecorded.length === 0 ? Number.POSITIVE_INFINITY : Math.min(controller.unrecordedSince, clock.readNow());
	const isOwnTurn = isPreferred() || clock.readNow() >= controller.unrecordedSince + NON_PREFERRED_RECORD_DELAY_MS;
	if (unrecorded.length === 0 || !Number.isFinite(state.primacyVerifiedAt) || !isOwnTurn) {
		return;
	}

	await waitForJitter(controller);
	const upstream = unrecorded[Math.floor(random() * unrecorded.length)]!;
	if (!blackboard.read().primacies.has(upstream.group)) {
		await writeInitialPrimary(services, upstream);
	}
}
