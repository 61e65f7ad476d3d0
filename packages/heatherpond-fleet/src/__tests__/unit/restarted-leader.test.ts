import {describe, expect, test} from '@jest/globals';
import {advance} from '../support/steps.js';
import {
	createTestFleet, TEAM, TEAM_LIMIT, type TestFleet,
} from '../support/test-fleet.js';

const LEADER = 'domain-1/host-1';
const HOSTS = [LEADER, 'domain-1/host-2', 'domain-2/host-1', 'domain-2/host-2'];
type DomainLoad = ReadonlyArray<readonly [domain: string, share: number]>;

/** Demand of the team in each failure domain, as a fraction of its rate limit. */
const BELOW_LIMIT: DomainLoad = [['domain-1', 0.6], ['domain-2', 0.25]];
const ABOVE_LIMIT: DomainLoad = [['domain-1', 2], ['domain-2', 1.2]];
/** Tolerance of a distributed limit in any window. */
const WINDOW_MS = 5000;
const TOLERATED_SHARE = 0.1;
const TOLERATED_OPERATIONS = 20;
const STEP_MS = 5;

type Outcome = {readonly admittedAt: number[]; readonly refusedAt: number[]};

/** Sends the team's operations to the running hosts for `lengthMs`, round robin within each domain. */
async function runLoad(fleet: TestFleet, load: DomainLoad, lengthMs: number, outcome: Outcome): Promise<void> {
	let steps = 0;
	await advance(fleet.clock, lengthMs, () => {
		steps++;
		load.forEach(([domain, share]) => {
			const perStep = TEAM_LIMIT.ratePerSecond * share * STEP_MS / 1000;
			const submitted = Math.floor(steps * perStep);
			if (submitted > Math.floor((steps - 1) * perStep)) {
				submitOperation(fleet, domain, submitted, outcome);
			}
		});
	});
}

function submitOperation(fleet: TestFleet, domain: string, turn: number, {admittedAt, refusedAt}: Outcome): void {
	const running = fleet.hosts.filter(({name, isKilled}) => !isKilled && name.startsWith(domain));
	const at = fleet.clock.readNow();
	void running[turn % running.length]!.host.sessions.admission.admit(TEAM).then(retryAfterMs => {
		(retryAfterMs === 0 ? admittedAt : refusedAt).push(at);
	});
}

async function runLoadWithRestart(downtimeMs: number, load: DomainLoad): Promise<Outcome & {readonly startedAt: number}> {
	const fleet = createTestFleet(HOSTS);
	const outcome: Outcome = {admittedAt: [], refusedAt: []};
	await advance(fleet.clock, 3000);
	await runLoad(fleet, load, 8000, outcome);
	fleet.killHost(LEADER);
	await runLoad(fleet, load, downtimeMs, outcome);
	const startedAt = fleet.clock.readNow();
	fleet.startHost(LEADER, 'domain-1');
	await runLoad(fleet, load, 6000, outcome);
	fleet.stop();
	return {...outcome, startedAt};
}

function countFullestWindow(admittedAt: readonly number[]): number {
	return Math.max(...admittedAt.map(end => admittedAt.filter(at => at > end - WINDOW_MS && at <= end).length));
}

describe('a domain leader that restarts', () => {
	test.each([400, 1500, 3000])('refuses no operation of a team below its limit after %d ms of downtime', async downtimeMs => {
		const {refusedAt, startedAt} = await runLoadWithRestart(downtimeMs, BELOW_LIMIT);
		expect(refusedAt.filter(at => at > startedAt)).toEqual([]);
	});

	test.each([400, 1500, 3000])('keeps a team above its limit within the tolerance after %d ms of downtime', async downtimeMs => {
		const {admittedAt} = await runLoadWithRestart(downtimeMs, ABOVE_LIMIT);
		const {ratePerSecond, burst} = TEAM_LIMIT;
		expect(countFullestWindow(admittedAt)).toBeLessThanOrEqual((((ratePerSecond * WINDOW_MS / 1000) + burst) * (1 + TOLERATED_SHARE)) + TOLERATED_OPERATIONS);
	});
});
