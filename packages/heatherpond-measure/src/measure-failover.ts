/**
 * Measures the failover gap: the time from the last write acknowledged by the old primary to the first one acknowledged
 * by the new primary, on the route of the failing group, while clients write on every route through every host.
 */
import {createSystemClock} from 'heatherpond-core';
import {PLANS, type DeploymentPlan, type LedgerCheckResult} from 'heatherpond-local';
import {FAILOVER_CONDITIONS, type FailoverCondition} from './failover/failover-conditions.js';
import {runFailoverRounds, type FailoverRoundsResult} from './failover/failover-rounds.js';
import type {
	Figure, FigureGroup, MeasurementOptions, MeasurementResult,
} from './measurement.js';

const ROUNDS = 24;
const QUICK_ROUNDS = 3;
/** Rate and burst above what the measurement sends. */
const UNLIMITED = 1_000_000;

/** Measures the failover gap under every condition. */
export async function runFailoverMeasure(options: MeasurementOptions): Promise<MeasurementResult> {
	const clock = createSystemClock();
	const groups: FigureGroup[] = [];
	const brokenPromises: string[] = [];
	for (const condition of FAILOVER_CONDITIONS) {
		options.writeLine(`${options.deployment}: ${condition.title}`);
		const rounds = await runFailoverRounds({
			plan: createPlan(PLANS[options.deployment]), condition, rounds: options.isQuick ? QUICK_ROUNDS : ROUNDS, clock, signal: options.signal,
		});
		groups.push({title: `${options.deployment}, ${condition.title}`, figures: createFigures(condition, rounds)});
		brokenPromises.push(...rounds.verdicts.flatMap(verdict => findGuaranteeViolations(verdict)).map(line => `${condition.title}: ${line}`));
	}

	return {name: 'failover', groups, brokenPromises};
}

/** Removes the rate limits from a plan and requires confirmation by a replica for every write. */
function createPlan(plan: DeploymentPlan): DeploymentPlan {
	return {
		...plan, contracts: plan.contracts.map(contract => ({
			...contract, rate: UNLIMITED, burst: UNLIMITED, durability: 'replica',
		})),
	};
}

function createFigures({target}: FailoverCondition, {gaps, verdicts}: FailoverRoundsResult): Figure[] {
	const sorted = gaps.toSorted((left, right) => left - right);
	const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
	const maximum = sorted.at(-1) ?? 0;
	function count(read: (verdict: LedgerCheckResult) => number): number {
		return verdicts.reduce((sum, verdict) => sum + read(verdict), 0);
	}

	return [
		{name: 'failovers', value: gaps.length, unit: 'failovers'},
		createGapFigure('gap, median', median, target?.medianMs),
		createGapFigure('gap, maximum', maximum, target?.maxMs),
		{name: 'acknowledged writes', value: count(verdict => verdict.acknowledged), unit: 'writes'},
		{name: 'writes with unknown outcome', value: count(verdict => verdict.unknown), unit: 'writes'},
		createZeroFigure('refused as not run', count(verdict => verdict.refused)),
		createZeroFigure('lost', count(verdict => verdict.lost.length)),
		createZeroFigure('doubled', count(verdict => verdict.duplicated.length)),
		createZeroFigure('falsely refused', count(verdict => verdict.executedThoughRefused.length)),
	];
}

function createGapFigure(name: string, value: number, target: number | undefined): Figure {
	return target === undefined
		? {name, value, unit: 'ms'}
		: {
			name, value, unit: 'ms', target: `< ${target} ms`, isMet: value < target,
		};
}

function createZeroFigure(name: string, value: number): Figure {
	return {
		name, value, unit: 'writes', target: '0', isMet: value === 0,
	};
}

function findGuaranteeViolations({lost, duplicated, executedThoughRefused}: LedgerCheckResult): readonly string[] {
	return [
		...lost.map(id => `lost: acknowledged write ${id}`),
		...duplicated.map(id => `doubled: write ${id}`),
		...executedThoughRefused.map(id => `falsely refused: write ${id} ran although reported as not run`),
	];
}
