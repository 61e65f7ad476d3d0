/** The rules of the ledger, taken from the production code. Mutants replace some of them. */
import {
	applyAsk, applyBorrow, applyGiveBack, applyLend, applyReturn, takeTokens,
} from 'heatherpond-core';

/** Every rule that a mutant may disable. */
export type AllotmentRules = {
	readonly applyAsk: typeof applyAsk;
	readonly applyBorrow: typeof applyBorrow;
	readonly applyGiveBack: typeof applyGiveBack;
	readonly applyLend: typeof applyLend;
	readonly applyReturn: typeof applyReturn;
	readonly takeTokens: typeof takeTokens;
};

/** The rules of the production code, unchanged. */
export const ALLOTMENT_RULES: AllotmentRules = {
	applyAsk, applyBorrow, applyGiveBack, applyLend, applyReturn, takeTokens,
};
