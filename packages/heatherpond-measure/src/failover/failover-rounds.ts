/** Runs consecutive failovers under one condition while clients write, and reads the gaps from the write ledgers. */
import {setMaxListeners} from 'node:events';
import {
	waitUntil, type Clock, type GroupRecord, type Instant,
} from 'heatherpond-core';
import {
	checkLedger, createLedgerTable, startLocalDeployment, startWriteLedger,
	type DeploymentPlan, type LedgerEntry, type LedgerCheckResult, type LocalDatabase, type LocalDeployment, type WriteLedger,
} from 'heatherpond-local';
import {MeasureError} from '../measure-error.js';
import type {FailoverCondition, FailoverContext} from './failover-conditions.js';

/** Options of a series of failover rounds. */
export type FailoverRoundsOptions = {
	readonly plan: DeploymentPlan;
	readonly condition: FailoverCondition;
	readonly rounds: number;
	readonly clock: Clock;
	readonly signal: AbortSignal;
};

/** Results of a series of failover rounds. */
export type FailoverRoundsResult = {
	/** Failover gap of each round, in milliseconds. */
	readonly gaps: readonly number[];
	/** Ledger check of each route. */
	readonly verdicts: readonly LedgerCheckResult[];
};

/** A route under write load, with the group that serves it and the ledger of its writes. */
type MeasuredRoute = {readonly group: string; readonly ledger: WriteLedger};

const HOSTS_PER_DOMAIN = 2;
const WRITE_INTERVAL_MS = 10;
/** Simulated latency of opening a database connection. */
const CONNECT_DELAY_MS = 12;
/** Simulated latency of a platform call. */
const PLATFORM_DELAY_MS = 2;
/** Duration of fault-free writes before each failover; longer than a lease, so that all hosts follow the log again. */
const STEADY_STATE_MS = 300;
const STARTUP_MS = 1500;
const ROUND_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 5;

/** Starts a deployment and runs all rounds on it, each on the next route in turn. */
export async function runFailoverRounds(options: FailoverRoundsOptions): Promise<FailoverRoundsResult> {
	const {plan, condition, clock} = options;
	const stop = new AbortController();
	const signal = AbortSignal.any([stop.signal, options.signal]);
	setMaxListeners(0, signal);
	try {
		const deployment = await startLocalDeployment({
			plan, hostsPerDomain: HOSTS_PER_DOMAIN, clock, logLevel: 'silent', hostListLagMs: 0, signal,
		});
		applyLatencies(deployment);
		condition.prepare(deployment);
		const routes = await startWriters(deployment, {clock, signal});
		await waitUntil(clock, clock.readNow() + STARTUP_MS, signal);
		const gaps: number[] = [];
		for (const round of Array.from({length: options.rounds}).keys()) {
			gaps.push(await runRound(deployment, routes[round % routes.length]!, {...options, signal}));
		}

		await Promise.all(routes.map(async route => route.ledger.close()));
		return {gaps, verdicts: routes.map(route => checkLedger(route.ledger.readEntries(), findDatabases(deployment, route.group), findPrimary(deployment, route.group)))};
	} finally {
		stop.abort();
	}
}

function applyLatencies({databases, platform}: LocalDeployment): void {
	databases.forEach(({faults}) => {
		faults.connectDelayMs = CONNECT_DELAY_MS;
	});
	platform.faults.delayMs = PLATFORM_DELAY_MS;
}

async function startWriters(deployment: LocalDeployment, run: {readonly clock: Clock; readonly signal: AbortSignal}): Promise<MeasuredRoute[]> {
	const {team} = (deployment.plan.contracts[0]!);
	const routes = deployment.plan.routes.filter(route => !route.open);
	return Promise.all(routes.map(async route => {
		await createLedgerTable({deployment, route: route.name, team});
		const ledger = startWriteLedger({
			deployment, route: route.name, team, writersPerHost: 1, pauseMs: WRITE_INTERVAL_MS, ...run,
		});
		return {group: route.group, ledger};
	}));
}

/** Finds the record of a group in the newest view that any host has. */
function findGroup({hosts}: LocalDeployment, name: string): GroupRecord {
	const views = hosts.map(host => host.blackboard.read().view).toSorted((left, right) => right.version - left.version);
	return views[0]!.groups[name]!;
}

function findDatabases({databases}: LocalDeployment, group: string): readonly LocalDatabase[] {
	return databases.filter(database => database.group.name === group);
}

function findPrimary(deployment: LocalDeployment, group: string): LocalDatabase {
	const {primary} = findGroup(deployment, group);
	return findDatabases(deployment, group).find(database => database.member.name === primary)!;
}

/** Runs one failover on a route and returns its gap in milliseconds. */
async function runRound(deployment: LocalDeployment, route: MeasuredRoute, {condition, clock, signal}: FailoverRoundsOptions): Promise<number> {
	await waitUntil(clock, clock.readNow() + STEADY_STATE_MS, signal);
	const group = findGroup(deployment, route.group);
	const context: FailoverContext = {
		deployment, group, primary: findPrimary(deployment, route.group), clock, signal,
	};
	const startedAt = clock.readNow();
	await condition.start(context);
	await waitForCondition('a new primary', () => findGroup(deployment, route.group).term > group.term && !findGroup(deployment, route.group).promotion, {clock, signal});
	const promotedAt = clock.readNow();
	await waitForCondition('writes on the new primary', () => route.ledger.readEntries().some(entry => entry.startedAt > promotedAt && entry.outcome === 'acknowledged'), {clock, signal});
	const gap = findLongestGap(route.ledger.readEntries(), startedAt);
	condition.end(context);
	await waitForCondition('the old primary to rejoin its group as a replica', () => hasOldPrimaryRejoined(context, findGroup(deployment, route.group)), {clock, signal});
	return gap;
}

/** Checks that the old primary follows the new one and that no host counts failures of any database. */
function hasOldPrimaryRejoined({deployment, primary}: FailoverContext, group: GroupRecord): boolean {
	const {role, term, follows} = primary.database.readStatus();
	const isFollowing = role === 'replica' && term === group.term && follows === group.primary;
	return isFollowing && deployment.hosts.every(host => Object.values(host.blackboard.read().databases).every(known => known.failures === 0));
}

/**
 * Finds the longest time between two consecutive acknowledgements, from the last one before the failover at `startedAt`
 * onwards.
 */
export function findLongestGap(entries: readonly LedgerEntry[], startedAt: Instant): number {
	const ends = entries.filter(entry => entry.outcome === 'acknowledged').map(entry => entry.endedAt).toSorted((left, right) => left - right);
	const first = Math.max(0, ends.findLastIndex(end => end < startedAt));
	const fromFailover = ends.slice(first);
	return Math.max(0, ...fromFailover.slice(1).map((end, index) => end - fromFailover[index]!));
}

/** Polls until a condition holds; fails after `ROUND_TIMEOUT_MS` or if the signal aborts. */
async function waitForCondition(description: string, condition: () => boolean, {clock, signal}: {readonly clock: Clock; readonly signal: AbortSignal}): Promise<void> {
	const deadline = clock.readNow() + ROUND_TIMEOUT_MS;
	while (!condition()) {
		if (clock.readNow() > deadline || signal.aborted) {
			throw new MeasureError(`timed out or aborted while waiting for ${description}`);
		}

		await waitUntil(clock, clock.readNow() + POLL_INTERVAL_MS, signal);
	}
}
