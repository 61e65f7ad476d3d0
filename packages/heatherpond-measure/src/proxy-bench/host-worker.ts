/** Worker thread that runs one proxy host, so that it has a CPU core to itself. */
import {performance, type EventLoopUtilization} from 'node:perf_hooks';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {proxySettingsSchema} from 'heatherpond-config';
import {createSystemClock} from 'heatherpond-core';
import {createLogger} from 'heatherpond-observe';
import {startProxyHost, type ProxyHost} from 'heatherpond-proxy';
import {handleCalls} from './worker-calls.js';

/** Memory and event loop usage of the host. */
export type HostUsage = {
	/** Heap of this thread plus external buffers; measured after garbage collection if the caller requested one. */
	readonly heapBytes: number;
	/** Resident set size of the whole process. */
	readonly residentBytes: number;
	/** Event loop utilization since the previous reading, from 0 to 1. */
	readonly busyShare: number;
};

const stop = new AbortController();
let host: ProxyHost | undefined;
let lastUtilization: EventLoopUtilization = performance.eventLoopUtilization();

async function startHost(platform: string): Promise<number> {
	const settings = proxySettingsSchema.parse({
		deployment: 'bench',
		host: 'bench-1',
		domain: 'bench-a',
		listen: '127.0.0.1:0',
		peerListen: '127.0.0.1:0',
		platform,
		logLevel: 'silent',
		database: {user: 'heatherpond', password: 'data-secret'},
		control: {user: 'heatherpond_control', password: 'control-secret'},
	});
	host = await startProxyHost({
		settings, clock: createSystemClock(), logger: createLogger({host: settings.host, domain: settings.domain, level: 'silent'}), signal: stop.signal,
	});
	return host.callerPort;
}

function collectGarbage(): void {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as () => void;
	collect();
	collect();
}

const calls = {
	start: async (platform: string) => startHost(platform),
	readUsage(isCollecting: boolean): HostUsage {
		const utilization = performance.eventLoopUtilization(lastUtilization);
		lastUtilization = performance.eventLoopUtilization();
		if (isCollecting) {
			collectGarbage();
		}

		const memory = process.memoryUsage();
		return {heapBytes: memory.heapUsed + memory.external, residentBytes: memory.rss, busyShare: utilization.utilization};
	},
};

/** Calls handled by this worker. */
export type HostCalls = typeof calls;

handleCalls(calls);
