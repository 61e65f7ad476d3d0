/** Mutants of the primacy model. Each disables one rule, in a scope in which the rule makes a difference. */
import {
	compareProgress, countMajority, decideCandidate, hasEndedLeases, isLeaseProof,
} from 'heatherpond-core';
import type {Mutant} from '../model.js';
import {createPrimacyModel} from './primacy-model.js';
import {createLeaseHolder, PRIMACY_RULES, type PrimacyRules} from './primacy-rules.js';
import {
	LEASE_SCOPE, RACE_SCOPE, RELAY_SCOPE, REMOVAL_SCOPE, STORELESS_SCOPE, UNREGISTERED_HOST_SCOPE,
} from './primacy-scopes.js';
import type {PrimacyScope} from './primacy-state.js';

/** Name of a mutant, the rule that it disables, and where the production code implements that rule. */
type MutantDescription = {readonly name: string; readonly rule: string; readonly code: string};

function createMutant(text: MutantDescription, scope: PrimacyScope, change: Partial<PrimacyRules>): Mutant {
	return {...text, createModel: () => createPrimacyModel({...scope, name: `${scope.name}, ${text.name}`}, {...PRIMACY_RULES, ...change})};
}

const STAMP_MUTANTS: readonly Mutant[] = [
	createMutant(
		{name: 'stamp-from-arrival', rule: 'a stamp is as old as the question, not as the answer', code: 'core/stamp.ts createPlatformStamp'},
		LEASE_SCOPE,
		{createStamp: ({log, age}, now) => ({version: log.view.version, verifiedAt: now - age})},
	),
	createMutant(
		{name: 'relay-forgets-age', rule: 'a relayed stamp keeps its age', code: 'core/stamp.ts createRelayedStamp'},
		RELAY_SCOPE,
		{createStamp: ({log, askedAt}) => ({version: log.view.version, verifiedAt: askedAt})},
	),
	createMutant(
		{name: 'view-goes-back', rule: 'a stamp of a lower version is passed over', code: 'core/stamp.ts decideNewerStamp'},
		LEASE_SCOPE,
		{decideNewerStamp: (current, candidate) => candidate.verifiedAt > current.verifiedAt ? candidate : current},
	),
	createMutant(
		{name: 'append-without-compare', rule: 'an entry lands only on the head that its writer read', code: 'platform/platform-log.ts appendEntry'},
		RACE_SCOPE,
		{isAppendAccepted: () => true},
	),
];

const PROOF_MUTANTS: readonly Mutant[] = [
	createMutant(
		{name: 'lease-of-unregistered-host', rule: 'only a registered host uses the lease proof', code: 'core/primacy-proof.ts isLeaseProof'},
		UNREGISTERED_HOST_SCOPE,
		{isLeaseProof: input => isLeaseProof({...input, isRegistered: true})},
	),
	createMutant(
		{name: 'lease-without-age', rule: 'a stamp older than a lease proves nothing', code: 'core/primacy-proof.ts isLeaseProof'},
		LEASE_SCOPE,
		{isLeaseProof: input => isLeaseProof({...input, now: input.stamp.verifiedAt})},
	),
	createMutant(
		{name: 'lease-of-any-primary', rule: 'a lease proves only the primary that the view names', code: 'core/primacy-proof.ts isLeaseProof'},
		LEASE_SCOPE,
		{isLeaseProof: input => isLeaseProof({...input, group: input.group && {...input.group, primary: input.claim.database}})},
	),
	createMutant(
		{name: 'lease-during-promotion', rule: 'a view that shows a promotion in progress proves nothing', code: 'core/primacy-proof.ts isLeaseProof'},
		LEASE_SCOPE,
		{isLeaseProof: input => isLeaseProof({...input, fencedTerm: 0, group: input.group && {...input.group, promotion: undefined}})},
	),
	createMutant(
		{name: 'proof-not-rechecked', rule: 'a lease proof is checked again when the acknowledgement leaves', code: 'core/primacy-gate.ts isStillProven'},
		LEASE_SCOPE,
		{isLeaseRecheckedAtRelease: false},
	),
	createMutant(
		{name: 'replica-proof-without-replica', rule: 'a majority holds the write before a replica proof', code: 'core/primacy-proof.ts isReplicaProof'},
		STORELESS_SCOPE,
		{isReplicaProof: () => true},
	),
	createMutant(
		{name: 'retry-after-dispatch', rule: 'a request that was given to a connection is not sent again', code: 'postgres/request-runner.ts'},
		LEASE_SCOPE,
		{isRetried: () => true},
	),
];

const WAIT_MUTANTS: readonly Mutant[] = [
	createMutant(
		{name: 'no-lease-wait', rule: 'a promotion waits for confirmations or a lease', code: 'core/primacy-proof.ts hasEndedLeases'},
		LEASE_SCOPE,
		{hasEndedLeases: () => true},
	),
	createMutant(
		{name: 'wait-from-decision', rule: 'the wait is counted from when the promoter knows of its entry', code: 'proxy/controllers/promotion-entries.ts appendStart'},
		LEASE_SCOPE,
		{readWaitStart: promotion => promotion.askedAt},
	),
	createMutant(
		{name: 'removal-at-once', rule: 'a removed host counts until a lease after its removal', code: 'core/primacy-proof.ts decideLeaseHolders'},
		REMOVAL_SCOPE,
		{findLeaseHolders: ({log}) => Object.keys(log.view.hosts).map(host => createLeaseHolder(host))},
	),
	createMutant(
		{name: 'confirmation-of-anyone', rule: 'confirmations are counted by registered host, not by number', code: 'core/primacy-proof.ts hasEndedLeases'},
		UNREGISTERED_HOST_SCOPE,
		{hasEndedLeases: input => hasEndedLeases(input) || input.confirmed.length >= (input.holders?.length ?? 0)},
	),
	createMutant(
		{name: 'confirmation-without-promise', rule: 'a host that confirms uses no lease on a lower term, whatever its view says', code: 'core/primacy-state.ts applyFence'},
		LEASE_SCOPE,
		{isConfirmationBinding: false},
	),
];

const PROMOTION_MUTANTS: readonly Mutant[] = [
	createMutant(
		{name: 'promote-without-majority', rule: 'a majority of the members grants the term', code: 'core/promotion-decisions.ts decideCandidate'},
		STORELESS_SCOPE,
		{countMajority: () => 1, decideCandidate: input => decideCandidate({...input, members: 1})},
	),
	createMutant(
		{name: 'any-candidate', rule: 'the most advanced member becomes primary', code: 'core/promotion-decisions.ts decideCandidate'},
		STORELESS_SCOPE,
		{decideCandidate: ({members, granted}) => granted.length >= countMajority(members) ? granted.toSorted(compareProgress).at(-1)!.name : undefined},
	),
	createMutant(
		{name: 'term-granted-twice', rule: 'a member grants a term to one promoter', code: 'upstream raiseTerm; standin/database.ts'},
		STORELESS_SCOPE,
		{isGranted: (member, term) => member.term <= term, isPromotionAccepted: (member, term) => member.term === term},
	),
	createMutant(
		{name: 'replication-after-grant', rule: 'a member refuses replication of a lower term than it has granted', code: 'upstream; standin/database.ts applyReplication'},
		STORELESS_SCOPE,
		{isReplicationAccepted: () => true},
	),
	createMutant(
		{name: 'storeless-with-leases', rule: 'a promotion goes ahead without the store only where every write needs the replica proof', code: 'not in the product: it waits for the store'},
		{...LEASE_SCOPE, isStoreless: true},
		{isStorelessAllowed: () => true},
	),
	createMutant(
		{name: 'lost-tail-returns', rule: 'a member that holds writes which an earlier promotion lost is no candidate', code: 'core/promotion-decisions.ts decideCandidate'},
		RACE_SCOPE,
		{decideCandidate: input => decideCandidate({...input, basis: {...input.basis, term: 0, termStarts: []}})},
	),
	createMutant(
		{name: 'end-over-later-promotion', rule: 'the end of a promotion is recorded only while no later one has begun', code: 'proxy/controllers/promotion-entries.ts appendEnd'},
		RACE_SCOPE,
		{isEndRecorded: () => true},
	),
];

/** Every mutant of the primacy model. */
export const PRIMACY_MUTANTS: readonly Mutant[] = [...STAMP_MUTANTS, ...PROOF_MUTANTS, ...WAIT_MUTANTS, ...PROMOTION_MUTANTS];
