/**
 * The model of the allotment ledger: two hosts lend each other units and tokens of a shared quota.
 *
 * Messages may be lost, delayed beyond any lease and delivered twice. A host that takes no steps for a while is paused.
 */
import {
	advanceAllotment, countHeldUnits, createAllotment, type Allotment, type BorrowedLoan, type LendOutcome, type LendRequest,
} from 'heatherpond-core';
import type {Model} from '../model.js';
import type {AllotmentRules} from './allotment-rules.js';

/** A message in transit; `deliveries` counts how often it has been delivered. */
type Message
	= | {readonly kind: 'question'; readonly request: LendRequest; readonly sentAt: number; readonly deliveries: number}
		| {readonly kind: 'loan'; readonly loan: BorrowedLoan; readonly sentAt: number; readonly deliveries: number}
		| {readonly kind: 'return'; readonly loanId: string; readonly tokens: number; readonly units: number; readonly sentAt: number; readonly deliveries: number};

/** State of the model: lender, borrower and the messages between them. */
export type AllotmentState = {
	readonly now: number;
	readonly lender: Allotment;
	readonly borrower: Allotment;
	readonly messages: readonly Message[];
	readonly asked: number;
	/** Tokens spent by both hosts. */
	readonly spentTokens: number;
};

/** One step of a host or the network, or one tick of the clock. */
export type AllotmentStep
	= | {readonly kind: 'tick' | 'ask' | 'giveBack'}
		| {readonly kind: 'take'; readonly host: 'lender' | 'borrower'}
		| {readonly kind: 'deliver'; readonly index: number};

/** Bounds of the exploration. */
export type AllotmentScope = {readonly maxTicks: number; readonly maxLoans: number; readonly maxSpent: number};

/** Time in milliseconds by which one tick advances the clock: more than half a lease, so that a lease expires within two ticks. */
const TICK_MS = 600;
const LEASE_MS = 1000;
const TOTAL_UNITS = 2;
const BURST_TOKENS = 2;
/** Tokens per second of the whole quota: one for each unit and tick. */
const TOKENS_PER_SECOND = TOTAL_UNITS * 1000 / TICK_MS;
/** Rounding error to allow for in sums of fractional tokens. */
const TOKEN_TOLERANCE = 1e-6;

/** Invariants of the ledger. */
export const ALLOTMENT_INVARIANTS = {
	units: 'units in use and on their way never exceed the whole',
	tokens: 'tokens spent and spendable never exceed rate x time + burst',
} as const;

/** Creates the model for a scope and a set of rules. */
export function createAllotmentModel(name: string, scope: AllotmentScope, rules: AllotmentRules): Model<AllotmentState, AllotmentStep> {
	return {
		name,
		initial: createInitialState(),
		collectSteps: state => collectSteps(scope, state),
		applyStep: (state, step) => removeUndeliverableMessages(applyStep(rules, state, step)),
		findViolation,
		formatState: state => JSON.stringify({...state, messages: state.messages.map(message => JSON.stringify(message)).toSorted()}, (_, value: unknown) => typeof value === 'number' ? Math.round(value * 1000) : value),
		formatStep: step => formatStep(step),
	};
}

function createInitialState(): AllotmentState {
	const entitlement = {
		totalUnits: TOTAL_UNITS, rate: TOKENS_PER_SECOND, burst: BURST_TOKENS, base: 1, baseUntil: Number.MAX_SAFE_INTEGER,
	};
	const initialAllotment: Allotment = {...createAllotment(entitlement, 0), tokens: 1};
	return {
		now: 0, lender: initialAllotment, borrower: initialAllotment, messages: [], asked: 0, spentTokens: 0,
	};
}

function collectSteps(scope: AllotmentScope, state: AllotmentState): readonly AllotmentStep[] {
	const {now, asked, borrower, spentTokens, messages} = state;
	const spendSteps: readonly AllotmentStep[] = spentTokens < scope.maxSpent ? [{kind: 'take', host: 'lender'}, {kind: 'take', host: 'borrower'}] : [];
	return [
		...(now < scope.maxTicks * TICK_MS ? [{kind: 'tick'} as const] : []),
		...(asked < scope.maxLoans ? [{kind: 'ask'} as const] : []),
		...(borrower.borrowed.length > 0 ? [{kind: 'giveBack'} as const] : []),
		...spendSteps,
		...messages.flatMap((message, index) => isDeliverable(message, now) ? [{kind: 'deliver', index} as const] : []),
	];
}

/**
 * Decides whether a message can still arrive: the first time at any delay, the second time within a lease, because a
 * request's timeout is shorter than a lease.
 */
function isDeliverable({deliveries, sentAt}: Message, now: number): boolean {
	return deliveries === 0 || (deliveries === 1 && now - sentAt < LEASE_MS);
}

/** Removes messages that can no longer arrive, so that they do not tell apart states that behave alike. */
function removeUndeliverableMessages(state: AllotmentState): AllotmentState {
	return {...state, messages: state.messages.filter(message => isDeliverable(message, state.now))};
}

function applyStep(rules: AllotmentRules, state: AllotmentState, step: AllotmentStep): AllotmentState {
	switch (step.kind) {
		case 'tick': {
			return {...state, now: state.now + TICK_MS};
		}

		case 'ask': {
			return applyLoanRequest(rules, state);
		}

		case 'take': {
			const {allotment, isTaken} = rules.takeTokens(state[step.host], 1, state.now);
			return isTaken ? {...state, [step.host]: allotment, spentTokens: state.spentTokens + 1} : state;
		}

		case 'giveBack': {
			return applyLoanRelease(rules, state);
		}

		case 'deliver': {
			return applyDelivery(rules, state, step.index);
		}
	}
}

function applyLoanRequest(rules: AllotmentRules, state: AllotmentState): AllotmentState {
	const loanId = `loan-${state.asked}`;
	const request: LendRequest = {
		loanId, peer: 'borrower', units: 1, keep: 0, keptTokenShare: 0, leaseMs: LEASE_MS,
	};
	return {
		...state,
		asked: state.asked + 1,
		borrower: rules.applyLoanRequest(state.borrower, {loanId, peer: 'lender', requestedAt: state.now}),
		messages: [...state.messages, {
			kind: 'question', request, sentAt: state.now, deliveries: 0,
		}],
	};
}

function applyLoanRelease(rules: AllotmentRules, state: AllotmentState): AllotmentState {
	const loan = state.borrower.borrowed.at(0)!;
	const {allotment, tokens} = rules.applyLoanRelease(state.borrower, loan.loanId, state.now);
	return {
		...state, borrower: allotment, messages: [...state.messages, {
			kind: 'return', loanId: loan.loanId, tokens, units: loan.units, sentAt: state.now, deliveries: 0,
		}],
	};
}

function applyDelivery(rules: AllotmentRules, state: AllotmentState, index: number): AllotmentState {
	const message = state.messages[index]!;
	const messages = state.messages.with(index, {...message, deliveries: message.deliveries + 1});
	switch (message.kind) {
		case 'question': {
			return applyLendOutcome({...state, messages}, message.request.loanId, rules.applyLend(state.lender, message.request, state.now));
		}

		case 'loan': {
			return {...state, messages, borrower: rules.applyBorrow(state.borrower, message.loan, state.now)};
		}

		case 'return': {
			return {...state, messages, lender: rules.applyReturnedLoan(state.lender, message.loanId, message.tokens, state.now)};
		}
	}
}

function applyLendOutcome(state: AllotmentState, loanId: string, {allotment, units, tokens}: LendOutcome): AllotmentState {
	const loan: BorrowedLoan = {
		loanId, units, tokens, leaseMs: LEASE_MS,
	};
	const loanMessages: readonly Message[] = units > 0
		? [{
			kind: 'loan', loan, sentAt: state.now, deliveries: 0,
		}]
		: [];
	return {...state, lender: allotment, messages: [...state.messages, ...loanMessages]};
}

/** Counts the units of loans in transit that the borrower would still accept. */
function countUnitsInTransit({messages, borrower, now}: AllotmentState): number {
	return messages.reduce((sum, message) => {
		const asked = message.kind === 'loan' ? borrower.pending.find(item => item.loanId === message.loan.loanId) : undefined;
		return message.kind === 'loan' && asked && message.deliveries === 0 && asked.requestedAt + message.loan.leaseMs > now ? sum + message.loan.units : sum;
	}, 0);
}

function findViolation(state: AllotmentState): string | undefined {
	const lender = advanceAllotment(state.lender, state.now);
	const borrower = advanceAllotment(state.borrower, state.now);
	const units = countHeldUnits(lender) + countHeldUnits(borrower) + countUnitsInTransit(state);
	if (units > TOTAL_UNITS) {
		return ALLOTMENT_INVARIANTS.units;
	}

	const tokens = state.spentTokens + lender.tokens + borrower.tokens;
	return tokens > BURST_TOKENS + (TOKENS_PER_SECOND * state.now / 1000) + TOKEN_TOLERANCE ? ALLOTMENT_INVARIANTS.tokens : undefined;
}

function formatStep(step: AllotmentStep): string {
	switch (step.kind) {
		case 'tick': {
			return 'time      more than half a lease passes';
		}

		case 'ask': {
			return 'borrower  requests a loan of one unit';
		}

		case 'giveBack': {
			return 'borrower  releases a loan';
		}

		case 'take': {
			return `${step.host.padEnd(8)}  spends a token if it has enough`;
		}

		case 'deliver': {
			return `network   delivers message ${step.index + 1}`;
		}
	}
}
