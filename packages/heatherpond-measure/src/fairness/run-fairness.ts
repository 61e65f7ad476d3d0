/** Runs a load with one noisy team on a deployment of seven hosts and records the admitted requests. */
import {setMaxListeners} from 'node:events';
import {createSystemClock, waitUntil} from 'heatherpond-core';
import {startLocalDeployment, type DeploymentPlan, type LocalDeployment} from 'heatherpond-local';
import type {Logger} from 'heatherpond-observe';
import type {SharingMode} from 'heatherpond-proxy';
import type {LoadPlan} from '../load/load-plan.js';
import type {RequestRecord} from '../load/request-record.js';
import {startLoad} from '../load/run-load.js';
import {createTables} from '../suite/run-scenario.js';

/** Injects a fault while the load runs. */
export type FairnessFault = (deployment: LocalDeployment) => void;

/** Configuration of one run. */
export type FairnessRun = {
	readonly title: string;
	readonly sharing: SharingMode;
	/** Request rate of the noisy team as a multiple of its contracted rate; 1 means that no team is noisy. */
	readonly rateMultiplier: number;
	readonly startFault?: FairnessFault;
	/** Number of hosts that receive client requests. Defaults to all hosts. */
	readonly entryHosts?: number;
};

/** Options common to all runs. */
export type FairnessOptions = {
	readonly plan: DeploymentPlan;
	readonly noisyTeam: string;
	readonly durationMs: number;
	readonly seed: number;
	readonly signal: AbortSignal;
};

/** An admitted request: its team and the time of admission, on the clock of the run. */
export type Admission = {readonly team: string; readonly at: number};

/** Requests and admissions recorded during a run. */
export type FairnessResult = {
	readonly records: readonly RequestRecord[];
	readonly admissions: readonly Admission[];
	/** Time of the fault in milliseconds since the start of the load; the end of the load if the run has no fault. */
	readonly faultAt: number;
};

/** Request rate of every other team, as a share of its contracted rate. */
const LOAD_SHARE = 0.8;
const SESSIONS_PER_TEAM = 4;
const NOISY_TEAM_SESSIONS = 200;
const FAULT_SHARE = 0.3;
const HOST_LIST_LAG_MS = 1000;
const HOST_LIST_TTL_MS = 4000;
/** One-way network delay between failure domains, by deployment. */
const PEER_DELAY_MS = {kringloop: 12, instituto: 20};
/** Time for token buckets to fill before the load starts. */
const WARM_UP_MS = 2500;

/** Starts a deployment and performs one run on it. */
export async function runFairness(options: FairnessOptions, run: FairnessRun): Promise<FairnessResult> {
	const stop = new AbortController();
	setMaxListeners(0, stop.signal);
	options.signal.addEventListener('abort', () => {
		stop.abort();
	}, {once: true});
	const clock = createSystemClock();
	const admitted: Admission[] = [];
	try {
		const deployment = await startLocalDeployment({
			plan: options.plan, hostsPerDomain: 2, extraHosts: 1, sharing: run.sharing, clock, logLevel: 'silent', hostListLagMs: HOST_LIST_LAG_MS, hostListTtlMs: HOST_LIST_TTL_MS, wrapLogger: (_host, logger) => collectAdmissions(logger, clock.readNow, admitted), signal: stop.signal,
		});
		deployment.peerFaults.delayMs = PEER_DELAY_MS[options.plan.name === 'kringloop' ? 'kringloop' : 'instituto'];
		await createTables(deployment);
		await waitUntil(clock, clock.readNow() + WARM_UP_MS, stop.signal);
		const startedAt = clock.readNow();
		const load = startLoad(createLoadPlan(options, run, deployment), stop.signal);
		const faultAt = options.durationMs * (run.startFault ? FAULT_SHARE : 1);
		await waitUntil(clock, startedAt + faultAt, stop.signal);
		run.startFault?.(deployment);
		await load.ended;
		return {records: load.records, admissions: admitted, faultAt};
	} finally {
		stop.abort();
	}
}

/** Wraps a host logger so that every `requestAdmitted` event is recorded as an admission. */
function collectAdmissions(logger: Logger, readNow: () => number, admitted: Admission[]): Logger {
	return {
		...logger,
		debug(event, fields) {
			if (event === 'requestAdmitted') {
				admitted.push({team: String(fields.team), at: readNow()});
			}
		},
	};
}

function createLoadPlan({plan, noisyTeam, durationMs, seed}: FairnessOptions, run: FairnessRun, deployment: LocalDeployment): LoadPlan {
	return {
		ports: deployment.hosts.slice(0, run.entryHosts).map(host => host.callerPort),
		teams: plan.contracts.map(({team, rate, routes}) => {
			const isNoisy = team === noisyTeam && run.rateMultiplier > 1;
			return {
				team, key: deployment.keys.get(team)!, routes, requestsPerSecond: rate * (isNoisy ? run.rateMultiplier : LOAD_SHARE), sessions: isNoisy ? NOISY_TEAM_SESSIONS : SESSIONS_PER_TEAM,
			};
		}),
		table: plan.table,
		writeShare: 0.2,
		staleReadShare: 0.3,
		maxStalenessMs: 5000,
		roamEvery: 20,
		durationMs,
		seed,
	};
}
