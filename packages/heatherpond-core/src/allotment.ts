/**
 * The ledger of one conserved quantity on one host: a team's rate and burst, held in units that add up to the whole
 * over all hosts.
 *
 * A host holds the units that the log entitles it to (`base`), less those it lent, plus those it borrowed. Tokens
 * accrue at the held share of the rate and are cut off at the held share of the burst at every moment. A lender deducts
 * units and tokens before it sends them and gets them back, without the tokens, when the lease of the loan has ended
 * on its own clock, which it counts from a later moment than the borrower and with a margin. So the units in use and on
 * their way never exceed the whole, and the tokens spent in any window never exceed rate x window + burst.
 */
import type {Instant} from './clock.js';
import {checkInvariant} from './core-error.js';

/** Units lent or borrowed. */
export type Loan = {
	readonly loanId: string;
	/** Host at the other end. */
	readonly peer: string;
	readonly units: number;
	/** End of the lease on this host's clock. */
	readonly until: Instant;
};

/** A wish to borrow that is on its way; its answer counts once. */
export type PendingLoan = {
	readonly loanId: string;
	readonly peer: string;
	/** When the question was sent. */
	readonly askedAt: Instant;
};

/** The figures of the whole quantity. */
export type QuotaLimits = {
	/** Units that make up the whole. */
	readonly totalUnits: number;
	/** Tokens a second of the whole. */
	readonly rate: number;
	/** Tokens that the whole may hold. */
	readonly burst: number;
};

/** What the log entitles this host to. */
export type Entitlement = QuotaLimits & {
	readonly base: number;
	/** End of the lease on `base`: it ends when this host's view has gone unverified for too long. */
	readonly baseUntil: Instant;
};

/** One host's part of one quantity. */
export type Allotment = Entitlement & {
	readonly lent: readonly Loan[];
	readonly borrowed: readonly Loan[];
	readonly pending: readonly PendingLoan[];
	/** Tokens held at `filledAt`. */
	readonly tokens: number;
	readonly refilledAt: Instant;
};

/** Milliseconds by which a lender waits longer than the borrower, and the difference in clock rates that it allows for. */
const LENDER_LEASE_MARGIN_MS = 50;
const CLOCK_RATE_MARGIN = 0.01;

/** Rounding errors of tokens; what is taken too much is owed by the next request. */
const TOKEN_TOLERANCE = 1e-6;

/** Creates an allotment that holds no tokens yet. */
export function createAllotment(entitlement: Entitlement, now: Instant): Allotment {
	return {
		...entitlement, lent: [], borrowed: [], pending: [], tokens: 0, refilledAt: now,
	};
}

/** Counts the units held at `filledAt`. */
export function countHeldUnits(allotment: Allotment): number {
	const base = allotment.refilledAt < allotment.baseUntil ? allotment.base : 0;
	return Math.max(0, base - countUnits(allotment.lent) + countUnits(allotment.borrowed));
}

/** Counts the units of loans. */
export function countUnits(loans: readonly Loan[]): number {
	return loans.reduce((sum, loan) => sum + loan.units, 0);
}

/** Reads the most tokens that may be held at `filledAt`. */
export function readBurstLimit(allotment: Allotment): number {
	return allotment.burst * countHeldUnits(allotment) / allotment.totalUnits;
}

/** Reads how many tokens a second accrue at `filledAt`. */
export function readTokenRate(allotment: Allotment): number {
	return allotment.rate * countHeldUnits(allotment) / allotment.totalUnits;
}

/** Advances an allotment to `now`: tokens accrue, and leases end one after the other. */
export function advanceAllotment(allotment: Allotment, now: Instant): Allotment {
	if (now <= allotment.refilledAt) {
		return allotment;
	}

	const leaseEnds = [allotment.baseUntil, ...allotment.lent.map(loan => loan.until), ...allotment.borrowed.map(loan => loan.until)];
	const nextInstant = Math.min(now, ...leaseEnds.filter(until => until > allotment.refilledAt));
	const tokens = allotment.tokens + (readTokenRate(allotment) * (nextInstant - allotment.refilledAt) / 1000);
	const refilled = applyBurstLimit({
		...allotment,
		tokens: Math.min(tokens, readBurstLimit(allotment)),
		refilledAt: nextInstant,
		lent: allotment.lent.filter(loan => loan.until > nextInstant),
		borrowed: allotment.borrowed.filter(loan => loan.until > nextInstant),
	});
	return nextInstant < now ? advanceAllotment(refilled, now) : refilled;
}

function applyBurstLimit(allotment: Allotment): Allotment {
	return {...allotment, tokens: Math.min(allotment.tokens, readBurstLimit(allotment))};
}

/** Applies what the log entitles the host to from now on. */
export function applyEntitlement(allotment: Allotment, entitlement: Entitlement, now: Instant): Allotment {
	return applyBurstLimit({...advanceAllotment(allotment, now), ...entitlement});
}

/** An allotment, and whether what was asked of it was done. */
export type GrantOutcome = {readonly allotment: Allotment; readonly isTaken: boolean};

/** Takes tokens if there are enough. */
export function takeTokens(allotment: Allotment, cost: number, now: Instant): GrantOutcome {
	const current = advanceAllotment(allotment, now);
	const isTaken = current.tokens >= cost - TOKEN_TOLERANCE;
	return {allotment: isTaken ? {...current, tokens: current.tokens - cost} : current, isTaken};
}

/** What a lender is asked for. */
export type LendRequest = {
	readonly loanId: string;
	readonly peer: string;
	readonly units: number;
	/** Units of its own that the lender keeps. */
	readonly keep: number;
	/** Share of its tokens that the lender keeps. */
	readonly keptTokenShare: number;
	/** Milliseconds of the lease. */
	readonly leaseMs: number;
};

/** What a lender gives; `units` is 0 when it has nothing to give. */
export type LendOutcome = {
	readonly allotment: Allotment;
	readonly units: number;
	readonly tokens: number;
};

/** Lends units with their part of the tokens; both are deducted before the answer is sent. */
export function applyLend(allotment: Allotment, request: LendRequest, now: Instant): LendOutcome {
	const current = advanceAllotment(allotment, now);
	const own = now < current.baseUntil ? current.base - countUnits(current.lent) : 0;
	const units = Math.max(0, Math.min(request.units, own - request.keep, countHeldUnits(current)));
	if (units === 0 || current.lent.some(loan => loan.loanId === request.loanId)) {
		return {allotment: current, units: 0, tokens: 0};
	}

	const tokens = Math.min(current.tokens * (1 - request.keptTokenShare), current.burst * units / current.totalUnits);
	const loan: Loan = {
		loanId: request.loanId, peer: request.peer, units, until: readLenderLeaseEnd(request.leaseMs, now),
	};
	return {allotment: applyBurstLimit({...current, lent: [...current.lent, loan], tokens: current.tokens - tokens}), units, tokens};
}

function readLenderLeaseEnd(leaseMs: number, now: Instant): Instant {
	return now + (leaseMs * (1 + CLOCK_RATE_MARGIN)) + LENDER_LEASE_MARGIN_MS;
}

/** Extends a loan on the lender's side; tells whether it did. */
export function applyLendRenewal(allotment: Allotment, loanId: string, leaseMs: number, now: Instant): GrantOutcome {
	const current = advanceAllotment(allotment, now);
	const isTaken = current.lent.some(loan => loan.loanId === loanId && loan.units > 0);
	const lent = current.lent.map(loan => loan.loanId === loanId ? {...loan, until: Math.max(loan.until, readLenderLeaseEnd(leaseMs, now))} : loan);
	return {allotment: {...current, lent}, isTaken};
}

/** Takes note of a wish to borrow before it is sent. */
export function applyAsk(allotment: Allotment, pending: PendingLoan): Allotment {
	return {...allotment, pending: [...allotment.pending, pending]};
}

/** What a borrower was given. */
export type BorrowedLoan = {
	readonly loanId: string;
	readonly units: number;
	readonly tokens: number;
	/** Milliseconds of the lease, counted from when the question was sent. */
	readonly leaseMs: number;
};

/** Counts a loan that arrived: once, and only while its lease lasts. */
export function applyBorrow(allotment: Allotment, loan: BorrowedLoan, now: Instant): Allotment {
	const current = advanceAllotment(allotment, now);
	const pendingLoan = current.pending.find(item => item.loanId === loan.loanId);
	const pending = current.pending.filter(item => item.loanId !== loan.loanId);
	const until = (pendingLoan?.askedAt ?? Number.NEGATIVE_INFINITY) + loan.leaseMs;
	if (!pendingLoan || loan.units === 0 || until <= now) {
		return {...current, pending};
	}

	const borrowed: Loan = {
		loanId: loan.loanId, peer: pendingLoan.peer, units: loan.units, until,
	};
	return applyBurstLimit({
		...current, pending, borrowed: [...current.borrowed, borrowed], tokens: current.tokens + loan.tokens,
	});
}

/** Forgets a wish to borrow: a later answer counts for nothing. */
export function applyAskFailure(allotment: Allotment, loanId: string): Allotment {
	return {...allotment, pending: allotment.pending.filter(item => item.loanId !== loanId)};
}

/**
 * Extends a loan on the borrower's side.
 *
 * @param requestedAt - when the question was sent that the lender said yes to
 */
export function applyBorrowRenewal(allotment: Allotment, loanId: string, leaseMs: number, requestedAt: Instant): Allotment {
	const borrowed = allotment.borrowed.map(loan => loan.loanId === loanId ? {...loan, until: Math.max(loan.until, requestedAt + leaseMs)} : loan);
	return {...allotment, borrowed};
}

/** A loan that the borrower gives back before its lease ends; the tokens are deducted before they are sent. */
export type LoanReleaseOutcome = {readonly allotment: Allotment; readonly tokens: number};

/** Gives a borrowed loan back with its part of the tokens. */
export function applyGiveBack(allotment: Allotment, loanId: string, now: Instant): LoanReleaseOutcome {
	const current = advanceAllotment(allotment, now);
	const loan = current.borrowed.find(item => item.loanId === loanId);
	const held = countHeldUnits(current);
	if (!loan || held === 0) {
		return {allotment: current, tokens: 0};
	}

	const tokens = current.tokens * Math.min(1, loan.units / held);
	const borrowed = current.borrowed.filter(item => item !== loan);
	return {allotment: applyBurstLimit({...current, borrowed, tokens: current.tokens - tokens}), tokens};
}

/**
 * Counts a loan that came back: once, while the lender still counts it as lent. It stands there without units until its
 * lease would have ended, so that a question that arrives twice does not lend it anew.
 */
export function applyReturn(allotment: Allotment, loanId: string, tokens: number, now: Instant): Allotment {
	const current = advanceAllotment(allotment, now);
	checkInvariant(tokens >= 0, 'returned_tokens', `${tokens} tokens came back`);
	const loan = current.lent.find(item => item.loanId === loanId && item.units > 0);
	const lent = current.lent.map(item => item === loan ? {...item, units: 0} : item);
	return loan ? applyBurstLimit({...current, lent, tokens: current.tokens + tokens}) : current;
}
