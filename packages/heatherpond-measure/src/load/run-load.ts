/** Runs a load in a worker thread and collects the records of its requests. */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import type {LoadPlan} from './load-plan.js';
import type {RequestRecord} from './request-record.js';

/** A running load. */
export type RunningLoad = {
	/** Records of the requests finished so far, in order of completion; delivered in batches. */
	readonly records: readonly RequestRecord[];
	/** Resolves when the worker thread has exited. */
	readonly ended: Promise<void>;
};

/** Starts a load. It stops after the duration of the plan, or at once if the signal aborts. */
export function startLoad(plan: LoadPlan, signal: AbortSignal): RunningLoad {
	const records: RequestRecord[] = [];
	const worker = new Worker(new URL('load-thread.js', import.meta.url), {workerData: plan});
	worker.on('message', (batch: readonly RequestRecord[]) => {
		records.push(...batch);
	});
	signal.addEventListener('abort', () => {
		void worker.terminate();
	}, {once: true});
	return {records, ended: waitForEnd(worker)};
}

async function waitForEnd(worker: Worker): Promise<void> {
	await once(worker, 'exit');
}
