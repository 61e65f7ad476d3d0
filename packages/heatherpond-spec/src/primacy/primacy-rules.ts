/** The rules of primacy as functions, taken from the production code wherever it has them. Mutants replace some of them. */
import {
	countMajority, createPlatformStamp, createRelayedStamp, decideCandidate, decideLeaseHolders, decideNewerStamp, hasEndedLeases, isLeaseProof, isReplicaProof,
	type CandidateInput, type LeaseHolder, type LeaseInput, type LeaseWaitInput, type Stamp,
} from 'heatherpond-core';
import {readGroup, type LogNode} from './log-node.js';
import {
	LEASE_DURATION, BEFORE_ANY_LEASE, type HostModel, type MemberModel, type PrimacyScope, type PromotionState, type StampResponse, type WriteModel,
} from './primacy-state.js';

/** Every rule that a mutant may disable. */
export type PrimacyRules = {
	/** Creates the stamp for a response that arrives at `now`. */
	readonly createStamp: (answer: StampResponse, now: number) => Stamp;
	readonly decideNewerStamp: (current: Stamp, candidate: Stamp) => Stamp;
	/** Whether an append succeeds: the log has not changed since its writer read it. */
	readonly isAppendAccepted: (read: LogNode, head: LogNode) => boolean;
	readonly isLeaseProof: (input: LeaseInput) => boolean;
	/** Whether the lease proof is checked again when the acknowledgement is sent. */
	readonly isLeaseRecheckedAtRelease: boolean;
	readonly isReplicaProof: typeof isReplicaProof;
	/** Whether a member grants a term to a promoter. */
	readonly isGranted: (member: MemberModel, term: number, promoter: string) => boolean;
	/** Whether a member accepts replication from the primary of a term. */
	readonly isReplicationAccepted: (member: MemberModel, term: number) => boolean;
	/** Whether a primary rejects writes because it has granted a term higher than its own. */
	readonly isFenced: (member: MemberModel) => boolean;
	readonly countMajority: (members: number) => number;
	readonly decideCandidate: (input: CandidateInput) => string | undefined;
	/** Finds the hosts that may still hold a lease on the previous term. */
	readonly findLeaseHolders: (promoter: HostModel, now: number) => readonly LeaseHolder[];
	readonly hasEndedLeases: (input: LeaseWaitInput) => boolean;
	/** Start of the wait for leases on the previous term; read when the promoter learns that its entry was appended. */
	readonly readWaitStart: (promotion: PromotionState, now: number) => number;
	/** Whether a host that confirms a promotion stops using leases on lower terms. */
	readonly isConfirmationBinding: boolean;
	/** Whether a promotion may proceed while the store is unavailable. */
	readonly isStorelessAllowed: (durability: PrimacyScope['durability']) => boolean;
	/** Whether a member accepts to become primary in a term, on request of a promoter. */
	readonly isPromotionAccepted: (member: MemberModel, term: number, promoter: string) => boolean;
	/** Whether the end of a promotion may be appended to the log that the promoter has read. */
	readonly isEndRecorded: (read: LogNode, term: number) => boolean;
	/** Whether a write may be sent to a database again. */
	readonly isRetried: (write: WriteModel) => boolean;
};

/** Creates the lease holder of a host; in this model, each host has a single incarnation. */
export function createLeaseHolder(host: string): LeaseHolder {
	return {host, incarnation: host};
}

/** The rules of the production code, unchanged. */
export const PRIMACY_RULES: PrimacyRules = {
	createStamp: ({askedAt, age, log, isRelayed}) => isRelayed ? createRelayedStamp(log.view.version, age, askedAt) : createPlatformStamp(log.view.version, askedAt),
	decideNewerStamp,
	isAppendAccepted: (read, head) => read === head,
	isLeaseProof,
	isLeaseRecheckedAtRelease: true,
	isReplicaProof,
	isGranted: (member, term, promoter) => member.term < term || (member.term === term && member.grantedTo === promoter),
	isReplicationAccepted: (member, term) => term >= member.term,
	isFenced: member => member.primaryTerm < member.term,
	countMajority,
	decideCandidate,
	findLeaseHolders: ({removals, log}, now) => decideLeaseHolders({
		registered: Object.keys(log.view.hosts).map(host => createLeaseHolder(host)),
		former: removals.map(({host, seenAt}) => ({...createLeaseHolder(host), noticedAt: seenAt})),
		followedSince: BEFORE_ANY_LEASE,
		now,
		termLeaseMs: LEASE_DURATION,
	}) ?? [],
	hasEndedLeases,
	readWaitStart: (_, now) => now,
	isConfirmationBinding: true,
	isStorelessAllowed: durability => durability === 'replica',
	isPromotionAccepted: (member, term, promoter) => member.term === term && member.grantedTo === promoter,
	isEndRecorded: (read, term) => readGroup(read).promotion?.term === term,
	isRetried: write => write.stage === 'queued',
};

/** Decides which member a promotion makes primary; undefined until a majority has granted the term. */
export function findCandidate(rules: PrimacyRules, promotion: PromotionState, host: HostModel): string | undefined {
	const group = readGroup(promotion.entry ?? host.log);
	return rules.decideCandidate({
		members: group.settings.members.length, granted: promotion.granted, replaced: group.primary, basis: {term: group.term, openTerm: 0, termStarts: group.termStarts},
	});
}
