/** Policy for quota shares: how many units a host needs, reserves, borrows, renews and releases. */
import {
	countHeldUnits, countUnits, type Allotment, type LendRequest, type Loan,
} from './allotment.js';
import type {Instant} from './clock.js';

/** Lease of a regular loan in milliseconds. */
export const LOAN_LEASE_MS = 4000;
/** Remaining lease in milliseconds below which a loan is renewed. */
const RENEW_BEFORE_MS = 2000;
/** Factor by which a host's needed share exceeds its measured demand. */
const DEMAND_HEADROOM_FACTOR = 1.1;
/**
 * Fraction of its own entitlement that a lender reserves for future requests: at least the first value, and up to the
 * second one to hold a whole token for the first request.
 */
const MIN_RESERVED_SHARE = 0.1;
const MAX_RESERVED_SHARE = 0.5;
/** Factor over the needed share that a host must still hold after a loan is released. */
const RELEASE_FACTOR = 1.5;
/** Time constant of the demand average in milliseconds. */
const DEMAND_DECAY_MS = 1500;

/** Demand for a quota on one host: an exponentially decaying average in tokens per second. */
export type Demand = {readonly rate: number; readonly countedAt: Instant};

/** Demand before the first request. */
export const NO_DEMAND: Demand = {rate: 0, countedAt: 0};

/** Returns the demand as of `now`. */
export function readDemand(demand: Demand, now: Instant): number {
	return demand.rate * Math.exp(-Math.max(0, now - demand.countedAt) / DEMAND_DECAY_MS);
}

/** Adds requested tokens to the demand. */
export function applyDemand(demand: Demand, cost: number, now: Instant): Demand {
	return {rate: readDemand(demand, now) + (cost * 1000 / DEMAND_DECAY_MS), countedAt: now};
}

/** The host's current need for tokens. */
export type AllotmentNeed = {
	/** Demand in tokens per second. */
	readonly demand: number;
	/** Tokens that queued requests are waiting for. */
	readonly waiting: number;
};

/** Returns the units that a host needs to serve its demand and its queued requests. */
export function countNeededUnits(allotment: Allotment, need: AllotmentNeed): number {
	const {totalUnits, rate, burst} = allotment;
	const share = (need.demand * DEMAND_HEADROOM_FACTOR / rate) + (need.waiting / burst);
	return Math.min(totalUnits, Math.ceil(totalUnits * share));
}

/** Returns the units of its own that a lender reserves. */
export function countReservedUnits(allotment: Allotment, need: AllotmentNeed): number {
	const minReserved = Math.max(allotment.base * MIN_RESERVED_SHARE, Math.min(allotment.base * MAX_RESERVED_SHARE, countTokenUnits(allotment)));
	return Math.max(countNeededUnits(allotment, need) - countUnits(allotment.borrowed), Math.ceil(minReserved));
}

/** Lease in milliseconds of a short loan: tokens that a lender can spare although it needs the units again soon. */
const SPARE_LEASE_MS = 300;
/**
 * Tokens that a lender without queued requests must hold to give a short loan, and the fraction of them that it
 * reserves.
 */
const MIN_SPARE_TOKENS = 2;
const SPARE_RESERVED_SHARE = 0.5;

/** Terms on which a lender grants a loan request. */
export type LoanOffer = Pick<LendRequest, 'units' | 'keep' | 'keptTokenShare' | 'leaseMs'>;

/**
 * Decides what a lender offers. Units that it does not need are lent with their part of its tokens for the full lease.
 * If there are too few of them, but no request is queued and tokens are available, it lends some tokens for the short
 * lease.
 */
export function decideLoanOffer(allotment: Allotment, need: AllotmentNeed, requested: number): LoanOffer {
	const own = allotment.base - countUnits(allotment.lent);
	const keep = countReservedUnits(allotment, need);
	if (own - keep >= Math.min(requested, countTokenUnits(allotment)) || need.waiting > 0 || allotment.tokens < MIN_SPARE_TOKENS) {
		const held = Math.max(1, countHeldUnits(allotment));
		return {
			units: requested, keep, keptTokenShare: Math.min(1, keep / held), leaseMs: LOAN_LEASE_MS,
		};
	}

	const units = Math.min(requested, Math.floor(allotment.tokens * SPARE_RESERVED_SHARE * allotment.totalUnits / allotment.burst));
	return {
		units, keep: 0, keptTokenShare: SPARE_RESERVED_SHARE, leaseMs: SPARE_LEASE_MS,
	};
}

/** Returns the fewest units whose share of the burst is one token. */
export function countTokenUnits({totalUnits, burst}: Allotment): number {
	return Math.ceil(totalUnits / burst);
}

/** Returns the units that a host should borrow now; 0 for none. */
export function countMissingUnits(allotment: Allotment, need: AllotmentNeed): number {
	return Math.max(0, countNeededUnits(allotment, need) - countHeldUnits(allotment));
}

/** Returns the loans that are still needed and whose lease ends soon. */
export function findLoansToRenew(allotment: Allotment, need: AllotmentNeed, now: Instant): Loan[] {
	const needed = countNeededUnits(allotment, need);
	const {kept} = allotment.borrowed.reduce<{held: number; kept: Loan[]}>((sum, loan) => sum.held >= needed ? sum : {held: sum.held + loan.units, kept: [...sum.kept, loan]}, {held: countHeldUnits(allotment) - countUnits(allotment.borrowed), kept: []});
	return kept.filter(loan => loan.until - now < RENEW_BEFORE_MS);
}

/** Returns the loans that the host can release and still hold well over its need. */
export function findLoansToRelease(allotment: Allotment, need: AllotmentNeed): Loan[] {
	const needed = countNeededUnits(allotment, need) * RELEASE_FACTOR;
	const {surplus} = allotment.borrowed.reduce<{held: number; surplus: Loan[]}>((sum, loan) => sum.held - loan.units >= needed ? {held: sum.held - loan.units, surplus: [...sum.surplus, loan]} : sum, {held: countHeldUnits(allotment), surplus: []});
	return surplus;
}
