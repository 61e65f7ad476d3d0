/** Computes the reported figures from the results of a scenario. */
import type {Contract} from 'heatherpond-core';
import type {RequestRecord} from '../load/request-record.js';
import type {Figure} from '../measurement.js';
import type {ScenarioResult} from './run-scenario.js';

/** Share of a team's requests that were answered. */
export type TeamServedShare = {readonly team: string; readonly share: number};

/** Computes the share of answered requests of each team, lowest first. Teams without requests count as fully served. */
export function countServedShares(records: readonly RequestRecord[], contracts: readonly Contract[]): readonly TeamServedShare[] {
	return contracts
		.map(({team}) => {
			const own = records.filter(record => record.team === team);
			return {team, share: own.length === 0 ? 1 : own.filter(record => record.outcome === 'answered').length / own.length};
		})
		.toSorted((left, right) => left.share - right.share);
}

/**
 * Finds the longest time between two consecutive acknowledged writes on a route, in milliseconds, starting with the last
 * write acknowledged before the fault.
 */
export function findFailoverGap(records: readonly RequestRecord[], route: string, faultStartedAt: number): number {
	const acknowledged = records.filter(record => record.route === route && record.kind === 'write' && record.outcome === 'answered');
	const last = Math.max(0, ...acknowledged.filter(record => record.endedAt <= faultStartedAt).map(record => record.endedAt));
	const ends = acknowledged.filter(record => record.endedAt > faultStartedAt).map(record => record.endedAt).toSorted((left, right) => left - right);
	const gaps = ends.map((end, index) => end - (ends[index - 1] ?? last));
	return Math.max(0, ...gaps);
}

/** Derives the figures that a report compares between runs from the records of one scenario; each figure names its unit. */
export function createScenarioFigures(result: ScenarioResult, contracts: readonly Contract[], routes: readonly string[]): readonly Figure[] {
	const {records, selects} = result;
	const worst = countServedShares(records, contracts)[0]!;
	const refused = records.filter(record => record.outcome === 'notRun').length;
	const total = selects.primaries + selects.replicas;
	return [
		{name: 'requests', value: records.length, unit: 'requests'},
		{name: 'reads served by replicas', value: total === 0 ? 0 : selects.replicas / total, unit: 'share'},
		{name: 'longest gap between acknowledged writes, worst route', value: Math.max(...routes.map(route => findFailoverGap(records, route, result.faultStartedAt))), unit: 'ms'},
		{name: `worst-served team (${worst.team}), requests answered`, value: worst.share, unit: 'share'},
		{name: 'refused although within rate', value: records.length === 0 ? 0 : refused / records.length, unit: 'share'},
		{name: 'outcome unknown', value: records.filter(record => record.outcome === 'unknown').length, unit: 'requests'},
		{name: 'other failures', value: records.filter(record => record.outcome === 'failed').length, unit: 'requests'},
		{name: 'promises broken', value: result.brokenPromises.length, unit: 'promises'},
	];
}
