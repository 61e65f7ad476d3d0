/** Client of the timeline service of a host: recorded events and metrics. */
import {Metadata} from '@grpc/grpc-js';
import type {CallOptions, Clock} from 'heatherpond-core';
import {
	createAdminChannelOptions, createAdminCredentials, OPERATOR_TOKEN_KEY, type AdminTls,
} from './admin-client.js';
import {AdminError} from './admin-error.js';
import {TimelineClient, type EventPage, type ReadMetricsReply} from './generated/timeline.js';

/** Events that one host has retained. */
export type CollectedEvents = {
	/** Events as JSON, in the order of recording. */
	readonly events: readonly string[];
	/** Number of older events that the host has discarded. */
	readonly dropped: number;
};

/** Options of a call to a host. */
export type HostCallOptions = CallOptions & {
	/** `address:port` of the host. */
	readonly address: string;
	/** Operator token; may be absent if the host requires none. */
	readonly token?: string;
	/** Plain-text connection if absent. */
	readonly tls?: AdminTls;
	readonly clock: Clock;
};

/** A call in progress that can be cancelled. */
type CancelableCall = {readonly cancel: () => void};

/** Makes one call on a new connection, and cancels it at the deadline or when the signal is aborted. */
async function callHost<Reply>(
	{address, token, tls, clock, deadline, signal}: HostCallOptions,
	makeCall: (client: TimelineClient, metadata: Metadata, onStart: (call: CancelableCall) => void) => Promise<Reply>,
): Promise<Reply> {
	const client = new TimelineClient(address, createAdminCredentials(tls), createAdminChannelOptions(tls));
	const metadata = new Metadata();
	if (token) {
		metadata.set(OPERATOR_TOKEN_KEY, token);
	}

	const timeout = new AbortController();
	const stopTimer = clock.registerTimer(deadline, () => {
		timeout.abort();
	});
	const cancelSignal = AbortSignal.any([timeout.signal, signal]);
	try {
		return await makeCall(client, metadata, call => {
			cancelSignal.addEventListener('abort', () => {
				call.cancel();
			}, {once: true});
		});
	} catch (error) {
		throw new AdminError('the call to a host failed', {cause: error, props: {code: 'unavailable', reason: `the host at ${address}: ${(error as Error).message}`}});
	} finally {
		stopTimer();
		client.close();
	}
}

/**
 * Reads the events of one host that match a filter.
 *
 * @param filter - event filter as JSON
 * @throws AdminError when the call fails or the response is not complete by the deadline
 */
export async function collectHostEvents(options: HostCallOptions, filter: string): Promise<CollectedEvents> {
	return callHost(options, async (client, metadata, onStart) => {
		const call = client.collectEvents({filter}, metadata);
		onStart(call);
		const pages = await call.toArray() as EventPage[];
		return {events: pages.flatMap(page => page.events), dropped: pages.at(-1)?.dropped ?? 0};
	});
}

/**
 * Reads the metrics of one host.
 *
 * @throws AdminError when the call fails or there is no response by the deadline
 */
export async function readHostMetrics(options: HostCallOptions): Promise<ReadMetricsReply> {
	return callHost(options, async (client, metadata, onStart) => new Promise<ReadMetricsReply>((resolve, reject) => {
		onStart(client.readMetrics({}, metadata, (error, reply) => {
			if (error) {
				reject(error);
			} else {
				resolve(reply);
			}
		}));
	}));
}
