/** Runs a scenario: starts a deployment, applies a load, injects a fault partway, and collects the results. */
import {setMaxListeners} from 'node:events';
import {createSystemClock, waitUntil, type Clock} from 'heatherpond-core';
import {
	startLocalDeployment, type DeploymentPlan, type LocalDeployment,
} from 'heatherpond-local';
import type {LoadPlan} from '../load/load-plan.js';
import {findGuaranteeViolations, type FinalRow} from '../load/check-guarantees.js';
import type {RequestRecord} from '../load/request-record.js';
import {startLoad} from '../load/run-load.js';
import {MeasureError} from '../measure-error.js';
import type {Scenario} from './scenario.js';

/** Options of a scenario run. */
export type ScenarioOptions = {
	readonly plan: DeploymentPlan;
	readonly scenario: Scenario;
	readonly seed: number;
	readonly durationMs: number;
	/** Request rate of each team, as a share of its contracted rate. */
	readonly loadShare: number;
	readonly signal: AbortSignal;
};

/** SELECT statements served by primaries and by replicas, by the roles that databases have after the load. */
export type SelectCounts = {readonly primaries: number; readonly replicas: number};

/** Results of a scenario run. */
export type ScenarioResult = {
	readonly records: readonly RequestRecord[];
	readonly selects: SelectCounts;
	readonly brokenPromises: readonly string[];
	/** Start of the fault in milliseconds since the start of the load; `faultEndedAt` is on the same scale. */
	readonly faultStartedAt: number;
	readonly faultEndedAt: number;
};

const HOST_LIST_LAG_MS = 1000;
const HOST_LIST_TTL_MS = 5000;
const HOSTS_PER_DOMAIN = 2;
const SESSIONS_PER_TEAM = 6;
const FAULT_START_SHARE = 0.3;
const FAULT_END_SHARE = 0.75;
const SETTLE_TIMEOUT_MS = 15_000;
const POLL_MS = 20;

/** Starts a deployment and runs a scenario on it. */
export async function runScenario(options: ScenarioOptions): Promise<ScenarioResult> {
	const stop = new AbortController();
	setMaxListeners(0, stop.signal);
	options.signal.addEventListener('abort', () => {
		stop.abort();
	}, {once: true});
	const clock = createSystemClock();
	try {
		const deployment = await startLocalDeployment({
			plan: options.plan, hostsPerDomain: HOSTS_PER_DOMAIN, clock, logLevel: 'silent', hostListLagMs: HOST_LIST_LAG_MS, hostListTtlMs: HOST_LIST_TTL_MS, signal: stop.signal,
		});
		await createTables(deployment);
		return await runLoadWithFault(options, deployment, {clock, signal: stop.signal});
	} finally {
		stop.abort();
	}
}

/** Creates the load table in every group, directly on its primary. */
export async function createTables({databases, plan}: LocalDeployment): Promise<void> {
	databases.filter(database => database.database.readStatus().role === 'primary').forEach(({database}) => {
		database.commit([{
			kind: 'createTable',
			table: {name: plan.table, keyColumn: 'id', columns: [{name: 'id', type: 'text'}, {name: 'value', type: 'text'}]},
		}]);
	});
}

function createLoadPlan(options: ScenarioOptions, deployment: LocalDeployment): LoadPlan {
	const {plan, keys, hosts} = deployment;
	return {
		ports: hosts.map(host => host.callerPort),
		teams: plan.contracts.map(contract => ({
			team: contract.team,
			key: keys.get(contract.team)!,
			routes: contract.routes,
			requestsPerSecond: contract.rate * options.loadShare,
			sessions: SESSIONS_PER_TEAM,
		})),
		table: plan.table,
		writeShare: 0.3,
		staleReadShare: 0.3,
		maxStalenessMs: 5000,
		roamEvery: 25,
		durationMs: options.durationMs,
		seed: options.seed,
	};
}

type RunContext = {readonly clock: Clock; readonly signal: AbortSignal};

async function runLoadWithFault(options: ScenarioOptions, deployment: LocalDeployment, {clock, signal}: RunContext): Promise<ScenarioResult> {
	const startedAt = clock.readNow();
	const load = startLoad(createLoadPlan(options, deployment), signal);
	await waitUntil(clock, startedAt + (options.durationMs * FAULT_START_SHARE), signal);
	const faultStartedAt = clock.readNow() - startedAt;
	const endFault = await options.scenario.start(deployment);
	await waitUntil(clock, startedAt + (options.durationMs * FAULT_END_SHARE), signal);
	const faultEndedAt = clock.readNow() - startedAt;
	await endFault();
	await load.ended;
	const selects = countSelects(deployment);
	const rows = await readFinalRows(deployment, {clock, signal});
	return {
		records: load.records, selects, brokenPromises: findGuaranteeViolations({records: load.records, rows}), faultStartedAt, faultEndedAt,
	};
}

function countSelects({databases}: LocalDeployment): SelectCounts {
	const counts = databases.map(({database, counters}) => ({isPrimary: database.readStatus().role === 'primary', selects: counters.selects}));
	return {
		primaries: counts.filter(count => count.isPrimary).reduce((sum, count) => sum + count.selects, 0),
		replicas: counts.filter(count => !count.isPrimary).reduce((sum, count) => sum + count.selects, 0),
	};
}

/** Waits until every group has a primary with the highest term of the group, then reads the rows on these primaries. */
async function readFinalRows(deployment: LocalDeployment, {clock, signal}: RunContext): Promise<readonly FinalRow[]> {
	const deadline = clock.readNow() + SETTLE_TIMEOUT_MS;
	const groups = deployment.plan.groups.map(group => group.name);
	while (groups.some(group => !findCurrentPrimary(deployment, group))) {
		if (clock.readNow() > deadline) {
			throw new MeasureError('timed out waiting for every group to have a primary after the run');
		}

		await waitUntil(clock, clock.readNow() + POLL_MS, signal);
	}

	return groups.flatMap(group => {
		const table = findCurrentPrimary(deployment, group)!.database.store.findTable(deployment.plan.table);
		return [...table?.rows.values() ?? []].map(row => ({key: String(row.id), value: String(row.value)}));
	});
}

/** Finds the primary with the highest term in its group; undefined while there is none. */
function findCurrentPrimary(deployment: LocalDeployment, group: string) {
	const members = deployment.databases.filter(database => database.group.name === group);
	const highest = Math.max(...members.map(member => member.database.readStatus().term));
	return members.find(({database}) => database.readStatus().role === 'primary' && database.readStatus().term === highest);
}
