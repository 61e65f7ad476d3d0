/** Enumerates the steps that are enabled in a state of the primacy model. */
import {findPrimary, isSurviving} from 'heatherpond-core';
import {isVerified} from './host-steps.js';
import {readGroup} from './log-node.js';
import {createLeaseHolder, findCandidate} from './primacy-rules.js';
import {
	LEASE_DURATION, TICK_DURATION,
	type HostModel, type PrimacyScope, type PrimacyState, type PrimacyStep, type PromotionState, type WriteModel,
} from './primacy-state.js';
import {decidePromotionTerm} from './promotion-steps.js';
import type {StepContext} from './step-handlers.js';
import {findByName} from './update-state.js';
import {isLeaseProven, isReplicaProven} from './write-steps.js';

/** Collects every step that is enabled in a state. */
export function collectPrimacySteps(context: StepContext, state: PrimacyState): readonly PrimacyStep[] {
	const ticks: readonly PrimacyStep[] = state.now < context.scope.maxTicks * TICK_DURATION ? [{kind: 'tick'}] : [];
	return [
		...ticks,
		...state.hosts.flatMap(host => collectHostSteps(context, state, host)),
		...state.hosts.flatMap(host => collectPromotionSteps(context, state, host)),
		...collectReplicationSteps(context, state),
		...state.writes.flatMap(write => collectWriteSteps(context, state, write)),
	];
}

function collectHostSteps({scope}: StepContext, state: PrimacyState, host: HostModel): readonly PrimacyStep[] {
	const {name, answer} = host;
	const isRelayed = scope.relay !== undefined && scope.writers.includes(name);
	const peers = isRelayed ? state.hosts.filter(peer => peer.name === scope.relay && isVerified(peer)) : [];
	return [
		...(answer ? [{kind: 'receive', host: name} as const] : []),
		...(!answer && !isRelayed && isStampRequestUseful(scope, state, host) ? [{kind: 'ask', host: name} as const] : []),
		...(answer ? [] : peers.map(peer => ({kind: 'askPeer', host: name, peer: peer.name} as const))),
		...(scope.removable.includes(name) && state.head.view.hosts[name] ? [{kind: 'remove', host: name} as const] : []),
	];
}

/** Decides whether a request would tell the host anything new: a log entry, or, for a host that uses stamps, a newer stamp. */
function isStampRequestUseful(scope: PrimacyScope, state: PrimacyState, host: HostModel): boolean {
	const needsStamp = scope.relay === host.name || scope.writers.includes(host.name);
	return host.log !== state.head || (needsStamp && host.verifiedAt < state.now);
}

function collectPromotionSteps(context: StepContext, state: PrimacyState, host: HostModel): readonly PrimacyStep[] {
	const {scope, rules} = context;
	const {name, promotion} = host;
	const mayDecide = decidePromotionTerm(host, scope.isStoreless) <= (scope.promoters[name] ?? 0)
		&& (scope.isStoreless ? rules.isStorelessAllowed(scope.durability) : !promotion);
	const decisions: readonly PrimacyStep[] = mayDecide ? [{kind: 'decide', host: name}] : [];
	if (!promotion) {
		return decisions;
	}

	if (promotion.stage === 'asked') {
		return [{kind: promotion.entry ? 'learn' : 'append', host: name}];
	}

	const following = promotion.stage === 'promoted' ? collectPromotedSteps(context, host) : collectInProgressSteps(context, state, host, promotion);
	return [...decisions, ...following];
}

function collectPromotedSteps({scope}: StepContext, host: HostModel): readonly PrimacyStep[] {
	return scope.isStoreless ? [] : [{kind: 'record', host: host.name}];
}

function collectInProgressSteps(context: StepContext, state: PrimacyState, host: HostModel, promotion: PromotionState): readonly PrimacyStep[] {
	const {rules, scope} = context;
	const {name} = host;
	const needsGrants = promotion.granted.length < rules.countMajority(scope.members.length);
	const raises = state.members
		.filter(member => needsGrants && !promotion.granted.some(grant => grant.name === member.name) && rules.isGranted(member, promotion.term, name))
		.map(member => ({kind: 'raise', host: name, member: member.name} as const));
	const confirmations = scope.isStoreless
		? []
		: state.hosts
			.filter(peer => !promotion.confirmed.includes(peer.name))
			.map(peer => ({kind: 'confirm', host: name, peer: peer.name} as const));
	return [...raises, ...confirmations, ...(isPromotable(context, state, host, promotion) ? [{kind: 'promote', host: name} as const] : [])];
}

function isPromotable({rules}: StepContext, state: PrimacyState, host: HostModel, promotion: PromotionState): boolean {
	const {confirmed, entry, term, knownAt} = promotion;
	const candidate = findCandidate(rules, promotion, host);
	const isWaitOver = !entry || rules.hasEndedLeases({
		knownAt, now: state.now, termLeaseMs: LEASE_DURATION, holders: rules.findLeaseHolders(host, state.now), confirmed: confirmed.map(name => createLeaseHolder(name)),
	});
	return isWaitOver && candidate !== undefined && rules.isPromotionAccepted(findByName(state.members, candidate), term, host.name);
}

function collectReplicationSteps({rules}: StepContext, state: PrimacyState): readonly PrimacyStep[] {
	return state.members
		.filter(from => from.primaryTerm > 0 && !rules.isFenced(from))
		.flatMap(from => state.members
			.filter(to => to.name !== from.name && rules.isReplicationAccepted(to, from.primaryTerm))
			.map(to => ({kind: 'replicate', from: from.name, to: to.name})));
}

function collectWriteSteps(context: StepContext, state: PrimacyState, write: WriteModel): readonly PrimacyStep[] {
	switch (write.stage) {
		case 'queued': {
			return collectDispatchSteps(context, state, write, 'dispatch');
		}

		case 'dispatched': {
			const retries = context.rules.isRetried(write) ? collectDispatchSteps(context, state, write, 'retry') : [];
			return [{kind: 'answer', write: write.id, host: write.host}, ...retries];
		}

		case 'answered': {
			return collectProofSteps(context, state, write);
		}

		case 'proven': {
			const isReleased = write.proof === 'replica' || !context.rules.isLeaseRecheckedAtRelease || isLeaseProven(context, state, write);
			return isReleased ? [{kind: 'acknowledge', write: write.id, host: write.host}] : [];
		}

		case 'acknowledged': {
			return collectLossReportSteps(state, write);
		}

		case 'reportedLost': {
			return [];
		}
	}
}

function collectDispatchSteps({rules, scope}: StepContext, state: PrimacyState, write: WriteModel, kind: 'dispatch' | 'retry'): readonly PrimacyStep[] {
	return state.hosts.filter(host => scope.writers.includes(host.name)).flatMap(host => {
		const database = findPrimary(readGroup(host.log));
		return state.members
			.filter(member => member.primaryTerm > 0 && !rules.isFenced(member) && (scope.isStoreless || member.name === database))
			.map(member => ({
				kind, write: write.id, host: host.name, member: member.name,
			}));
	});
}

function collectProofSteps(context: StepContext, state: PrimacyState, write: WriteModel): readonly PrimacyStep[] {
	const {id, host} = write;
	const {durability, hasFallback} = context.scope;
	const hasLease = durability === 'primary' && isLeaseProven(context, state, write);
	const mayUseReplica = durability === 'replica' || (hasFallback && !hasLease);
	return [
		...(hasLease ? [{kind: 'proveLease', write: id, host} as const] : []),
		...(mayUseReplica && isReplicaProven(context, state, write) ? [{kind: 'proveReplica', write: id, host} as const] : []),
	];
}

/** Collects the hosts that may tell a session holding a write's token that the write was lost. */
function collectLossReportSteps(state: PrimacyState, write: WriteModel): readonly PrimacyStep[] {
	return state.hosts
		.filter(host => {
			const group = readGroup(host.log);
			return group.term > write.point.term && !isSurviving(write.point, group.term, group.termStarts);
		})
		.map(host => ({kind: 'reportLost', write: write.id, host: host.name}));
}
