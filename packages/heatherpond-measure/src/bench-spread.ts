/**
 * Benchmarks snapshot distribution when all hosts of a failure domain start at once: direct reads from the platform, a
 * tree of peers, or peers that forward parts to each other.
 *
 * Having every receiver forward parts is the construction that Sweha ("Angels: In-Network Support for Minimum
 * Distribution Time in P2P Overlays", 2009, chapter 3) shows to be optimal when upload capacity is the limit.
 */
import {randomFillSync} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import {Buffer} from 'node:buffer';
import {createSystemClock, type Clock} from 'heatherpond-core';
import type {
	Figure, FigureGroup, MeasurementOptions, MeasurementResult,
} from './measurement.js';
import {startPacedNode} from './spread/paced-node.js';
import {
	createTreeStrategy, fetchByParts, fetchDirectly, type SpreadStrategy,
} from './spread/spread-strategies.js';

/** Fleet size, snapshot size and uplink bandwidths of one run. `source` is the platform. */
type SpreadSizes = {
	readonly hosts: number;
	readonly snapshotBytes: number;
	readonly parts: number;
	readonly sourceBytesPerSecond: number;
	readonly hostBytesPerSecond: number;
};

/** A distribution strategy with the name used in its figures. */
type NamedStrategy = {readonly name: string; readonly spread: SpreadStrategy};

const MIB = 1_048_576;

const STRATEGIES: readonly NamedStrategy[] = [
	{name: 'direct reads', spread: fetchDirectly},
	{name: 'tree of peers, fan-out 2', spread: createTreeStrategy(2)},
	{name: 'one reader, all others ask it', spread: createTreeStrategy(Number.MAX_SAFE_INTEGER)},
	{name: 'parts forwarded by every host', spread: fetchByParts},
];

/** Distributes a random snapshot once and returns the elapsed time and the bytes served by the platform. */
async function measureSpread(sizes: SpreadSizes, spread: SpreadStrategy, clock: Clock): Promise<{readonly elapsedMs: number; readonly sourceBytes: number}> {
	const stop = new AbortController();
	setMaxListeners(0, stop.signal);
	try {
		const source = await startPacedNode({bytesPerSecond: sizes.sourceBytesPerSecond, clock, signal: stop.signal});
		const hosts = await Promise.all(Array.from({length: sizes.hosts}, async () => startPacedNode({bytesPerSecond: sizes.hostBytesPerSecond, clock, signal: stop.signal})));
		const partBytes = Math.ceil(sizes.snapshotBytes / sizes.parts);
		Array.from({length: sizes.parts}, (_value, index) => index).forEach(index => {
			source.writePart(index, randomFillSync(Buffer.alloc(partBytes)));
		});
		const startedAt = clock.readNow();
		await spread({source, hosts, parts: sizes.parts});
		return {elapsedMs: clock.readNow() - startedAt, sourceBytes: source.countServedBytes()};
	} finally {
		stop.abort();
	}
}

async function measureSizes(sizes: SpreadSizes, clock: Clock): Promise<FigureGroup> {
	const figures: Figure[] = [];
	let directMs = 0;
	for (const {name, spread} of STRATEGIES) {
		const {elapsedMs, sourceBytes} = await measureSpread(sizes, spread, clock);
		directMs = directMs === 0 ? elapsedMs : directMs;
		figures.push(
			{name: `${name}: time until all hosts have it`, value: elapsedMs, unit: 'ms'},
			{name: `${name}: time relative to direct reads`, value: elapsedMs / directMs, unit: 'ratio'},
			{name: `${name}: bytes that the platform served`, value: sourceBytes, unit: 'bytes'},
		);
	}

	const sourceMib = sizes.sourceBytesPerSecond / MIB;
	const hostMib = sizes.hostBytesPerSecond / MIB;
	return {title: `${sizes.hosts} hosts, snapshot ${sizes.snapshotBytes / MIB} MiB, platform ${sourceMib} MiB/s, host uplink ${hostMib} MiB/s`, figures};
}

/** Measures every distribution strategy at several fleet sizes. */
export async function runSpreadBench(options: MeasurementOptions): Promise<MeasurementResult> {
	const clock = createSystemClock();
	const counts = options.isQuick ? [8] : [8, 24, 48];
	const groups: FigureGroup[] = [];
	for (const hosts of counts) {
		options.writeLine(`${hosts} hosts`);
		groups.push(await measureSizes({
			hosts, snapshotBytes: 4 * MIB, parts: Math.max(32, hosts), sourceBytesPerSecond: 40 * MIB, hostBytesPerSecond: 20 * MIB,
		}, clock));
	}

	return {name: 'spread', groups, brokenPromises: []};
}
