/**
 * Keeps the list of databases that may hold an acknowledged commit, in the primacy records of groups with synchronous replicas.
 * A replica is listed as soon as it is registered. One that has departed stays listed until another replica has caught up with the
 * primary: until then it may hold what no other replica does.
 */
import {startLoop} from 'heatherpond-core';
import {
	findCommitHolders, findDepartedHolders, findReplicas, isCaughtUp, readSyncReplicas,
} from './commit-holders.js';
import type {PrimacyRecord} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import type {FleetState, Versioned} from './fleet-state.js';
import {findNextPoll, PEER_POLL_INTERVAL_MS} from './poll-schedule.js';
import {isAffirmed} from './primacy.js';
import {writePrimacy} from './promotion-records.js';
import type {RecordWriterOptions} from './record-writer-options.js';
import {StoreError} from './store-port.js';

const STATUS_TIMEOUT_MS = 300;

/** Starts to keep the lists, until the signal aborts. */
export function startCommitHolderRecords({services, isPreferred, pollPhase, signal}: RecordWriterOptions): void {
	const {blackboard, clock} = services;
	const loop = startLoop(clock, async () => {
		const state = blackboard.read();
		const due = isPreferred() && isAbleToWrite(state) ? findOutdatedRecords(state) : [];
		await Promise.all(due.map(async primacy => recordHolders(services, primacy)));
		return findNextPoll(clock.readNow(), PEER_POLL_INTERVAL_MS, pollPhase);
	}, signal);
	const stopListening = blackboard.registerListener(({upstreams}) => upstreams, loop.wake);
	signal.addEventListener('abort', stopListening, {once: true});
}

function isAbleToWrite({isStopping, primacyVerifiedAt}: FleetState): boolean {
	return !isStopping && Number.isFinite(primacyVerifiedAt);
}

/** Finds the records whose lists lack a replica, or name one that has departed. */
function findOutdatedRecords(state: FleetState): ReadonlyArray<Versioned<PrimacyRecord>> {
	return [...state.primacies.values()].filter(({record}) =>
		readSyncReplicas(state, record.group) > 0 && record.primary !== undefined && !record.promotion && isAffirmed(state, record)
		&& (findUnlisted(state, record).length > 0 || findDepartedHolders(state, record).length > 0));
}

function findUnlisted(state: FleetState, record: PrimacyRecord): readonly string[] {
	return findReplicas(state, record).filter(id => !record.holders?.includes(id));
}

/** Updates the list of one group; a failure is logged, and the next step tries again. */
async function recordHolders(services: FleetServices, primacy: Versioned<PrimacyRecord>): Promise<void> {
	const {blackboard, writeEvent} = services;
	const {record} = primacy;
	const state = blackboard.read();
	try {
		const isDepartureSafe = findDepartedHolders(state, record).length > 0 && await hasCaughtUpReplica(services, record);
		const holders = isDepartureSafe ? findReplicas(state, record).toSorted() : findCommitHolders(state, record);
		if (holders.join(' ') === record.holders?.join(' ')) {
			return;
		}

		const written = await writePrimacy(services, primacy, {...record, holders: [...holders]});
		writeEvent('commit_holders_recorded', {group: record.group, holders: holders.join(','), outcome: written ? 'done' : 'conflict'});
	} catch (error) {
		if (!(error instanceof StoreError)) {
			throw error;
		}

		writeEvent('commit_holders_unrecorded', {group: record.group, reason: error.message});
	}
}

/** Whether a replica of the group holds everything that the primary held when it was asked. */
async function hasCaughtUpReplica({blackboard, clock, databases, writeEvent}: FleetServices, record: PrimacyRecord): Promise<boolean> {
	const {upstreams} = blackboard.read();
	const primary = upstreams.get(record.primary!);
	if (!primary) {
		return false;
	}

	try {
		const status = await databases.requestStatus(primary, clock.readNow() + STATUS_TIMEOUT_MS);
		const replicas = findReplicas({upstreams}, record).map(id => upstreams.get(id)!);
		const answers = await Promise.allSettled(replicas.map(async replica => databases.requestStatus(replica, clock.readNow() + STATUS_TIMEOUT_MS)));
		return status.term === record.term && answers.some(answer => answer.status === 'fulfilled' && isCaughtUp(status, answer.value));
	} catch (error) {
		writeEvent('commit_holders_unchecked', {group: record.group, reason: String(error)});
		return false;
	}
}
