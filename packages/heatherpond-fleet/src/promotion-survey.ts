/** What a promotion learns of the databases of its group, and what it does with the old primary. */
import {waitUntil, type Deadline} from 'heatherpond-core';
import {compareLogPositions} from 'heatherpond-session';
import {selectCandidate, type CandidateChoice} from './candidate-choice.js';
import {findCommitHolders, readSyncReplicas} from './commit-holders.js';
import type {PrimacyRecord} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import {createHomeCheck, type PolledDatabase} from './promotion-decisions.js';
import type {PromotionTask} from './promotion-run.js';
import type {Upstream} from './upstream.js';

const STATUS_TIMEOUT_MS = 300;
/** Status timeout in milliseconds of an old primary that is not expected to respond. */
const FAILED_PRIMARY_TIMEOUT_MS = 180;
/** Milliseconds for which the candidate may catch up with the old primary before that one is stepped down. */
const CATCH_UP_TIMEOUT_MS = 600;
/** Milliseconds between two status requests to a candidate that catches up. */
const CATCH_UP_POLL_MS = 20;

/** Finds the candidate that an earlier run has recorded, unless it is excluded or no longer registered. */
export function findPersistedChoice({blackboard}: FleetServices, {promotion}: PrimacyRecord, excluded: ReadonlySet<string>): CandidateChoice | undefined {
	const id = promotion?.candidate;
	const upstream = id === undefined || excluded.has(id) ? undefined : blackboard.read().upstreams.get(id);
	return upstream && {kind: 'chosen', upstream, mustCatchUp: false};
}

/** Databases that are not running, and whether the candidate may catch up with the old primary. */
type SurveyRules = {readonly excluded: ReadonlySet<string>; readonly mayCatchUp: boolean};

/** Selects the candidate by what the databases have told. */
export function selectByStatus({blackboard, readRegion}: FleetServices, record: PrimacyRecord, polled: readonly PolledDatabase[], {excluded, mayCatchUp}: SurveyRules): CandidateChoice {
	const state = blackboard.read();
	return selectCandidate({
		polled, syncReplicas: readSyncReplicas(state, record.group), holders: findCommitHolders(state, record), mayCatchUp,
	}, record, {excluded, isAtHome: createHomeCheck(state, record, readRegion)});
}

/** Requests the status of every database of the group, including the old primary; omits those that do not respond. */
export async function requestGroupStatus({clock, blackboard, databases}: FleetServices, {primacy: {record}, oldPrimary}: PromotionTask): Promise<readonly PolledDatabase[]> {
	const now = clock.readNow();
	const readDeadline = ({id}: Upstream): Deadline => now + (id === record.primary && !record.promotion?.isPlanned ? FAILED_PRIMARY_TIMEOUT_MS : STATUS_TIMEOUT_MS);
	const members = [...blackboard.read().upstreams.values()].filter(({group}) => group === record.group);
	const all = oldPrimary && !members.some(({id}) => id === oldPrimary.id) ? [...members, oldPrimary] : members;
	const responses = await Promise.allSettled(all.map(async upstream => ({upstream, status: await databases.requestStatus(upstream, readDeadline(upstream))})));
	return responses.filter(response => response.status === 'fulfilled').map(({value}) => value);
}

/** Waits until the candidate holds what an old primary that still responds held; resolves to whether it does, or rejects when it does not respond. */
async function hasCaughtUp({clock, databases}: FleetServices, old: PolledDatabase, polled: readonly PolledDatabase[], candidate: Upstream): Promise<boolean> {
	const deadline: Deadline = clock.readNow() + CATCH_UP_TIMEOUT_MS;
	let {point} = polled.find(({upstream}) => upstream.id === candidate.id)?.status ?? await databases.requestStatus(candidate, clock.readNow() + STATUS_TIMEOUT_MS);
	while (compareLogPositions(point, old.status.point) < 0 && clock.readNow() < deadline) {
		await waitUntil(clock, clock.readNow() + CATCH_UP_POLL_MS, new AbortController().signal);
		({point} = await databases.requestStatus(candidate, clock.readNow() + STATUS_TIMEOUT_MS));
	}

	return compareLogPositions(point, old.status.point) >= 0;
}

function findOldPrimary({primacy: {record}}: PromotionTask, polled: readonly PolledDatabase[]): PolledDatabase | undefined {
	return polled.find(({upstream, status}) => upstream.id === record.primary && status.isPrimary);
}

/** Waits until the candidate holds every commit that the old primary may have acknowledged; resolves to whether it does. */
export async function waitForCatchUp(services: FleetServices, task: PromotionTask, polled: readonly PolledDatabase[], candidate: Upstream): Promise<boolean> {
	const {record: {group}} = task.primacy;
	try {
		return await hasCaughtUp(services, findOldPrimary(task, polled)!, polled, candidate);
	} catch (error) {
		services.writeEvent('candidate_silent', {group, database: candidate.id, reason: String(error)});
		return false;
	}
}

/** Lets the candidate catch up with an old primary that still responds, then demotes the old primary to a replica. */
export async function stopOldPrimary(services: FleetServices, task: PromotionTask, polled: readonly PolledDatabase[], candidate: Upstream): Promise<void> {
	const {clock, databases, writeEvent} = services;
	const {record} = task.primacy;
	const old = findOldPrimary(task, polled);
	if (!old) {
		return;
	}

	try {
		const isComplete = await hasCaughtUp(services, old, polled, candidate);
		await databases.requestStepDown(old.upstream, record.term + 1, clock.readNow() + STATUS_TIMEOUT_MS);
		writeEvent('primary_stepped_down', {group: record.group, database: old.upstream.id, caught_up: isComplete});
	} catch (error) {
		// No host holds a lease on the old primary any more; it can be demoted once it is reachable.
		writeEvent('step_down_failed', {group: record.group, database: old.upstream.id, reason: String(error)});
	}
}
