import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {
	recordOperation, recordReportedDemand, createTokenBucket, takeTokens, readDemand, type DemandRate, type OtherDomains, type TeamLimit, type TokenBucket,
} from '../../index.js';

const SEED = 20_261_204;
const SEEDS = fc.integer({min: 1, max: 1_000_000});
const HOSTS = 7;
const REPORT_MS = 1200;
const STEP_MS = 10;
/** The tolerance that a limit over all hosts has to keep to in any window. */
const WINDOW_MS = 5000;
const TOLERATED_SHARE = 0.1;
const TOLERATED_OPERATIONS = 20;

type Load = {
	/** Operations a second that the team asks, by host, at an instant. */
	readonly readOffered: (host: number, at: number) => number;
	readonly lossShare: number;
	readonly restartsAt?: number;
	readonly lengthMs: number;
};

type Outcome = {readonly admittedAt: readonly number[]; /** Operations refused at each of their tries. */ readonly unserved: number};

/** Tries that a caller makes after the first, each as late as it was told. */
const RETRIES = 2;

type Asking = {readonly host: number; readonly at: number; readonly retriesLeft: number};

/** Plays hosts that report to each other and lose some reports. */
function runHosts(limit: TeamLimit, load: Load, seed: number): Outcome {
	let draw = seed;
	function createDraw(): number {
		draw = (draw * 48_271) % 2_147_483_647;
		return draw / 2_147_483_647;
	}

	let shares: Array<TokenBucket | undefined> = Array.from({length: HOSTS});
	let offered: Array<DemandRate | undefined> = Array.from({length: HOSTS});
	let heard: Array<Map<number, number>> = Array.from({length: HOSTS}, () => new Map<number, number>());
	const admittedAt: number[] = [];
	let waiting: Asking[] = [];
	let unserved = 0;

	function readOthers(host: number): OtherDomains {
		const known = heard[host]!;
		return {
			demandPerSecond: [...known.values()].reduce((sum, offered) => sum + offered, 0), heard: known.size, unheard: HOSTS - 1 - known.size, coveredPart: 1,
		};
	}

	function ask(now: number, {host, retriesLeft}: Asking): void {
		const others = readOthers(host);
		offered[host] = recordOperation(offered[host], limit, now);
		const {bucket, retryAfterMs} = takeTokens(shares[host] ?? createTokenBucket(limit, others, now), limit, others, {wanted: 1, now});
		shares[host] = bucket;
		if (retryAfterMs === 0) {
			admittedAt.push(now);
		} else if (retriesLeft > 0) {
			waiting.push({host, at: now + retryAfterMs, retriesLeft: retriesLeft - 1});
		} else {
			unserved++;
		}
	}

	function sendReport(now: number, host: number): void {
		const perSecond = readDemand(offered[host], limit, now);
		shares[host] &&= recordReportedDemand(shares[host], perSecond);
		heard.forEach((known, other) => {
			if (other !== host && createDraw() >= load.lossShare) {
				known.set(host, perSecond);
			}
		});
	}

	for (let now = 0; now < load.lengthMs; now += STEP_MS) {
		if (now === load.restartsAt) {
			shares = Array.from({length: HOSTS});
			offered = Array.from({length: HOSTS});
			heard = Array.from({length: HOSTS}, () => new Map<number, number>());
		}

		const due = waiting.filter(({at}) => at <= now);
		waiting = waiting.filter(({at}) => at > now);
		due.forEach(asking => {
			ask(now, asking);
		});
		for (const host of Array.from({length: HOSTS}).keys()) {
			if ((now + (host * 110)) % REPORT_MS === 0) {
				sendReport(now, host);
			}

			if (createDraw() < load.readOffered(host, now) * STEP_MS / 1000) {
				ask(now, {host, at: now, retriesLeft: RETRIES});
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

describe('shares of a limit', () => {
	test('add up to the limit in any window, however unevenly and suddenly a team asks', () => {
		fc.assert(fc.property(SEEDS, fc.integer({min: 5, max: 90}), fc.double({min: 1, max: 8, noNaN: true}), fc.double({min: 0, max: 0.2, noNaN: true}), (seed, ratePerSecond, factor, lossShare) => {
			const limit = {ratePerSecond, burst: ratePerSecond};
			const {admittedAt} = runHosts(limit, {
				readOffered: (host, at) => at < 4000 ? ratePerSecond * 0.6 / HOSTS : ratePerSecond * factor * (host + 1) / 28,
				lossShare, lengthMs: 14_000,
			}, seed);
			expect(countFullestWindow(admittedAt)).toBeLessThanOrEqual(readAllowed(limit));
		}), {seed: SEED, numRuns: 60});
	});

	test('add up to the limit when all hosts start anew while a team presses', () => {
		fc.assert(fc.property(SEEDS, fc.integer({min: 5, max: 140}), (seed, ratePerSecond) => {
			const limit = {ratePerSecond, burst: ratePerSecond};
			const {admittedAt} = runHosts(limit, {
				readOffered: () => ratePerSecond * 4 / HOSTS, lossShare: 0.05, restartsAt: 6000, lengthMs: 14_000,
			}, seed);
			expect(countFullestWindow(admittedAt)).toBeLessThanOrEqual(readAllowed(limit));
		}), {seed: SEED, numRuns: 60});
	});

	test.each([3, 10, 60])('serve a team that asks for 60 %% of %d a second, at the latest when it returns as told', ratePerSecond => {
		const limit = {ratePerSecond, burst: ratePerSecond};
		const outcomes = Array.from({length: 10}, (_, index) => runHosts(limit, {
			readOffered: host => ratePerSecond * 0.6 * (host + 1) / 28, lossShare: 0.05, lengthMs: 30_000,
		}, SEED + index));
		const unserved = outcomes.reduce((sum, outcome) => sum + outcome.unserved, 0);
		const served = outcomes.reduce((sum, outcome) => sum + outcome.admittedAt.length, 0);
		expect(unserved / (unserved + served)).toBeLessThan(0.01);
	});

	test('let a team that presses have most of its rate', () => {
		const limit = {ratePerSecond: 60, burst: 60};
		const {admittedAt} = runHosts(limit, {
			readOffered: host => 60 * 3 * (host + 1) / 28, lossShare: 0.05, lengthMs: 20_000,
		}, SEED);
		const late = admittedAt.filter(at => at >= 5000).length;
		expect(late / 15).toBeGreaterThan(54);
	});
});
