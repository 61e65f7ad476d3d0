/** Remote calls from the benchmark to its worker threads: a request and a response message, matched by ID. */
import {parentPort, Worker, type MessagePort} from 'node:worker_threads';
import {MeasureError} from '../measure-error.js';

type CallMessage = {readonly id: number; readonly name: string; readonly argument: unknown};

type ResponseMessage = {readonly id: number; readonly value?: unknown; readonly error?: string};

/** Call handlers of a worker by name. Arguments and results must support structured cloning. */
export type WorkerCalls = Readonly<Record<string, (argument: never) => unknown>>;

/** Handle for calling and stopping a worker. */
export type WorkerHandle<Calls extends WorkerCalls> = {
	readonly call: <Name extends keyof Calls & string>(name: Name, argument: Parameters<Calls[Name]>[0]) => Promise<Awaited<ReturnType<Calls[Name]>>>;
	readonly stop: () => Promise<void>;
};

/** Handles incoming calls in a worker thread. */
export function handleCalls(calls: WorkerCalls): void {
	const port: MessagePort = parentPort!;
	port.on('message', (message: CallMessage) => {
		void handleCall(port, calls, message);
	});
}

async function handleCall(port: MessagePort, calls: WorkerCalls, {id, name, argument}: CallMessage): Promise<void> {
	try {
		port.postMessage({id, value: await calls[name]!(argument as never)} satisfies ResponseMessage);
	} catch (error) {
		port.postMessage({id, error: (error as Error).stack ?? String(error)} satisfies ResponseMessage);
	}
}

/**
 * Starts a worker from a module, which must pass its handlers of type `Calls` to `handleCalls`. Pending calls fail if the
 * worker ends with an error.
 */
export function startWorker<Calls extends WorkerCalls>(module: URL, execArgv: readonly string[] = []): WorkerHandle<Calls> {
	const worker = new Worker(module, {execArgv: [...execArgv]});
	const pendingCalls = new Map<number, (response: ResponseMessage) => void>();
	let calls = 0;
	worker.on('message', (response: ResponseMessage) => {
		pendingCalls.get(response.id)?.(response);
		pendingCalls.delete(response.id);
	});
	worker.on('error', error => {
		pendingCalls.forEach((settle, id) => {
			settle({id, error: error.stack ?? String(error)});
		});
	});
	return {
		async call(name, argument) {
			calls++;
			const id = calls;
			const response = await new Promise<ResponseMessage>(resolve => {
				pendingCalls.set(id, resolve);
				worker.postMessage({id, name, argument} satisfies CallMessage);
			});
			if (response.error !== undefined) {
				throw new MeasureError(`worker call ${name} failed: ${response.error}`);
			}

			return response.value as never;
		},
		async stop() {
			await worker.terminate();
		},
	};
}
