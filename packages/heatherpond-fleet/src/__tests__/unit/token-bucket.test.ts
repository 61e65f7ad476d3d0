import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {
	recordOperation, recordReportedDemand, createTokenBucket, takeTokens, readDemand, type DemandRate, type OtherDomains, type TeamLimit, type TokenBucket,
} from '../../index.js';

const SEED = 20_261_204;
const SEEDS = fc.integer({min: 1, max: 1_000_000});
const HOSTS = 7;
const REPORT_INTERVAL_MS = 1200;
const STEP_MS = 10;
/** Tolerance of a distributed limit in any window. */
const WINDOW_MS = 5000;
const TOLERATED_SHARE = 0.1;
const TOLERATED_OPERATIONS = 20;

type Load = {
	/** Demand on a host at an instant, in operations per second. */
	readonly readDemandAt: (host: number, at: number) => number;
	/** Fraction of the reports that is lost. */
	readonly lossShare: number;
	/** When all hosts restart at once. */
	readonly restartsAt?: number;
	readonly lengthMs: number;
};

type SimulationResult = {readonly admittedAt: readonly number[]; /** Operations refused on each of their attempts. */ readonly unserved: number};

/** Retries of a client after the first attempt, each after the delay it was given. */
const RETRIES = 2;

type Attempt = {readonly host: number; readonly at: number; readonly retriesLeft: number};

/** Simulates hosts that each enforce the limit for a domain of their own and exchange reports, some of which are lost. */
function runSimulation(limit: TeamLimit, load: Load, seed: number): SimulationResult {
	let draw = seed;
	function createRandom(): number {
		draw = (draw * 48_271) % 2_147_483_647;
		return draw / 2_147_483_647;
	}

	let buckets: Array<TokenBucket | undefined> = Array.from({length: HOSTS});
	let demands: Array<DemandRate | undefined> = Array.from({length: HOSTS});
	let received: Array<Map<number, number>> = Array.from({length: HOSTS}, () => new Map<number, number>());
	const admittedAt: number[] = [];
	let pending: Attempt[] = [];
	let unserved = 0;

	function readOtherDomains(host: number): OtherDomains {
		const known = received[host]!;
		return {
			demandPerSecond: [...known.values()].reduce((sum, demand) => sum + demand, 0), heard: known.size, unheard: HOSTS - 1 - known.size, coveredFraction: 1,
		};
	}

	function runAttempt(now: number, {host, retriesLeft}: Attempt): void {
		const otherDomains = readOtherDomains(host);
		demands[host] = recordOperation(demands[host], limit, now);
		const {share, retryAfterMs} = takeTokens(buckets[host] ?? createTokenBucket(limit, otherDomains, now), limit, otherDomains, {wanted: 1, now});
		buckets[host] = share;
		if (retryAfterMs === 0) {
			admittedAt.push(now);
		} else if (retriesLeft > 0) {
			pending.push({host, at: now + retryAfterMs, retriesLeft: retriesLeft - 1});
		} else {
			unserved++;
		}
	}

	function sendReport(now: number, host: number): void {
		const perSecond = readDemand(demands[host], limit, now);
		buckets[host] &&= recordReportedDemand(buckets[host], perSecond);
		received.forEach((known, other) => {
			if (other !== host && createRandom() >= load.lossShare) {
				known.set(host, perSecond);
			}
		});
	}

	for (let now = 0; now < load.lengthMs; now += STEP_MS) {
		if (now === load.restartsAt) {
			buckets = Array.from({length: HOSTS});
			demands = Array.from({length: HOSTS});
			received = Array.from({length: HOSTS}, () => new Map<number, number>());
		}

		const due = pending.filter(({at}) => at <= now);
		pending = pending.filter(({at}) => at > now);
		due.forEach(attempt => {
			runAttempt(now, attempt);
		});
		for (const host of Array.from({length: HOSTS}).keys()) {
			if ((now + (host * 110)) % REPORT_INTERVAL_MS === 0) {
				sendReport(now, host);
			}

			if (createRandom() < load.readDemandAt(host, now) * STEP_MS / 1000) {
				runAttempt(now, {host, at: now, retriesLeft: RETRIES});
			}
		}
	}

	return {admittedAt, unserved};
}

function countFullestWindow(admittedAt: readonly number[]): number {
	let start = 0;
	return admittedAt.reduce((most, at, index) => {
		while (admittedAt[start]! <= at - WINDOW_MS) {
			start++;
		}

		return Math.max(most, index - start + 1);
	}, 0);
}

function readAllowed({ratePerSecond, burst}: TeamLimit): number {
	return (((ratePerSecond * WINDOW_MS / 1000) + burst) * (1 + TOLERATED_SHARE)) + TOLERATED_OPERATIONS;
}

describe('the token buckets of all domains', () => {
	test('together keep to the limit in any window under uneven and sudden load', () => {
		fc.assert(fc.property(SEEDS, fc.integer({min: 5, max: 90}), fc.double({min: 1, max: 8, noNaN: true}), fc.double({min: 0, max: 0.2, noNaN: true}), (seed, ratePerSecond, factor, lossShare) => {
			const limit = {ratePerSecond, burst: ratePerSecond};
			const {admittedAt} = runSimulation(limit, {
				readDemandAt: (host, at) => at < 4000 ? ratePerSecond * 0.6 / HOSTS : ratePerSecond * factor * (host + 1) / 28,
				lossShare, lengthMs: 14_000,
			}, seed);
			expect(countFullestWindow(admittedAt)).toBeLessThanOrEqual(readAllowed(limit));
		}), {seed: SEED, numRuns: 60});
	});

	test('together keep to the limit when all hosts restart under overload', () => {
		fc.assert(fc.property(SEEDS, fc.integer({min: 5, max: 140}), (seed, ratePerSecond) => {
			const limit = {ratePerSecond, burst: ratePerSecond};
			const {admittedAt} = runSimulation(limit, {
				readDemandAt: () => ratePerSecond * 4 / HOSTS, lossShare: 0.05, restartsAt: 6000, lengthMs: 14_000,
			}, seed);
			expect(countFullestWindow(admittedAt)).toBeLessThanOrEqual(readAllowed(limit));
		}), {seed: SEED, numRuns: 60});
	});

	test.each([3, 10, 60])('serve a team at 60 %% of its limit of %d per second, after retries at most', ratePerSecond => {
		const limit = {ratePerSecond, burst: ratePerSecond};
		const outcomes = Array.from({length: 10}, (_, index) => runSimulation(limit, {
			readDemandAt: host => ratePerSecond * 0.6 * (host + 1) / 28, lossShare: 0.05, lengthMs: 30_000,
		}, SEED + index));
		const unserved = outcomes.reduce((sum, outcome) => sum + outcome.unserved, 0);
		const served = outcomes.reduce((sum, outcome) => sum + outcome.admittedAt.length, 0);
		expect(unserved / (unserved + served)).toBeLessThan(0.01);
	});

	test('admit at least 90 % of the limit of a team under overload', () => {
		const limit = {ratePerSecond: 60, burst: 60};
		const {admittedAt} = runSimulation(limit, {
			readDemandAt: host => 60 * 3 * (host + 1) / 28, lossShare: 0.05, lengthMs: 20_000,
		}, SEED);
		const late = admittedAt.filter(at => at >= 5000).length;
		expect(late / 15).toBeGreaterThan(54);
	});
});
