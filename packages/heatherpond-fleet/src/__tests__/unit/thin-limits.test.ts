import {describe, expect, test} from '@jest/globals';
import {advance} from '../support/steps.js';
import {createTestFleet, TEAM, type TestFleet} from '../support/test-fleet.js';

const DOMAINS = ['d1', 'd2', 'd3', 'd4', 'd5', 'd6'];
const HOSTS = DOMAINS.flatMap(domain => [`${domain}/host-1`, `${domain}/host-2`]);
/** A rate of which a domain's share is less than one operation a second. */
const THIN_LIMIT = {ratePerSecond: 5, burst: 5};
/** Tolerance of a distributed limit in any window. */
const WINDOW_MS = 5000;
const TOLERATED_SHARE = 0.1;
const TOLERATED_OPERATIONS = 20;
const STEP_MS = 5;

type Outcome = {readonly admittedAt: number[]; refused: number};

/** Returns pseudo-random numbers from 0 to 1; the same for the same seed. */
function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = ((state * 1_103_515_245) + 12_345) % 2_147_483_648;
		return state / 2_147_483_648;
	};
}

/** Sends operations that arrive independently of each other at random hosts. */
async function runLoad(fleet: TestFleet, ratePerSecond: number, lengthMs: number, outcome: Outcome): Promise<void> {
	const random = createRandom(7);
	await advance(fleet.clock, lengthMs, () => {
		if (random() < ratePerSecond * STEP_MS / 1000) {
			const running = fleet.hosts.filter(({isKilled}) => !isKilled);
			const at = fleet.clock.readNow();
			void running[Math.floor(random() * running.length)]!.host.sessions.admission.admit(TEAM).then(retryAfterMs => {
				if (retryAfterMs === 0) {
					outcome.admittedAt.push(at);
				} else {
					outcome.refused++;
				}
			});
		}
	});
	await advance(fleet.clock, 300);
}

function countFullestWindow(admittedAt: readonly number[]): number {
	return Math.max(...admittedAt.map(end => admittedAt.filter(at => at > end - WINDOW_MS && at <= end).length));
}

describe('a thin rate limit over six failure domains', () => {
	test('refuses no operation of a team that stays well below its rate, wherever it arrives', async () => {
		const fleet = createTestFleet(HOSTS, {limit: THIN_LIMIT});
		await advance(fleet.clock, 4000);
		const outcome: Outcome = {admittedAt: [], refused: 0};
		await runLoad(fleet, THIN_LIMIT.ratePerSecond * 0.6, 60_000, outcome);
		expect(outcome.admittedAt.length).toBeGreaterThan(150);
		expect(outcome.refused).toBe(0);
		fleet.stop();
	});

	test('keeps a team above its rate within the tolerance, and admits its whole rate', async () => {
		const fleet = createTestFleet(HOSTS, {limit: THIN_LIMIT});
		await advance(fleet.clock, 4000);
		const outcome: Outcome = {admittedAt: [], refused: 0};
		await runLoad(fleet, THIN_LIMIT.ratePerSecond * 8, 30_000, outcome);
		const {ratePerSecond, burst} = THIN_LIMIT;
		expect(countFullestWindow(outcome.admittedAt)).toBeLessThanOrEqual((((ratePerSecond * WINDOW_MS / 1000) + burst) * (1 + TOLERATED_SHARE)) + TOLERATED_OPERATIONS);
		expect(outcome.admittedAt.length).toBeGreaterThan(ratePerSecond * 30 * 0.9);
		fleet.stop();
	});

	test('stays within the tolerance while half of the leaders fail and start again', async () => {
		const fleet = createTestFleet(HOSTS, {limit: THIN_LIMIT});
		await advance(fleet.clock, 6000);
		const outcome: Outcome = {admittedAt: [], refused: 0};
		await runLoad(fleet, THIN_LIMIT.ratePerSecond * 8, 4000, outcome);
		['d1/host-1', 'd3/host-1', 'd5/host-1'].forEach(fleet.killHost);
		await runLoad(fleet, THIN_LIMIT.ratePerSecond * 8, 1500, outcome);
		['d1', 'd3', 'd5'].forEach(domain => {
			fleet.startHost(`${domain}/host-1`, domain);
		});
		await runLoad(fleet, THIN_LIMIT.ratePerSecond * 8, 8000, outcome);
		const {ratePerSecond, burst} = THIN_LIMIT;
		expect(countFullestWindow(outcome.admittedAt)).toBeLessThanOrEqual((((ratePerSecond * WINDOW_MS / 1000) + burst) * (1 + TOLERATED_SHARE)) + TOLERATED_OPERATIONS);
		fleet.stop();
	});
});
