/** The rules of the ledger, taken from the production code. Mutants replace some of them. */
import {
	applyLoanRequest, applyBorrow, applyLoanRelease, applyLend, applyReturnedLoan, takeTokens,
} from 'heatherpond-core';

/** Every rule that a mutant may disable. */
export type AllotmentRules = {
	readonly applyLoanRequest: typeof applyLoanRequest;
	readonly applyBorrow: typeof applyBorrow;
	readonly applyLoanRelease: typeof applyLoanRelease;
	readonly applyLend: typeof applyLend;
	readonly applyReturnedLoan: typeof applyReturnedLoan;
	readonly takeTokens: typeof takeTokens;
};

/** The rules of the production code, unchanged. */
export const ALLOTMENT_RULES: AllotmentRules = {
	applyLoanRequest, applyBorrow, applyLoanRelease, applyLend, applyReturnedLoan, takeTokens,
};
