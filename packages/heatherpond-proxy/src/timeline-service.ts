/** Server side of the event timeline: the recorded events that are still retained, and the host's metrics. */
import {status, type sendUnaryData} from '@grpc/grpc-js';
import type {ReadMetricsReply, TimelineServer} from 'heatherpond-admin';
import {
	eventFilterSchema, isEventSelected, type EventStore, type Metrics,
} from 'heatherpond-observe';
import {checkOperator} from './admin-service.js';
import {AdminCallError} from './proxy-error.js';

/** Dependencies of the timeline service. */
export type TimelineServiceOptions = {
	readonly host: string;
	readonly events: EventStore;
	readonly metrics: Metrics;
	readonly operatorTokenHash?: string;
};

/** Maximum number of events in one page. */
const PAGE_EVENTS = 500;

/** Creates the timeline service. */
export function createTimelineService({host, events, metrics, operatorTokenHash}: TimelineServiceOptions): TimelineServer {
	return {
		readMetrics(call, reply) {
			void respondWithMetrics(async () => {
				checkOperator(call.metadata, operatorTokenHash);
				return {host, text: await metrics.renderMetrics()};
			}, reply);
		},
		collectEvents(call) {
			try {
				checkOperator(call.metadata, operatorTokenHash);
				const filter = eventFilterSchema.parse(JSON.parse(call.request.filter === '' ? '{}' : call.request.filter));
				const selected = events.readEvents().filter(event => isEventSelected(event, filter)).map(event => JSON.stringify(event));
				const pages = Array.from({length: Math.max(1, Math.ceil(selected.length / PAGE_EVENTS))}, (_, page) => selected.slice(page * PAGE_EVENTS, (page + 1) * PAGE_EVENTS));
				pages.forEach(page => {
					call.write({events: page, dropped: events.countDropped()});
				});
				call.end();
			} catch (error) {
				call.destroy(Object.assign(new Error((error as Error).message), createStatus(error)));
			}
		},
	};
}

async function respondWithMetrics(read: () => Promise<ReadMetricsReply>, reply: sendUnaryData<ReadMetricsReply>): Promise<void> {
	try {
		reply(null, await read());
	} catch (error) {
		reply(createStatus(error));
	}
}

/** Converts an error into a gRPC status: that of an `AdminCallError`, or `INVALID_ARGUMENT` for an invalid filter. */
function createStatus(error: unknown): {readonly code: status; readonly details: string} {
	return {code: error instanceof AdminCallError ? error.grpcStatus : status.INVALID_ARGUMENT, details: (error as Error).message};
}
