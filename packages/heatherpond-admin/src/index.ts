/** Public API of the gRPC calls between operators and hosts. */
export * from './admin-client.js';
export * from './admin-error.js';
export * from './timeline-client.js';
export {
	TimelineService, type CollectEventsRequest, type EventPage, type ReadMetricsReply, type TimelineServer,
} from './generated/timeline.js';
export {
	AdminService, type AdminServer, type ReadHistoryReply, type ReadHistoryRequest, type ReadStatusReply, type ReadViewReply, type RequestSwitchoverReply, type RequestSwitchoverRequest,
	type SubmitChangeReply, type SubmitChangeRequest,
} from './generated/admin.js';
