/** Decides how much of a shared quantity a host needs, what it keeps, borrows, renews and gives back. */
import {
	countHeldUnits, countUnits, type Allotment, type LendRequest, type Loan,
} from './allotment.js';
import type {Instant} from './clock.js';

/** Milliseconds of the lease on a loan. */
export const LOAN_LEASE_MS = 4000;
/** Milliseconds before its end at which a loan is renewed. */
const RENEW_BEFORE_MS = 2000;
/** Needed share over the measured demand. */
const DEMAND_HEADROOM_FACTOR = 1.1;
/** Least share of its own entitlement that a lender keeps for requests that may come, and most for the first of them. */
const MIN_RESERVED_SHARE = 0.1;
const MAX_RESERVED_SHARE = 0.5;
/** Held share over the needed one from which loans are given back. */
const RELEASE_FACTOR = 1.5;
/** Milliseconds over which the measured demand falls to about a third. */
const DEMAND_DECAY_MS = 1500;

/** Demand for one quantity on one host, in tokens a second; an exponentially weighted mean. */
export type Demand = {readonly rate: number; readonly countedAt: Instant};

/** The demand before the first request. */
export const NO_DEMAND: Demand = {rate: 0, countedAt: 0};

/** Reads the demand as of `now`. */
export function readDemand(demand: Demand, now: Instant): number {
	return demand.rate * Math.exp(-Math.max(0, now - demand.countedAt) / DEMAND_DECAY_MS);
}

/** Counts tokens that were asked for. */
export function applyDemand(demand: Demand, cost: number, now: Instant): Demand {
	return {rate: readDemand(demand, now) + (cost * 1000 / DEMAND_DECAY_MS), countedAt: now};
}

/** What a host wants tokens for. */
export type AllotmentNeed = {
	/** Tokens a second that requests ask for. */
	readonly demand: number;
	/** Tokens that requests wait for now. */
	readonly waiting: number;
};

/** Counts the units that a host needs. */
export function countNeededUnits(allotment: Allotment, need: AllotmentNeed): number {
	const {totalUnits, rate, burst} = allotment;
	const share = (need.demand * DEMAND_HEADROOM_FACTOR / rate) + (need.waiting / burst);
	return Math.min(totalUnits, Math.ceil(totalUnits * share));
}

/** Counts the units of its own that a lender keeps. */
export function countReservedUnits(allotment: Allotment, need: AllotmentNeed): number {
	const minReserved = Math.max(allotment.base * MIN_RESERVED_SHARE, Math.min(allotment.base * MAX_RESERVED_SHARE, countTokenUnits(allotment)));
	return Math.max(countNeededUnits(allotment, need) - countUnits(allotment.borrowed), Math.ceil(minReserved));
}

/** Milliseconds of the lease on a loan of tokens that a lender can spare, though it needs the units again. */
const SPARE_LEASE_MS = 300;
/** Tokens from which a lender whose requests do not wait lends some, and the share that it keeps. */
const MIN_SPARE_TOKENS = 2;
const SPARE_RESERVED_SHARE = 0.5;

/** What a lender is ready to give to a borrower. */
export type LoanOffer = Pick<LendRequest, 'units' | 'keep' | 'keptTokenShare' | 'leaseMs'>;

/**
 * Decides what a lender offers: units that it does not need, with their part of its tokens, for the full lease; else,
 * if no request waits here and tokens are at hand, a few of these for a moment.
 */
export function decideLoanOffer(allotment: Allotment, need: AllotmentNeed, asked: number): LoanOffer {
	const own = allotment.base - countUnits(allotment.lent);
	const keep = countReservedUnits(allotment, need);
	if (own - keep >= Math.min(asked, countTokenUnits(allotment)) || need.waiting > 0 || allotment.tokens < MIN_SPARE_TOKENS) {
		const held = Math.max(1, countHeldUnits(allotment));
		return {
			units: asked, keep, keptTokenShare: Math.min(1, keep / held), leaseMs: LOAN_LEASE_MS,
		};
	}

	const units = Math.min(asked, Math.floor(allotment.tokens * SPARE_RESERVED_SHARE * allotment.totalUnits / allotment.burst));
	return {
		units, keep: 0, keptTokenShare: SPARE_RESERVED_SHARE, leaseMs: SPARE_LEASE_MS,
	};
}

/** Counts the units that hold one token. */
export function countTokenUnits({totalUnits, burst}: Allotment): number {
	return Math.ceil(totalUnits / burst);
}

/** Counts the units that a host should borrow now; 0 for none. */
export function countMissingUnits(allotment: Allotment, need: AllotmentNeed): number {
	return Math.max(0, countNeededUnits(allotment, need) - countHeldUnits(allotment));
}

/** Finds the loans to renew: those that end soon and are needed. */
export function findLoansToRenew(allotment: Allotment, need: AllotmentNeed, now: Instant): Loan[] {
	const needed = countNeededUnits(allotment, need);
	const {kept} = allotment.borrowed.reduce<{held: number; kept: Loan[]}>((sum, loan) => sum.held >= needed ? sum : {held: sum.held + loan.units, kept: [...sum.kept, loan]}, {held: countHeldUnits(allotment) - countUnits(allotment.borrowed), kept: []});
	return kept.filter(loan => loan.until - now < RENEW_BEFORE_MS);
}

/** Finds the loans to give back: the host holds well over its need without them. */
export function findLoansToGiveBack(allotment: Allotment, need: AllotmentNeed): Loan[] {
	const needed = countNeededUnits(allotment, need) * RELEASE_FACTOR;
	const {surplus} = allotment.borrowed.reduce<{held: number; surplus: Loan[]}>((sum, loan) => sum.held - loan.units >= needed ? {held: sum.held - loan.units, surplus: [...sum.surplus, loan]} : sum, {held: countHeldUnits(allotment), surplus: []});
	return surplus;
}
