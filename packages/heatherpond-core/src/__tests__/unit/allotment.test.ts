import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {
	advanceAllotment, applyLoanRequest, applyLoanRequestFailure, applyBorrow, applyBorrowRenewal, applyEntitlement, applyLoanRelease, applyLend, applyLendRenewal, applyReturnedLoan, countHeldUnits, countUnits, createAllotment, takeTokens,
	type Allotment, type BorrowedLoan,
} from '../../index.js';

const SEED = 20_261_203;
const RUNS = 2000;
const HOSTS = 4;
const TOTAL_UNITS = 1000;
const RATE = 100;
const BURST = 60;
const LEASE_MS = 400;
/** Rounding errors that the ledger permits. */
const TOLERANCE = 1e-5;

/** A message between hosts: a loan, a returned loan, or a granted renewal. */
type Message
	= | {readonly kind: 'loan'; readonly to: number; readonly loan: BorrowedLoan}
		| {readonly kind: 'return'; readonly to: number; readonly loanId: string; readonly tokens: number}
		| {readonly kind: 'renewed'; readonly to: number; readonly loanId: string; readonly requestedAt: number};

type World = {
	readonly hosts: Allotment[];
	readonly messages: Message[];
	readonly spent: Array<{readonly at: number; readonly tokens: number}>;
	/** Rate of each host's clock relative to real time. */
	readonly clockRates: readonly number[];
	now: number;
	nextLoan: number;
};

const host = fc.nat({max: HOSTS - 1});
const loan = fc.nat({max: 5});
const message = fc.nat({max: 20});
const stepArbitrary = fc.oneof(
	{weight: 4, arbitrary: fc.record({kind: fc.constant('advanceTime' as const), milliseconds: fc.integer({min: 1, max: 300})})},
	{weight: 6, arbitrary: fc.record({kind: fc.constant('spend' as const), host, cost: fc.integer({min: 1, max: 30})})},
	{
		weight: 4, arbitrary: fc.record({
			kind: fc.constant('borrow' as const), host, lender: host, units: fc.integer({min: 1, max: TOTAL_UNITS}), keptTokenShare: fc.constantFrom(0, 0.04, 0.5),
		}),
	},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('renew' as const), host, loan})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('release' as const), host, loan})},
	// Messages are delayed, duplicated or lost.
	{weight: 5, arbitrary: fc.record({kind: fc.constant('deliver' as const), message, isKept: fc.boolean()})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('drop' as const), message})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('cancelRequest' as const), host})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('entitle' as const), host, isHalved: fc.boolean()})},
);

type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;
type StepOf<Kind extends Step['kind']> = Extract<Step, {kind: Kind}>;

function createWorld(clockRates: readonly number[]): World {
	const entitlement = {
		totalUnits: TOTAL_UNITS, rate: RATE, burst: BURST, base: TOTAL_UNITS / HOSTS, baseUntil: 5000,
	};
	return {
		hosts: clockRates.map(() => createAllotment(entitlement, 0)), messages: [], spent: [], clockRates, now: 0, nextLoan: 0,
	};
}

function findByIndex<Item>(items: readonly Item[], index: number): Item | undefined {
	return items.at(index % Math.max(1, items.length));
}

function readClock(world: World, index: number): number {
	return world.now * world.clockRates[index]!;
}

function updateHost(world: World, index: number, change: (own: Allotment, now: number) => Allotment): void {
	world.hosts[index] = change(world.hosts[index]!, readClock(world, index));
}

function handleMessage(world: World, item: Message): void {
	updateHost(world, item.to, (own, now) => {
		switch (item.kind) {
			case 'loan': {
				return applyBorrow(own, item.loan, now);
			}

			case 'return': {
				return applyReturnedLoan(own, item.loanId, item.tokens, now);
			}

			case 'renewed': {
				return applyBorrowRenewal(advanceAllotment(own, now), item.loanId, LEASE_MS, item.requestedAt);
			}
		}
	});
}

function runBorrow(world: World, step: StepOf<'borrow'>): void {
	if (step.host === step.lender) {
		return;
	}

	const loanId = `loan-${world.nextLoan++}`;
	updateHost(world, step.host, (own, now) => applyLoanRequest(own, {loanId, peer: String(step.lender), requestedAt: now}));
	updateHost(world, step.lender, (own, now) => {
		const outcome = applyLend(own, {
			loanId, peer: String(step.host), units: step.units, keep: 10, keptTokenShare: step.keptTokenShare, leaseMs: LEASE_MS,
		}, now);
		world.messages.push({
			kind: 'loan', to: step.host, loan: {
				loanId, units: outcome.units, tokens: outcome.tokens, leaseMs: LEASE_MS,
			},
		});
		return outcome.allotment;
	});
}

function runRenew(world: World, step: StepOf<'renew'>): void {
	const borrowed = findByIndex(world.hosts[step.host]!.borrowed, step.loan);
	if (!borrowed) {
		return;
	}

	updateHost(world, Number(borrowed.peer), (own, now) => {
		const outcome = applyLendRenewal(own, borrowed.loanId, LEASE_MS, now);
		if (outcome.isTaken) {
			world.messages.push({
				kind: 'renewed', to: step.host, loanId: borrowed.loanId, requestedAt: readClock(world, step.host),
			});
		}

		return outcome.allotment;
	});
}

function runRelease(world: World, step: StepOf<'release'>): void {
	const borrowed = findByIndex(world.hosts[step.host]!.borrowed, step.loan);
	if (!borrowed) {
		return;
	}

	updateHost(world, step.host, (own, now) => {
		const outcome = applyLoanRelease(own, borrowed.loanId, now);
		world.messages.push({
			kind: 'return', to: Number(borrowed.peer), loanId: borrowed.loanId, tokens: outcome.tokens,
		});
		return outcome.allotment;
	});
}

function runSpend(world: World, step: StepOf<'spend'>): void {
	updateHost(world, step.host, (own, now) => {
		const outcome = takeTokens(own, step.cost, now);
		if (outcome.isTaken) {
			world.spent.push({at: world.now, tokens: step.cost});
		}

		return outcome.allotment;
	});
}

function runDeliver(world: World, step: StepOf<'deliver'>): void {
	const item = findByIndex(world.messages, step.message);
	if (item) {
		handleMessage(world, item);
		world.messages.splice(world.messages.indexOf(item), step.isKept ? 0 : 1);
	}
}

/** A host applies a smaller share only once it covers the units that it has lent. */
function runEntitle(world: World, step: StepOf<'entitle'>): void {
	const base = TOTAL_UNITS / HOSTS / (step.isHalved ? 2 : 1);
	updateHost(world, step.host, (own, now) => base >= countUnits(own.lent) ? applyEntitlement(own, {...own, base}, now) : own);
}

function runStep(world: World, step: Step): void {
	switch (step.kind) {
		case 'advanceTime': {
			world.now += step.milliseconds;
			break;
		}

		case 'spend': {
			runSpend(world, step);
			break;
		}

		case 'borrow': {
			runBorrow(world, step);
			break;
		}

		case 'renew': {
			runRenew(world, step);
			break;
		}

		case 'release': {
			runRelease(world, step);
			break;
		}

		case 'deliver': {
			runDeliver(world, step);
			break;
		}

		case 'drop': {
			world.messages.splice(step.message, 1);
			break;
		}

		case 'cancelRequest': {
			updateHost(world, step.host, own => applyLoanRequestFailure(own, own.pending[0]?.loanId ?? ''));
			break;
		}

		case 'entitle': {
			runEntitle(world, step);
		}
	}
}

function countAllHeldUnits(world: World): number {
	return world.hosts.reduce((sum, own, index) => sum + countHeldUnits(advanceAllotment(own, readClock(world, index))), 0);
}

function countAllTokens(world: World): number {
	const held = world.hosts.reduce((sum, own, index) => sum + advanceAllotment(own, readClock(world, index)).tokens, 0);
	return held + world.spent.reduce((sum, item) => sum + item.tokens, 0);
}

/** Returns the most by which the tokens spent in any window exceed rate x window + burst, at the rate of the fastest clock. */
function readWorstExcess(spent: World['spent'], fastest: number): number {
	return Math.max(0, ...spent.map((first, index) => Math.max(...spent.slice(index).map((last, offset) => {
		const tokens = spent.slice(index, index + offset + 1).reduce((sum, item) => sum + item.tokens, 0);
		return tokens - BURST - (RATE * fastest * (last.at - first.at) / 1000);
	}))));
}

const clockRatesArbitrary = fc.array(fc.constantFrom(0.996, 1, 1.004), {minLength: HOSTS, maxLength: HOSTS});

describe('the allotment ledger', () => {
	test('never spends more than rate x window + burst and creates no tokens when messages are lost, delayed or duplicated and leases expire', () => {
		fc.assert(fc.property(clockRatesArbitrary, fc.array(stepArbitrary, {minLength: 1, maxLength: 80, size: 'max'}), (clockRates, steps) => {
			const world = createWorld(clockRates);
			const fastest = Math.max(...clockRates);
			const seen = steps.map(step => {
				runStep(world, step);
				return {units: countAllHeldUnits(world), created: countAllTokens(world) - (RATE * fastest * world.now / 1000)};
			});
			expect(Math.max(...seen.map(item => item.units))).toBeLessThanOrEqual(TOTAL_UNITS);
			expect(Math.max(...seen.map(item => item.created))).toBeLessThanOrEqual(TOLERANCE);
			expect(readWorstExcess(world.spent, fastest)).toBeLessThanOrEqual(TOLERANCE);
		}), {seed: SEED, numRuns: RUNS});
	}, 60_000);

	test('lends the whole share of idle hosts, except their reserve, to a busy host', () => {
		const world = createWorld([1, 1, 1, 1]);
		world.now = 1000;
		[1, 2, 3].forEach(lender => {
			runStep(world, {
				kind: 'borrow', host: 0, lender, units: TOTAL_UNITS, keptTokenShare: 0.04,
			});
		});
		[0, 0, 0].forEach(item => {
			runStep(world, {kind: 'deliver', message: item, isKept: false});
		});
		expect(countHeldUnits(world.hosts[0]!)).toBe(970);
		expect(world.hosts[0]!.tokens).toBeCloseTo(BURST * 0.97, 6);
	});

	test('loses the tokens of a lost loan message, and returns its units to the lender when the lease ends', () => {
		const world = createWorld([1, 1, 1, 1]);
		world.now = 1000;
		runStep(world, {
			kind: 'borrow', host: 0, lender: 1, units: 100, keptTokenShare: 0.04,
		});
		runStep(world, {kind: 'drop', message: 0});
		expect(countHeldUnits(advanceAllotment(world.hosts[1]!, 1000 + LEASE_MS))).toBe(150);
		expect(countHeldUnits(advanceAllotment(world.hosts[1]!, 1000 + (LEASE_MS * 1.01) + 51))).toBe(250);
	});

	test('units whose loan ends bring no tokens for the time during which they were lent', () => {
		const {allotment} = applyLend(createWorld([1]).hosts[0]!, {
			loanId: 'loan', peer: 'other', units: 200, keep: 0, keptTokenShare: 0.2, leaseMs: 2000,
		}, 0);
		const back = advanceAllotment(allotment, (2000 * 1.01) + 50);
		expect(countHeldUnits(back)).toBe(250);
		expect(back.tokens).toBeCloseTo(BURST * 50 / TOTAL_UNITS, 6);
	});

	test('a host that resumes after the lease on its share holds no units until the lease is renewed', () => {
		const paused = advanceAllotment(createWorld([1]).hosts[0]!, 5000);
		expect(takeTokens(paused, 1, 5000).isTaken).toBe(false);
		const renewed = applyEntitlement(paused, {...paused, baseUntil: 9000}, 5000);
		expect(takeTokens(renewed, 1, 5100).isTaken).toBe(true);
	});

	test('a lowered burst takes effect on the available tokens at once', () => {
		const full = advanceAllotment(createWorld([1]).hosts[0]!, 4000);
		expect(full.tokens).toBe(BURST / HOSTS);
		expect(applyEntitlement(full, {...full, rate: 10, burst: 6}, 4000).tokens).toBe(6 / HOSTS);
	});
});
