/** The specification of the allotment ledger with its invariants, scopes and mutants. */
import {
	advanceAllotment, applyBorrow, applyLoanRelease, applyLend, applyReturnedLoan, takeTokens, type Allotment, type Loan,
} from 'heatherpond-core';
import type {Mutant, Specification} from '../model.js';
import {ALLOTMENT_INVARIANTS, createAllotmentModel, type AllotmentScope} from './allotment-model.js';
import {ALLOTMENT_RULES, type AllotmentRules} from './allotment-rules.js';

const DEFAULT_SCOPE: AllotmentScope = {maxTicks: 3, maxLoans: 1, maxSpent: 3};
const LARGE_SCOPE: AllotmentScope = {maxTicks: 2, maxLoans: 2, maxSpent: 3};

type MutantDescription = Pick<Mutant, 'name' | 'rule'>;

function createMutant(text: MutantDescription, change: Partial<AllotmentRules>): Mutant {
	return {
		...text, code: 'core/allotment.ts', createModel: () => createAllotmentModel(`allotments, ${text.name}`, DEFAULT_SCOPE, {...ALLOTMENT_RULES, ...change}),
	};
}

/** Restores a pending loan request that has already been answered, so that a repeated response counts again. */
function insertPendingRequest(allotment: Allotment, loanId: string, requestedAt: number): Allotment {
	return {...allotment, pending: [...allotment.pending.filter(item => item.loanId !== loanId), {loanId, peer: 'lender', requestedAt}]};
}

/** Moves the expiry of every loan to `until`, unless it is later already. */
function updateLoanExpiry(loans: readonly Loan[], until: number): readonly Loan[] {
	return loans.map(loan => ({...loan, until: Math.max(loan.until, until)}));
}

const MUTANTS: readonly Mutant[] = [
	createMutant({name: 'lend-without-deducting', rule: 'a lender deducts units before it sends them'}, {
		applyLend: (allotment, request, now) => ({...applyLend(allotment, request, now), allotment: advanceAllotment(allotment, now)}),
	}),
	createMutant({name: 'loan-counted-twice', rule: 'a loan that arrives twice counts once'}, {
		applyBorrow: (allotment, loan, now) => applyBorrow(insertPendingRequest(allotment, loan.loanId, now), loan, now),
	}),
	createMutant({name: 'borrow-lease-from-arrival', rule: 'a borrower counts its lease from its question'}, {
		applyBorrow(allotment, loan, now) {
			const isPending = allotment.pending.some(item => item.loanId === loan.loanId);
			return isPending ? applyBorrow(insertPendingRequest(allotment, loan.loanId, now), loan, now) : allotment;
		},
	}),
	createMutant({name: 'lender-waits-less', rule: 'a lender waits for the whole lease'}, {
		applyLend: (allotment, request, now) => applyLend(allotment, {...request, leaseMs: request.leaseMs / 2}, now),
	}),
	createMutant({name: 'lease-without-end', rule: 'a borrower that wakes after its lease holds nothing'}, {
		applyBorrow(allotment, loan, now) {
			const borrowed = applyBorrow(allotment, loan, now);
			return {...borrowed, borrowed: updateLoanExpiry(borrowed.borrowed, Number.MAX_SAFE_INTEGER)};
		},
	}),
	createMutant({name: 'spend-without-advancing', rule: 'leases are ended before tokens are taken'}, {
		takeTokens: (allotment, cost, now) => takeTokens({...allotment, borrowed: updateLoanExpiry(allotment.borrowed, now + 1)}, cost, now),
	}),
	createMutant({name: 'give-back-without-deducting', rule: 'a borrower deducts what it gives back'}, {
		applyLoanRelease: (allotment, loanId, now) => ({...applyLoanRelease(allotment, loanId, now), allotment}),
	}),
	createMutant({name: 'return-counted-twice', rule: 'a return that arrives twice counts once'}, {
		applyReturnedLoan(allotment, loanId, tokens, now) {
			const returned = applyReturnedLoan(allotment, loanId, tokens, now);
			return allotment.lent.some(loan => loan.loanId === loanId && loan.units > 0) ? returned : {...returned, tokens: returned.tokens + tokens};
		},
	}),
];

/** The ledger: the units and tokens of all hosts together never exceed the contract. */
export const ALLOTMENT_SPECIFICATION: Specification = {
	name: 'allotments',
	invariants: Object.values(ALLOTMENT_INVARIANTS),
	createModels: size => [createAllotmentModel('allotments', size === 'default' ? DEFAULT_SCOPE : LARGE_SCOPE, ALLOTMENT_RULES)],
	mutants: MUTANTS,
};
