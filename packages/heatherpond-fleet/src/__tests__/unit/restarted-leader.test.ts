import {describe, expect, test} from '@jest/globals';
import {advance} from '../support/steps.js';
import {
	createTestFleet, TEAM, TEAM_LIMIT, type TestFleet,
} from '../support/test-fleet.js';

const FIRST = 'domain-1/host-1';
const HOSTS = [FIRST, 'domain-1/host-2', 'domain-2/host-1', 'domain-2/host-2'];
type DomainShares = ReadonlyArray<readonly [domain: string, share: number]>;

/** What the team asks of each failure domain, as a part of its rate. */
const MOST_OF_RATE: DomainShares = [['domain-1', 0.6], ['domain-2', 0.25]];
const FAR_ABOVE_RATE: DomainShares = [['domain-1', 2], ['domain-2', 1.2]];
/** The tolerance that a limit over all hosts has to keep to in any window. */
const WINDOW_MS = 5000;
const TOLERATED_SHARE = 0.1;
const TOLERATED_OPERATIONS = 20;
const STEP_MS = 5;

type Played = {readonly admittedAt: number[]; readonly refusedAt: number[]};

/** Lets the team ask the hosts that run, those of a domain in turn, for some milliseconds. */
async function runLoad(fleet: TestFleet, shares: DomainShares, lengthMs: number, played: Played): Promise<void> {
	let steps = 0;
	await advance(fleet.clock, lengthMs, () => {
		steps++;
		shares.forEach(([domain, share]) => {
			const perStep = TEAM_LIMIT.ratePerSecond * share * STEP_MS / 1000;
			const asked = Math.floor(steps * perStep);
			if (asked > Math.floor((steps - 1) * perStep)) {
				ask(fleet, domain, asked, played);
			}
		});
	});
}

function ask(fleet: TestFleet, domain: string, turn: number, {admittedAt, refusedAt}: Played): void {
	const running = fleet.hosts.filter(({name, isKilled}) => !isKilled && name.startsWith(domain));
	const at = fleet.clock.readNow();
	void running[turn % running.length]!.host.sessions.admission.admit(TEAM).then(retryAfterMs => {
		(retryAfterMs === 0 ? admittedAt : refusedAt).push(at);
	});
}

async function runRestart(awayMs: number, shares: DomainShares): Promise<Played & {readonly startedAt: number}> {
	const fleet = createTestFleet(HOSTS);
	const played: Played = {admittedAt: [], refusedAt: []};
	await advance(fleet.clock, 3000);
	await runLoad(fleet, shares, 8000, played);
	fleet.killHost(FIRST);
	await runLoad(fleet, shares, awayMs, played);
	const startedAt = fleet.clock.readNow();
	fleet.startHost(FIRST, 'domain-1');
	await runLoad(fleet, shares, 6000, played);
	fleet.stop();
	return {...played, startedAt};
}

function countFullestWindow(admittedAt: readonly number[]): number {
	return Math.max(...admittedAt.map(end => admittedAt.filter(at => at > end - WINDOW_MS && at <= end).length));
}

describe('a host that decides for its failure domain and starts anew', () => {
	test.each([400, 1500, 3000])('refuses nothing within the limit after %d ms away', async awayMs => {
		const {refusedAt, startedAt} = await runRestart(awayMs, MOST_OF_RATE);
		expect(refusedAt.filter(at => at > startedAt)).toEqual([]);
	});

	test.each([400, 1500, 3000])('keeps to the limit with the others after %d ms away', async awayMs => {
		const {admittedAt} = await runRestart(awayMs, FAR_ABOVE_RATE);
		const {ratePerSecond, burst} = TEAM_LIMIT;
		expect(countFullestWindow(admittedAt)).toBeLessThanOrEqual((((ratePerSecond * WINDOW_MS / 1000) + burst) * (1 + TOLERATED_SHARE)) + TOLERATED_OPERATIONS);
	});
});
