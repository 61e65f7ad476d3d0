/**
 * Detects primaries that do not respond to this host and reports them to the other hosts. A failed statement only starts a
 * series of probes, each on a new connection. A primary that only one of several hosts suspects is not replaced, because
 * the fault may lie with that host. A primary that accepts connections without answering in time may just be overloaded; to
 * replace it would move the load to another database with fewer left, so that gets more time.
 */
import {waitUntil} from 'heatherpond-core';
import {UpstreamError} from 'heatherpond-session';
import {applySuspicion} from './apply-fleet-update.js';
import {FLEET_TABLE, SUSPICION_PREFIX, type SuspicionRecord} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import {formatGroupHostKey} from './row-keys.js';
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
/** Number of failed rounds after which a suspicion that has not led to a promotion is written to the store. */
const ROUNDS_BEFORE_WRITE = 2;
/** Number of rounds in a row without an answer after which a primary is suspected although it accepts connections. */
const UNRESPONSIVE_ROUNDS = 4;
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
	let failedRounds = 0;
	let unresponsiveRounds = 0;
	let isWritten = false;
	while (!signal.aborted && findGroup(services, suspect.database) === suspect.group) {
		const outcome = await runProbes(services, suspect, signal);
		if (outcome === 'answered') {
			await endSuspicion(services, suspect, {isSuspected: failedRounds > 0, isWritten});
			return;
		}

		unresponsiveRounds = outcome === 'unresponsive' ? unresponsiveRounds + 1 : 0;
		const isSuspect = outcome === 'silent' || failedRounds > 0 || unresponsiveRounds >= UNRESPONSIVE_ROUNDS;
		if (!isSuspect) {
			services.writeEvent('primary_unresponsive', {group: suspect.group, database: suspect.database, rounds: unresponsiveRounds});
			await waitUntil(clock, clock.readNow() + ROUND_INTERVAL_MS, signal);
			continue;
		}

		failedRounds++;
		notifySuspicion(services, suspect, true);
		if (failedRounds >= ROUNDS_BEFORE_WRITE && !isWritten) {
			isWritten = await writeSuspicion(services, suspect, true);
		}

		await waitUntil(clock, clock.readNow() + ROUND_INTERVAL_MS, signal);
	}
}

async function endSuspicion(services: FleetServices, suspect: Suspect, {isSuspected, isWritten}: {readonly isSuspected: boolean; readonly isWritten: boolean}): Promise<void> {
	if (isSuspected) {
		notifySuspicion(services, suspect, false);
	}

	if (isWritten) {
		await writeSuspicion(services, suspect, false);
	}
}

/** What a probe, or a round of them, shows of a database. */
type ProbeOutcome = 'answered' | 'unresponsive' | 'silent';

/** Sends two overlapping probes; resolves to the better outcome. */
async function runProbes(services: FleetServices, suspect: Suspect, signal: AbortSignal): Promise<ProbeOutcome> {
	const first = runProbe(services, suspect);
	await waitUntil(services.clock, services.clock.readNow() + PROBE_INTERVAL_MS, signal);
	const outcomes = await Promise.all([first, runProbe(services, suspect)]);
	return (['answered', 'unresponsive'] as const).find(outcome => outcomes.includes(outcome)) ?? 'silent';
}

async function runProbe({clock, blackboard, databases}: FleetServices, {database}: Suspect): Promise<ProbeOutcome> {
	const upstream = blackboard.read().upstreams.get(database);
	if (!upstream) {
		return 'silent';
	}

	try {
		await databases.requestStatus(upstream, clock.readNow() + PROBE_TIMEOUT_MS);
		return 'answered';
	} catch (error) {
		return convertProbeError(error);
	}
}

/** A database that rejects a connection or a request for lack of slots is alive. The caller logs unanswered probes. */
function convertProbeError(error: unknown): ProbeOutcome {
	const failure = error instanceof UpstreamError ? error.failure : 'silent';
	if (failure === 'too_many') {
		return 'answered';
	}

	return failure === 'unresponsive' ? 'unresponsive' : 'silent';
}

/** Notifies the domain leaders that this host suspects the primary, or no longer does. */
function notifySuspicion(services: FleetServices, suspect: Suspect, isSuspected: boolean): void {
	const record = createSuspicion(services, suspect);
	if (record) {
		services.sendSuspicion(record, isSuspected);
		services.blackboard.update(state => applySuspicion(state, record, isSuspected));
		services.writeEvent(isSuspected ? 'primary_suspected' : 'primary_answers_again', {group: record.group, database: record.database, term: record.term});
	}
}

function createSuspicion({blackboard, identity}: FleetServices, {group, database}: Suspect): SuspicionRecord | undefined {
	const term = blackboard.read().primacies.get(group)?.record.term;
	return term === undefined
		? undefined
		: {
			host: identity.host, incarnation: identity.incarnation, group, database, term,
		};
}

/** Writes or removes the suspicion of this host, for when no domain leader can be reached; resolves to whether the store has accepted it. */
async function writeSuspicion(services: FleetServices, suspect: Suspect, isSuspected: boolean): Promise<boolean> {
	const {identity, store, clock, writeEvent} = services;
	const record = createSuspicion(services, suspect);
	if (!record) {
		return false;
	}

	const row = {table: FLEET_TABLE, key: `${SUSPICION_PREFIX}${formatGroupHostKey(record.group, identity.host)}`};
	try {
		await store.writeRows({expected: [], puts: isSuspected ? [{...row, value: JSON.stringify(record)}] : [], removed: isSuspected ? [] : [row]}, clock.readNow() + STORE_TIMEOUT_MS);
		return true;
	} catch (error) {
		if (!(error instanceof StoreError)) {
			throw error;
		}

		writeEvent('suspicion_unwritten', {group: record.group, database: record.database, reason: error.message});
		return false;
	}
}
