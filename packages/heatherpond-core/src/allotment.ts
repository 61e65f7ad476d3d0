/**
 * Ledger of one host's share of a fleet-wide quota: the rate and burst of a team, divided into units whose sum over all
 * hosts is constant.
 *
 * A host holds the units that the log entitles it to (`base`), minus the units it lent, plus the units it borrowed.
 * Tokens accrue at its share of the rate and never exceed its share of the burst. A lender deducts units and tokens
 * before it sends them. It gets the units back, but not the tokens, when the lease of the loan ends on its own clock;
 * that lease starts later than the borrower's and includes a margin. Units in use and in transit therefore never exceed
 * the quota, and the tokens spent in any window never exceed rate x window + burst.
 */
import type {Instant} from './clock.js';
import {checkInvariant} from './core-error.js';

/** A loan of units, on either side. */
export type Loan = {
	readonly loanId: string;
	/** The other host: the borrower of a lent loan, the lender of a borrowed one. */
	readonly peer: string;
	readonly units: number;
	/** End of the loan's lease, on this host's clock. */
	readonly until: Instant;
};

/** A loan request that has been sent; its response is applied at most once. */
export type PendingLoan = {
	readonly loanId: string;
	readonly peer: string;
	/** When the request was sent. */
	readonly requestedAt: Instant;
};

/** Fleet-wide limits of a quota. */
export type QuotaLimits = {
	/** Units into which the quota is divided. */
	readonly totalUnits: number;
	/** Tokens that accrue per second. */
	readonly rate: number;
	/** Largest number of tokens that may accumulate. */
	readonly burst: number;
};

/** The share of a quota that the log entitles this host to. */
export type Entitlement = QuotaLimits & {
	readonly base: number;
	/** End of the lease on `base`, after which a host whose view has not been verified again may no longer use it. */
	readonly baseUntil: Instant;
};

/** One host's share of a quota, with its loans and tokens. */
export type Allotment = Entitlement & {
	readonly lent: readonly Loan[];
	readonly borrowed: readonly Loan[];
	readonly pending: readonly PendingLoan[];
	/** Tokens available at `refilledAt`. */
	readonly tokens: number;
	readonly refilledAt: Instant;
};

/**
 * Margins by which a loan's lease ends later for the lender than for the borrower: a constant one, in milliseconds, and
 * one for the difference in clock rates, as a fraction of the lease.
 */
const LENDER_LEASE_MARGIN_MS = 50;
const CLOCK_RATE_MARGIN = 0.01;

/**
 * Tolerance for rounding errors in token counts. A request may overdraw by this amount, which is deducted from later
 * ones.
 */
const TOKEN_TOLERANCE = 1e-6;

/** Creates an allotment without tokens and loans. */
export function createAllotment(entitlement: Entitlement, now: Instant): Allotment {
	return {
		...entitlement, lent: [], borrowed: [], pending: [], tokens: 0, refilledAt: now,
	};
}

/** Counts the units held at `refilledAt`. */
export function countHeldUnits(allotment: Allotment): number {
	const base = allotment.refilledAt < allotment.baseUntil ? allotment.base : 0;
	return Math.max(0, base - countUnits(allotment.lent) + countUnits(allotment.borrowed));
}

/** Returns the total units of a list of loans. */
export function countUnits(loans: readonly Loan[]): number {
	return loans.reduce((sum, loan) => sum + loan.units, 0);
}

/** Returns the most tokens that the host may hold at `refilledAt`. */
export function readBurstLimit(allotment: Allotment): number {
	return allotment.burst * countHeldUnits(allotment) / allotment.totalUnits;
}

/** Returns the tokens per second that accrue at `refilledAt`. */
export function readTokenRate(allotment: Allotment): number {
	return allotment.rate * countHeldUnits(allotment) / allotment.totalUnits;
}

/** Advances an allotment to `now`: accrues tokens and ends leases, in the order in which they end. */
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

/** Discards tokens above the host's share of the burst. */
function applyBurstLimit(allotment: Allotment): Allotment {
	return {...allotment, tokens: Math.min(allotment.tokens, readBurstLimit(allotment))};
}

/** Applies a new entitlement as of `now`. */
export function applyEntitlement(allotment: Allotment, entitlement: Entitlement, now: Instant): Allotment {
	return applyBurstLimit({...advanceAllotment(allotment, now), ...entitlement});
}

/** The updated allotment, and whether the operation was granted. */
export type GrantOutcome = {readonly allotment: Allotment; readonly isTaken: boolean};

/** Takes `cost` tokens if that many are available. */
export function takeTokens(allotment: Allotment, cost: number, now: Instant): GrantOutcome {
	const current = advanceAllotment(allotment, now);
	const isTaken = current.tokens >= cost - TOKEN_TOLERANCE;
	return {allotment: isTaken ? {...current, tokens: current.tokens - cost} : current, isTaken};
}

/** A request to a lender. */
export type LendRequest = {
	readonly loanId: string;
	readonly peer: string;
	readonly units: number;
	/** Units of its own that the lender does not lend. */
	readonly keep: number;
	/** Fraction of its tokens that the lender does not lend. */
	readonly keptTokenShare: number;
	/** Duration of the lease in milliseconds. */
	readonly leaseMs: number;
};

/** Result of a loan request; `units` is 0 when nothing was lent. */
export type LendOutcome = {
	readonly allotment: Allotment;
	readonly units: number;
	readonly tokens: number;
};

/**
 * Lends units together with tokens, at most the units' share of the burst. Both are deducted before the response is
 * sent, so a lost response can only destroy them. A loan id that is already known lends nothing.
 */
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

/** Returns when the lease of a loan ends for its lender, margins included. */
function readLenderLeaseEnd(leaseMs: number, now: Instant): Instant {
	return now + (leaseMs * (1 + CLOCK_RATE_MARGIN)) + LENDER_LEASE_MARGIN_MS;
}

/** Extends a loan on the lender's side; not granted if the loan has ended or was returned. */
export function applyLendRenewal(allotment: Allotment, loanId: string, leaseMs: number, now: Instant): GrantOutcome {
	const current = advanceAllotment(allotment, now);
	const isTaken = current.lent.some(loan => loan.loanId === loanId && loan.units > 0);
	const lent = current.lent.map(loan => loan.loanId === loanId ? {...loan, until: Math.max(loan.until, readLenderLeaseEnd(leaseMs, now))} : loan);
	return {allotment: {...current, lent}, isTaken};
}

/** Records a loan request before it is sent. */
export function applyLoanRequest(allotment: Allotment, pending: PendingLoan): Allotment {
	return {...allotment, pending: [...allotment.pending, pending]};
}

/** A loan as received by the borrower. */
export type BorrowedLoan = {
	readonly loanId: string;
	readonly units: number;
	readonly tokens: number;
	/** Duration of the lease in milliseconds, counted from when the request was sent. */
	readonly leaseMs: number;
};

/** Applies a received loan: only once, only if its request is pending, and only if its lease has not ended. */
export function applyBorrow(allotment: Allotment, loan: BorrowedLoan, now: Instant): Allotment {
	const current = advanceAllotment(allotment, now);
	const pendingLoan = current.pending.find(item => item.loanId === loan.loanId);
	const pending = current.pending.filter(item => item.loanId !== loan.loanId);
	const until = (pendingLoan?.requestedAt ?? Number.NEGATIVE_INFINITY) + loan.leaseMs;
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

/** Drops a pending loan request; a response that arrives later is ignored. */
export function applyLoanRequestFailure(allotment: Allotment, loanId: string): Allotment {
	return {...allotment, pending: allotment.pending.filter(item => item.loanId !== loanId)};
}

/**
 * Extends a loan on the borrower's side.
 *
 * @param requestedAt - when the renewal request that the lender granted was sent
 */
export function applyBorrowRenewal(allotment: Allotment, loanId: string, leaseMs: number, requestedAt: Instant): Allotment {
	const borrowed = allotment.borrowed.map(loan => loan.loanId === loanId ? {...loan, until: Math.max(loan.until, requestedAt + leaseMs)} : loan);
	return {...allotment, borrowed};
}

/** Result of releasing a loan before its lease ends. The tokens are deducted before they are sent. */
export type LoanReleaseOutcome = {readonly allotment: Allotment; readonly tokens: number};

/** Releases a borrowed loan together with its part of the tokens. */
export function applyLoanRelease(allotment: Allotment, loanId: string, now: Instant): LoanReleaseOutcome {
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
 * Applies a returned loan, at most once. The loan stays in the ledger with 0 units until its lease would have ended, so
 * that a duplicated loan request does not lend it again.
 */
export function applyReturnedLoan(allotment: Allotment, loanId: string, tokens: number, now: Instant): Allotment {
	const current = advanceAllotment(allotment, now);
	checkInvariant(tokens >= 0, 'returned_tokens', `expected a returned loan with 0 or more tokens, got ${tokens}`);
	const loan = current.lent.find(item => item.loanId === loanId && item.units > 0);
	const lent = current.lent.map(item => item === loan ? {...item, units: 0} : item);
	return loan ? applyBurstLimit({...current, lent, tokens: current.tokens + tokens}) : current;
}
