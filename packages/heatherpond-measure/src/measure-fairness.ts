/** Measures fleet-wide rate limits: admissions above the contract, refusals within it, and the impact of a noisy team. */
import {PLANS, type DeploymentPlan, type LocalDeployment} from 'heatherpond-local';
import {
	runFairness, type FairnessResult, type FairnessOptions, type FairnessRun,
} from './fairness/run-fairness.js';
import {countIdealAdmissions, findMaxExcess} from './fairness/token-bucket.js';
import type {RequestRecord} from './load/request-record.js';
import type {
	Figure, FigureGroup, MeasurementOptions, MeasurementResult,
} from './measurement.js';

/** Scales the contracted rates, so that seven hosts, their databases and the load fit on one machine. */
const RATE_FACTOR = 0.5;
const NOISY_RATE_MULTIPLIER = 5;
const QUICK_DURATION_MS = 8000;
const FULL_DURATION_MS = 20_000;
const MAX_REFUSED_SHARE_HEALTHY = 0.001;
const MAX_REFUSED_SHARE_WITH_FAULT = 0.02;
const MIN_SERVED_SHARE = 0.98;
const MAX_P99_RATIO = 1.2;
const PERCENTILE = 0.99;
const REFUSED_CODES = new Set(['HP006', 'HP001']);

const RUNS: readonly FairnessRun[] = [
	{title: 'all within their rates', sharing: 'ledger', rateMultiplier: 1},
	{title: 'one team at five times its rate', sharing: 'ledger', rateMultiplier: NOISY_RATE_MULTIPLIER},
	{
		title: 'five times, a host killed', sharing: 'ledger', rateMultiplier: NOISY_RATE_MULTIPLIER, startFault({hosts}) {
			hosts[0]!.kill();
		},
	},
	{
		title: 'five times, a domain cut off', sharing: 'ledger', rateMultiplier: NOISY_RATE_MULTIPLIER, startFault({platform, peerFaults, plan}: LocalDeployment) {
			platform.faults.partitionedDomains.add(plan.domains[2]!);
			peerFaults.partitionedDomains.add(plan.domains[2]!);
		},
	},
	{
		title: 'five times, the platform down', sharing: 'ledger', rateMultiplier: NOISY_RATE_MULTIPLIER, startFault({platform}) {
			platform.faults.isDown = true;
		},
	},
	{
		title: 'all within their rates, through two hosts of seven', sharing: 'ledger', rateMultiplier: 1, entryHosts: 2,
	},
	{
		title: 'baseline: even static split, through two hosts of seven', sharing: 'static', rateMultiplier: 1, entryHosts: 2,
	},
	{title: 'baseline: even static split, five times', sharing: 'static', rateMultiplier: NOISY_RATE_MULTIPLIER},
	{title: 'baseline: each host alone, five times', sharing: 'alone', rateMultiplier: NOISY_RATE_MULTIPLIER},
];

/** Performs all runs. Only runs with the sharing mode `ledger` are checked for admissions above the contract. */
export async function runFairnessMeasure(options: MeasurementOptions): Promise<MeasurementResult> {
	const plan = createScaledPlan(PLANS[options.deployment]);
	const fairness: FairnessOptions = {
		plan, noisyTeam: plan.contracts[2]!.team, durationMs: options.isQuick ? QUICK_DURATION_MS : FULL_DURATION_MS, seed: options.seed, signal: options.signal,
	};
	const groups: FigureGroup[] = [];
	const brokenPromises: string[] = [];
	let baselineP99 = Number.NaN;
	for (const run of RUNS) {
		options.writeLine(`fairness: ${run.title}`);
		const result = await runFairness(fairness, run);
		const p99 = readP99(result.records.filter(record => record.team !== fairness.noisyTeam));
		baselineP99 = Number.isNaN(baselineP99) ? p99 : baselineP99;
		groups.push({title: `${options.deployment}, ${run.title}`, figures: [...createFigures(fairness, run, result), ...createP99Figures(run, p99, baselineP99)]});
		brokenPromises.push(...run.sharing === 'ledger' ? findExcesses(plan, result).map(line => `${run.title}: ${line}`) : []);
	}

	return {name: 'fairness', groups, brokenPromises};
}

function createScaledPlan(plan: DeploymentPlan): DeploymentPlan {
	return {...plan, contracts: plan.contracts.map(contract => ({...contract, rate: contract.rate * RATE_FACTOR, burst: contract.burst * RATE_FACTOR}))};
}

function createFigures({plan, noisyTeam}: FairnessOptions, run: FairnessRun, {records, admissions}: FairnessResult): Figure[] {
	const others = records.filter(record => record.team !== noisyTeam);
	const refused = others.filter(record => record.outcome === 'notRun' && REFUSED_CODES.has(record.code ?? ''));
	const failed = others.filter(record => record.outcome !== 'answered');
	const excess = Math.max(...plan.contracts.map(contract => findMaxExcess(admissions.filter(item => item.team === contract.team).map(item => item.at), contract)));
	const shares = plan.contracts.map(contract => readServedShare(records.filter(record => record.team === contract.team), contract));
	const refusedShare = refused.length / Math.max(1, others.length);
	const maxRefusedShare = run.startFault ? MAX_REFUSED_SHARE_WITH_FAULT : MAX_REFUSED_SHARE_HEALTHY;
	const worstShare = Math.min(...shares);
	return [
		{name: 'requests of teams within their rates', value: others.length, unit: 'requests'},
		{
			name: 'worst excess over rate x window + burst', value: Math.max(0, excess), unit: 'requests', target: '0', isMet: excess <= 0,
		},
		{
			name: 'refused although within rate', value: refusedShare, unit: 'share', target: `under ${maxRefusedShare}`, isMet: refusedShare < maxRefusedShare,
		},
		{name: 'of these: over rate', value: refused.filter(record => record.code === 'HP006').length / Math.max(1, others.length), unit: 'share'},
		{name: 'not answered for any reason, within rate', value: failed.length / Math.max(1, others.length), unit: 'share'},
		{
			name: 'worst-served team, share of its due', value: worstShare, unit: 'share', target: `over ${MIN_SERVED_SHARE}`, isMet: worstShare > MIN_SERVED_SHARE,
		},
	];
}

function createP99Figures(run: FairnessRun, p99: number, baselineP99: number): Figure[] {
	const ratio = p99 / baselineP99;
	const figure: Figure = {name: 'p99 of the others', value: p99, unit: 'ms'};
	return run.rateMultiplier > 1 && run.sharing === 'ledger' && !run.startFault
		? [figure, {
			name: 'p99 of the others, with against without the noisy team', value: ratio, unit: 'times', target: `under ${MAX_P99_RATIO}`, isMet: ratio < MAX_P99_RATIO,
		}]
		: [figure];
}

/** Reads the answered requests of a team as a share of those that a single fleet-wide token bucket would admit. */
function readServedShare(records: readonly RequestRecord[], limit: {readonly rate: number; readonly burst: number}): number {
	const entitled = countIdealAdmissions(records.map(record => record.startedAt), limit);
	const answered = records.filter(record => record.outcome === 'answered').length;
	return entitled === 0 ? 1 : answered / entitled;
}

function readP99(records: readonly RequestRecord[]): number {
	const latencies = records.filter(record => record.outcome === 'answered').map(record => record.endedAt - record.startedAt).toSorted((left, right) => left - right);
	return latencies[Math.floor(latencies.length * PERCENTILE)] ?? 0;
}

function findExcesses(plan: DeploymentPlan, {admissions}: FairnessResult): string[] {
	return plan.contracts
		.map(contract => ({team: contract.team, excess: findMaxExcess(admissions.filter(item => item.team === contract.team).map(item => item.at), contract)}))
		.filter(item => item.excess > 0)
		.map(item => `${item.team} was admitted ${item.excess.toFixed(1)} requests more than its rate and burst allow`);
}
