/**
 * Benchmarks one proxy against direct connections to a stand-in database: throughput, added latency, and memory per
 * idle connection. Databases, proxy and clients run in separate threads, so that the proxy has a CPU core to itself.
 */
import {MeasureError} from './measure-error.js';
import type {Figure, MeasurementOptions, MeasurementResult} from './measurement.js';
import {BENCH_ROUTE, BENCH_TEAM, type DatabasesCalls} from './proxy-bench/bench-names.js';
import type {HostCalls} from './proxy-bench/host-worker.js';
import type {
	ClientLogin, LoadCalls, LoadResult, LoadRun,
} from './proxy-bench/load-worker.js';
import {startWorker, type WorkerHandle} from './proxy-bench/worker-calls.js';

/** Worker handles of the benchmark, and the logins for direct and proxied connections. */
type Bench = {
	readonly options: MeasurementOptions;
	readonly host: WorkerHandle<HostCalls>;
	readonly load: WorkerHandle<LoadCalls>;
	readonly direct: ClientLogin;
	readonly proxied: ClientLogin;
};

const CLIENTS = 16;
const ROUNDS = 5;
const FULL_ROUND_MS = 2000;
const QUICK_ROUND_MS = 500;
const IDLE_CONNECTION_COUNTS = [1000, 8000];
const TARGET_RATE = 5000;
const TARGET_ADDED_MS = 0.3;
const TARGET_CONNECTION_BYTES = 20_480;

/** Starts the worker threads and measures latency, throughput and memory in turn. */
export async function runProxyBench(options: MeasurementOptions): Promise<MeasurementResult> {
	const databases = startWorker<DatabasesCalls>(new URL('proxy-bench/databases-worker.js', import.meta.url));
	const host = startWorker<HostCalls>(new URL('proxy-bench/host-worker.js', import.meta.url));
	const load = startWorker<LoadCalls>(new URL('proxy-bench/load-worker.js', import.meta.url));
	try {
		const addresses = await databases.call('start', undefined);
		const port = await host.call('start', addresses.platform);
		const bench: Bench = {
			options,
			host,
			load,
			direct: {
				port: addresses.primaryPort, user: 'heatherpond', password: 'data-secret', database: BENCH_ROUTE,
			},
			proxied: {
				port, user: BENCH_TEAM, password: addresses.key, database: BENCH_ROUTE,
			},
		};
		await load.call('createRows', {login: bench.direct, clients: CLIENTS});
		return {
			name: 'proxy',
			groups: [
				{title: 'one client, alternating with the same client straight to the stand-in; durability primary', figures: [...await measureLatency(bench, 'read'), ...await measureLatency(bench, 'write')]},
				{title: `${CLIENTS} clients`, figures: [...await measureRate(bench, 'read'), ...await measureRate(bench, 'write')]},
				{title: 'idle connections', figures: await measureMemory(bench)},
			],
			brokenPromises: [],
		};
	} finally {
		await Promise.all([load.stop(), host.stop(), databases.stop()]);
	}
}

function readPercentile(latencies: Float64Array, share: number): number {
	return latencies[Math.min(latencies.length - 1, Math.floor(latencies.length * share))] ?? Number.NaN;
}

function collectLatencies(results: readonly LoadResult[]): Float64Array {
	return Float64Array.from(results.flatMap(result => [...result.latencies])).toSorted();
}

async function runLoad(bench: Bench, run: Omit<LoadRun, 'durationMs'>): Promise<LoadResult> {
	const result = await bench.load.call('run', {...run, durationMs: bench.options.isQuick ? QUICK_ROUND_MS : FULL_ROUND_MS});
	if (result.errors > 0) {
		throw new MeasureError(`benchmark round failed: ${result.errors} of ${result.statements} statements returned an error`);
	}

	return result;
}

/** Alternates rounds over direct and proxied connections, so that background load affects both alike. */
async function runRounds(bench: Bench, kind: LoadRun['kind'], clients: number): Promise<{readonly direct: readonly LoadResult[]; readonly proxied: readonly LoadResult[]}> {
	const direct: LoadResult[] = [];
	const proxied: LoadResult[] = [];
	await runLoad(bench, {login: bench.proxied, clients, kind});
	for (let round = 0; round < ROUNDS; round++) {
		direct.push(await runLoad(bench, {login: bench.direct, clients, kind}));
		proxied.push(await runLoad(bench, {login: bench.proxied, clients, kind}));
	}

	return {direct, proxied};
}

async function measureLatency(bench: Bench, kind: LoadRun['kind']): Promise<Figure[]> {
	bench.options.writeLine(`latency of one client, ${kind}`);
	const {direct, proxied} = await runRounds(bench, kind, 1);
	const [directLatencies, proxiedLatencies] = [collectLatencies(direct), collectLatencies(proxied)];
	return [0.5, 0.99].flatMap(share => {
		const [directMs, proxiedMs] = [readPercentile(directLatencies, share), readPercentile(proxiedLatencies, share)];
		const added = proxiedMs - directMs;
		const name = `${kind} p${share * 100}`;
		const target = share === 0.5 ? {target: `< ${TARGET_ADDED_MS} ms`, isMet: added < TARGET_ADDED_MS} : {};
		return [
			{name: `${name} straight`, value: directMs, unit: 'ms'},
			{
				name: `${name} added`, value: added, unit: 'ms', ...target,
			},
			{name: `${name} proxied / straight`, value: proxiedMs / directMs, unit: 'ratio'},
		];
	});
}

/** Returns the throughput over all rounds, in statements per second. */
function countRate(results: readonly LoadResult[]): number {
	return results.reduce((sum, result) => sum + result.statements, 0) / results.reduce((sum, result) => sum + result.seconds, 0);
}

async function measureRate(bench: Bench, kind: LoadRun['kind']): Promise<Figure[]> {
	bench.options.writeLine(`statements a second, ${kind}`);
	const {direct, proxied} = await runRounds(bench, kind, CLIENTS);
	await bench.host.call('readUsage', false);
	await runLoad(bench, {login: bench.proxied, clients: CLIENTS, kind});
	const usage = await bench.host.call('readUsage', false);
	const rate = countRate(proxied);
	return [
		{
			name: `${kind} statements a second through the proxy`, value: rate, unit: 'a second', target: `>= ${TARGET_RATE}`, isMet: rate >= TARGET_RATE,
		},
		{name: `${kind} proxied / straight`, value: rate / countRate(direct), unit: 'ratio'},
		{name: `${kind} time for which the proxy's thread was at work`, value: usage.busyShare, unit: 'share'},
		{name: `${kind} statements a second if it were always at work`, value: rate / usage.busyShare, unit: 'a second'},
	];
}

/** Measures the memory per idle connection from the difference between connection counts. */
async function measureMemory({host, load, proxied, options}: Bench): Promise<Figure[]> {
	const usages = [];
	for (const clients of [0, ...IDLE_CONNECTION_COUNTS]) {
		options.writeLine(`${clients} idle connections`);
		await load.call('openIdle', {login: proxied, clients});
		usages.push({clients, ...await host.call('readUsage', true)});
	}

	const [none, ...some] = usages;
	const [few, many] = [some[0]!, some.at(-1)!];
	// Takes the difference between the two counts: at the first one, memory of earlier rounds is still being released.
	const bytes = (many.residentBytes - few.residentBytes) / (many.clients - few.clients);
	return [
		...some.map<Figure>(usage => ({
			name: `heap and buffers of the proxy for each of ${usage.clients}`, value: (usage.heapBytes - none!.heapBytes) / usage.clients, unit: 'bytes',
		})),
		{
			name: `resident, with the client's end, for each from ${few.clients} to ${many.clients}`, value: bytes, unit: 'bytes', target: `< ${TARGET_CONNECTION_BYTES}`, isMet: bytes < TARGET_CONNECTION_BYTES,
		},
	];
}
