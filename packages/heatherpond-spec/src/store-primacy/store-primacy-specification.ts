/** The specification of primacy on the store with its invariants, scopes and mutants. */
import {createPromotionLease, PROMOTION_LEASE_MS, isProven} from 'heatherpond-fleet';
import type {Mutant, Specification} from '../model.js';
import {STORE_PRIMACY_INVARIANTS} from './store-primacy-invariants.js';
import {createStorePrimacyModel} from './store-primacy-model.js';
import type {StorePrimacyScope} from './store-primacy-steps.js';
import {STORE_PRIMACY_RULES, type StorePrimacyRules} from './store-primacy-rules.js';

/** Two hosts that race to promote; one of them also writes. */
const RACE: StorePrimacyScope = {
	hosts: ['p', 'q'], writers: ['q'], databases: ['a', 'b'], ticks: 2, crashes: 0, refreshesRegistrations: false,
};
/** Promotions that one host takes over from another, and promotion requests that are executed late. */
const PASSED_ON: StorePrimacyScope = {
	hosts: ['p', 'q'], writers: [], databases: ['a', 'b', 'c'], ticks: 2, crashes: 0, refreshesRegistrations: false,
};
/** A promoter that restarts. */
const RESTARTED: StorePrimacyScope = {
	hosts: ['p', 'q'], writers: [], databases: ['a', 'b', 'c'], ticks: 2, crashes: 1, refreshesRegistrations: false,
};
const LONG: StorePrimacyScope = {
	hosts: ['p', 'q'], writers: ['q'], databases: ['a', 'b', 'c'], ticks: 3, crashes: 1, refreshesRegistrations: true,
};

type MutantDescription = Pick<Mutant, 'name' | 'rule' | 'code'>;

function createMutant(text: MutantDescription, change: Partial<StorePrimacyRules>, scope: StorePrimacyScope = RACE): Mutant {
	return {...text, createModel: () => createStorePrimacyModel(`store primacy, ${text.name}`, scope, {...STORE_PRIMACY_RULES, ...change})};
}

const MUTANTS: readonly Mutant[] = [
	createMutant({name: 'store-acknowledged-without-lease', rule: 'a commit is acknowledged only under a lease', code: 'fleet/primacy.ts isProven'}, {
		isProven: (state, {group}) => state.ownConfirmations.get(group) === undefined,
	}),
	createMutant({name: 'store-lease-through-promotion', rule: 'a lease does not run on while a promotion is under way', code: 'fleet/apply-fleet-update.ts renewLeases'}, {
		isLeaseRenewedBy: () => true,
	}),
	createMutant({name: 'store-no-wait-for-leases', rule: 'a promotion waits until every lease has ended, or every host has confirmed', code: 'fleet/promotion-run.ts waitForConfirmations'}, {
		leaseWaitMs: 0,
	}),
	createMutant({name: 'store-waits-for-nobody', rule: 'a promotion waits for every host that may rely on a lease', code: 'fleet/promotion-decisions.ts findLiveHosts'}, {
		findLiveHosts: () => [],
	}),
	createMutant({name: 'store-registration-without-end', rule: 'a host whose registration has lapsed relies on no lease', code: 'fleet/primacy.ts isProven'}, {
		isProven: (state, primary, now) => isProven({...state, registeredUntil: Number.POSITIVE_INFINITY, registeredAt: -1}, primary, now),
		findLiveHosts: (hosts, now) => [...hosts.values()].filter(({refreshedAt}) => refreshedAt + 1000 > now).map(({host}) => host),
	}),
	createMutant({name: 'store-fence-stays', rule: 'the fence grows with each change of holder', code: 'fleet/promotion-lease.ts createPromotionLease'}, {
		createPromotionLease: (state, identity, now) => ({...createPromotionLease(state, identity, now, PROMOTION_LEASE_MS), fence: 1}),
	}, PASSED_ON),
	createMutant({name: 'store-duty-used-on', rule: 'a holder stops to use the duty before others may take it', code: 'fleet/promotion-lease.ts readPromotionLeaseDeadline'}, {
		readPromotionLeaseDeadline: () => Number.POSITIVE_INFINITY,
	}, PASSED_ON),
	createMutant({name: 'store-request-sent-late', rule: 'a request is sent only while its sender holds the duty, whenever that was checked before', code: 'fleet/promotion-lease.ts decideRequestDeadline'}, {
		decideRequestDeadline: (_, now) => now + 1000,
	}, PASSED_ON),
	createMutant({name: 'store-other-candidate', rule: 'after an order whose outcome is unknown the same database is named again', code: 'fleet/promotion-run.ts findPersistedCandidate'}, {
		findNamedCandidate: () => undefined,
	}, PASSED_ON),
	createMutant({name: 'store-no-conditions', rule: 'rows are written under the condition that nobody has changed them', code: 'fleet/promotion-run.ts writePrimacy'}, {
		hasConditions: false,
	}, PASSED_ON),
];

/** Primacy on the store: no write of a replaced primary is acknowledged, and each promotion makes one database primary. */
export const STORE_PRIMACY_SPECIFICATION: Specification = {
	name: 'primacy on the store',
	invariants: Object.values(STORE_PRIMACY_INVARIANTS),
	createModels: size => size === 'default'
		? [createStorePrimacyModel('store primacy, race', RACE, STORE_PRIMACY_RULES), createStorePrimacyModel('store primacy, passed on', PASSED_ON, STORE_PRIMACY_RULES), createStorePrimacyModel('store primacy, restarted', RESTARTED, STORE_PRIMACY_RULES)]
		: [createStorePrimacyModel('store primacy, long', LONG, STORE_PRIMACY_RULES)],
	mutants: MUTANTS,
};
