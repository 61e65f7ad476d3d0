/** Sends requests to other hosts and matches the responses to them by request id. */
import type {Clock, Deadline} from 'heatherpond-core';
import type {DatagramBatches} from './datagram-batches.js';
import type {HostContact, HostMessage, ResponseMessage} from './host-message.js';

/** Requests whose response is awaited. */
export type RequestExchange = {
	/** Sends a request, at the latest by `sendBy`; resolves to its response, or to nothing when there is none by the deadline. */
	readonly sendRequest: (receiver: HostContact, createRequest: (id: string) => HostMessage, times: RequestTimes) => Promise<ResponseMessage | undefined>;
	/** Ends the request of this id with its response; a response that is not awaited, or no longer, is ignored. */
	readonly handleResponse: (id: string, response: ResponseMessage | undefined) => void;
};

/** By when a response is awaited, and by when the request is sent; without `sendBy` it is sent at once. */
export type RequestTimes = {readonly deadline: Deadline; readonly sendBy?: Deadline};

/**
 * Creates the exchange.
 *
 * @param incarnation - incarnation of this host, which makes the ids of its requests unique
 */
export function createRequestExchange(datagrams: DatagramBatches, clock: Clock, incarnation: string): RequestExchange {
	/** Callbacks of requests whose response is awaited, by request id. */
	const pendingRequests = new Map<string, (response: ResponseMessage | undefined) => void>();
	let requestCount = 0;

	function handleResponse(id: string, response: ResponseMessage | undefined): void {
		pendingRequests.get(id)?.(response);
		pendingRequests.delete(id);
	}

	async function sendRequest(receiver: HostContact, createRequest: (id: string) => HostMessage, {deadline, sendBy}: RequestTimes): Promise<ResponseMessage | undefined> {
		requestCount++;
		const id = `${incarnation}-${requestCount}`;
		return new Promise<ResponseMessage | undefined>(resolve => {
			const stopTimer = clock.registerTimer(deadline, () => {
				handleResponse(id, undefined);
			});
			pendingRequests.set(id, response => {
				stopTimer();
				resolve(response);
			});
			datagrams.send(() => JSON.stringify(createRequest(id)), receiver, sendBy === undefined ? undefined : {sendBy});
		});
	}

	return {sendRequest, handleResponse};
}
