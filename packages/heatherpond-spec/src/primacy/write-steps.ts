/** Steps of a client's write: dispatch, response, proof and acknowledgement. */
import {readClaimTerm} from 'heatherpond-core';
import {readGroup} from './log-node.js';
import {
	LEASE_DURATION, readLastPosition, readMemberStatus, type PrimacyState, type PrimacyStep, type WriteModel,
} from './primacy-state.js';
import type {StepContext, StepHandlers} from './step-handlers.js';
import {findByName, updateMember, updateWrite} from './update-state.js';

/** Handlers of the write steps. */
export const WRITE_STEPS: StepHandlers<'dispatch' | 'retry' | 'answer' | 'proveLease' | 'proveReplica' | 'acknowledge' | 'reportLost'> = {
	dispatch: (_, state, step) => applyDispatch(state, step),
	retry: (_, state, step) => applyDispatch(state, step),
	answer: (_, state, {write}) => updateWrite(state, write, {stage: 'answered'}),
	proveLease: (_, state, {write}) => updateWrite(state, write, {stage: 'proven', proof: 'lease'}),
	proveReplica: (_, state, {write}) => updateWrite(state, write, {stage: 'proven', proof: 'replica'}),
	acknowledge: (_, state, {write}) => applyAcknowledgement(state, write),
	reportLost: (_, state, {write}) => updateWrite(state, write, {stage: 'reportedLost'}),
};

function applyDispatch(state: PrimacyState, {write: id, host, member: database}: Extract<PrimacyStep, {kind: 'dispatch' | 'retry'}>): PrimacyState {
	const member = findByName(state.members, database);
	const history = [...member.history, {term: member.primaryTerm, write: id}];
	const {runs} = state.writes.find(write => write.id === id)!;
	return updateWrite(updateMember(state, database, {history}), id, {
		stage: 'dispatched', host, database, point: readLastPosition(history), runs: runs + 1,
	});
}

function applyAcknowledgement(state: PrimacyState, id: number): PrimacyState {
	const write = state.writes.find(candidate => candidate.id === id)!;
	const acknowledged = updateWrite(state, id, {stage: 'acknowledged'});
	const later = state.promotedPrimaries.filter(promoted => promoted.term > write.point.term);
	const newest = state.promotedPrimaries.toSorted((left, right) => right.term - left.term).at(0)!;
	if (write.proof === 'lease') {
		const isReplaced = newest.member !== write.database || (later.length > 0 && !hasWrite(newest, id));
		return isReplaced ? {...acknowledged, violation: 'no write is acknowledged by a primary that has been replaced'} : acknowledged;
	}

	return later.every(promoted => hasWrite(promoted, id)) ? acknowledged : {...acknowledged, violation: 'a write acknowledged with a replica proof is in every later primary'};
}

function hasWrite({history}: PrimacyState['promotedPrimaries'][number], id: number): boolean {
	return history.some(record => record.write === id);
}

/** Decides whether the host of a write currently holds a lease that proves the write. */
export function isLeaseProven({rules}: StepContext, state: PrimacyState, write: WriteModel): boolean {
	const {log, verifiedAt, name, fencedTerm} = findByName(state.hosts, write.host);
	return rules.isLeaseProof({
		group: readGroup(log), claim: write, stamp: {version: log.view.version, verifiedAt}, now: state.now, termLeaseMs: LEASE_DURATION, isRegistered: log.view.hosts[name] !== undefined, fencedTerm,
	});
}

/** Decides whether enough members hold a write in the term in which its database is primary. */
export function isReplicaProven({rules, scope}: StepContext, state: PrimacyState, write: WriteModel): boolean {
	const {log} = findByName(state.hosts, write.host);
	const term = scope.isStoreless ? write.point.term : readClaimTerm(readGroup(log), write);
	return rules.isReplicaProof(state.members.map(member => readMemberStatus(member)), write, term, scope.members.length);
}
