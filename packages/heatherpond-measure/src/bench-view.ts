/**
 * Benchmarks the cost of the fleet view on a host: heap, snapshot size, and the time to decode a snapshot and to apply a
 * log entry, by the numbers of hosts, groups, and teams with one key each. One dimension grows at a time; the slope of a
 * linear regression over its counts is the cost per item that docs/CAPACITY.md uses.
 */
import {
	applyLogEntry, createSystemClock, type Change, type FleetView,
} from 'heatherpond-core';
import {decodeView, encodeView} from 'heatherpond-changelog';
import {measureHeap} from './control/heap.js';
import {createEntry, createView, type FleetSizes} from './control/sample-view.js';
import {findRegressionLine, type Point} from './control/linear-regression.js';
import type {
	Figure, FigureGroup, MeasurementOptions, MeasurementResult,
} from './measurement.js';

/** Cost of a fleet view; `applyUs` is the mean time to apply one log entry. */
type ViewCost = {
	readonly heapBytes: number;
	readonly snapshotBytes: number;
	readonly decodeMs: number;
	readonly applyUs: number;
};

/** A kind of item whose number grows while the others keep their base size. */
type Dimension = {readonly name: string; readonly createSizes: (count: number) => FleetSizes};

const BASE_SIZES: FleetSizes = {
	hosts: 10, groups: 10, teams: 10, keysPerTeam: 1,
};

const DIMENSIONS: readonly Dimension[] = [
	{name: 'host', createSizes: hosts => ({...BASE_SIZES, hosts})},
	{name: 'group of three databases with its route', createSizes: groups => ({...BASE_SIZES, groups})},
	{name: 'team with one key', createSizes: teams => ({...BASE_SIZES, teams})},
];

const APPLY_ROUNDS = 50;
const clock = createSystemClock();

/** The most frequent kinds of change, applied to a populated view. */
const FREQUENT_CHANGES: readonly Change[] = [
	{kind: 'upstreamLeft', group: 'group-1', database: 'group-1-db-2'},
	{kind: 'upstreamReturned', group: 'group-1', database: 'group-1-db-2'},
	{
		kind: 'hostRegistered', host: 'host-1', incarnation: 'again', domain: 'domain-1', peerAddress: '10.0.0.1:7000',
	},
	{kind: 'keyWithdrawn', keyId: 'team-1-key-0'},
];

function measureApply(view: FleetView): number {
	const startedAt = clock.readNow();
	const changes = Array.from({length: APPLY_ROUNDS}, () => FREQUENT_CHANGES).flat();
	changes.reduce((current, change) => applyLogEntry(current, createEntry(change, current.version + 1)), view);
	return (clock.readNow() - startedAt) * 1000 / changes.length;
}

function measureView(sizes: FleetSizes): ViewCost {
	const text = encodeView(createView(sizes));
	const startedAt = clock.readNow();
	decodeView(text);
	const decodeMs = clock.readNow() - startedAt;
	const {value: view, bytes} = measureHeap(() => decodeView(text));
	return {
		heapBytes: bytes, snapshotBytes: text.length, decodeMs, applyUs: measureApply(view),
	};
}

function createSlopeFigure(name: string, unit: string, points: readonly Point[]): Figure {
	return {name, value: findRegressionLine(points).slope, unit};
}

function measureDimension(dimension: Dimension, counts: readonly number[]): FigureGroup {
	const costs = counts.map(count => ({count, cost: measureView(dimension.createSizes(count))}));
	function createPoints(read: (cost: ViewCost) => number): readonly Point[] {
		return costs.map(({count, cost}) => ({x: count, y: read(cost)}));
	}

	return {
		title: `for each ${dimension.name} (${counts.join(', ')})`,
		figures: [
			createSlopeFigure('heap', 'bytes', createPoints(cost => cost.heapBytes)),
			createSlopeFigure('snapshot', 'bytes', createPoints(cost => cost.snapshotBytes)),
			createSlopeFigure('reading a snapshot', 'us', createPoints(cost => cost.decodeMs * 1000)),
			createSlopeFigure('applying one entry', 'us', createPoints(cost => cost.applyUs)),
			{name: 'applying one entry at the largest count', value: costs.at(-1)!.cost.applyUs, unit: 'us'},
		],
	};
}

/** Measures the cost of the view along every dimension, after a warm-up run that is not reported. */
export async function runViewBench(options: MeasurementOptions): Promise<MeasurementResult> {
	const counts = options.isQuick ? [500, 1000, 2000] : [1000, 2000, 4000, 8000];
	measureView({...BASE_SIZES, groups: 500});
	const groups = DIMENSIONS.map(dimension => {
		options.writeLine(dimension.name);
		return measureDimension(dimension, counts);
	});
	return {name: 'view', groups, brokenPromises: []};
}
