/**
 * Detects primaries that do not respond to this host and reports them to the other hosts. A failed statement only starts a
 * series of probes, each on a new connection. A primary that only one of several hosts suspects is not replaced, because
 * the fault may lie with that host.
 */
import {waitUntil} from 'heatherpond-core';
import {UpstreamError} from 'heatherpond-session';
import {applySuspicion} from './apply-fleet-update.js';
import {FLEET_TABLE, SUSPICION_PREFIX, type SuspicionRecord} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import {StoreError} from './store-port.js';

/** Failure detector for the primaries that this host uses. */
export type PrimaryFailureDetector = {
	/** Records that a statement on a database failed or timed out. */
	readonly applyFailure: (database: string) => void;
};

const PROBE_TIMEOUT_MS = 250;
/** Milliseconds between the two probes of a round; a round fails when both fail. */
const PROBE_INTERVAL_MS = 150;
/** Milliseconds between rounds. */
const ROUND_INTERVAL_MS = 200;
const STORE_TIMEOUT_MS = 500;

/** Creates the failure detector, which probes until the signal aborts. */
export function createPrimaryFailureDetector(services: FleetServices, signal: AbortSignal): PrimaryFailureDetector {
	const probing = new Set<string>();
	return {
		applyFailure(database) {
			const group = findGroup(services, database);
			if (group !== undefined && !probing.has(database) && !signal.aborted) {
				probing.add(database);
				void checkPrimary(services, {group, database}, signal).finally(() => {
					probing.delete(database);
				});
			}
		},
	};
}

type Suspect = {readonly group: string; readonly database: string};

/** Finds the group whose recorded primary is the database, unless a promotion is in progress. */
function findGroup({blackboard}: FleetServices, database: string): string | undefined {
	return [...blackboard.read().primacies.values()].find(({record}) => record.primary === database && !record.promotion)?.record.group;
}

async function checkPrimary(services: FleetServices, suspect: Suspect, signal: AbortSignal): Promise<void> {
	const {clock} = services;
	let isSuspected = false;
	while (!signal.aborted && findGroup(services, suspect.database) === suspect.group) {
		if (await hasAnsweredProbes(services, suspect, signal)) {
			if (isSuspected) {
				await writeSuspicion(services, suspect, false);
			}

			return;
		}

		isSuspected ||= await writeSuspicion(services, suspect, true);
		await waitUntil(clock, clock.readNow() + ROUND_INTERVAL_MS, signal);
	}
}

/** Sends two overlapping probes; resolves to whether at least one was answered. */
async function hasAnsweredProbes(services: FleetServices, suspect: Suspect, signal: AbortSignal): Promise<boolean> {
	const first = hasAnsweredProbe(services, suspect);
	await waitUntil(services.clock, services.clock.readNow() + PROBE_INTERVAL_MS, signal);
	const results = await Promise.all([first, hasAnsweredProbe(services, suspect)]);
	return results.includes(true);
}

async function hasAnsweredProbe({clock, blackboard, databases}: FleetServices, {database}: Suspect): Promise<boolean> {
	const upstream = blackboard.read().upstreams.get(database);
	if (!upstream) {
		return false;
	}

	try {
		await databases.requestStatus(upstream, clock.readNow() + PROBE_TIMEOUT_MS);
		return true;
	} catch (error) {
		// A database that rejects the connection for lack of slots is alive. The caller logs unanswered probes.
		return error instanceof UpstreamError && error.failure === 'too_many';
	}
}

/** Writes or removes the suspicion of this host and notifies the other hosts; resolves to whether the store has accepted it. */
async function writeSuspicion({blackboard, identity, store, clock, writeEvent, sendSuspicion}: FleetServices, {group, database}: Suspect, isSuspected: boolean): Promise<boolean> {
	const term = blackboard.read().primacies.get(group)?.record.term;
	if (term === undefined) {
		return false;
	}

	const name = {table: FLEET_TABLE, key: `${SUSPICION_PREFIX}${group}/${identity.host}`};
	const record: SuspicionRecord = {
		host: identity.host, incarnation: identity.incarnation, group, database, term,
	};
	sendSuspicion(record, isSuspected);
	blackboard.update(state => applySuspicion(state, record, isSuspected));
	writeEvent(isSuspected ? 'primary_suspected' : 'primary_answers_again', {group, database, term});
	try {
		await store.writeRows({expected: [], puts: isSuspected ? [{...name, value: JSON.stringify(record)}] : [], removed: isSuspected ? [] : [name]}, clock.readNow() + STORE_TIMEOUT_MS);
		return true;
	} catch (error) {
		if (!(error instanceof StoreError)) {
			throw error;
		}

		writeEvent('suspicion_unwritten', {group, database, reason: error.message});
		return false;
	}
}
