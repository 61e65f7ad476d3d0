/** Public API of the platform client: change log, snapshots and host list. */
export {
	PlatformClient, PlatformService, type CommitRequest, type GetObjectReply, type GetObjectRequest, type Host, type PlatformServer, type Row, type ScanReply, type ScanRequest,
} from './generated/platform.js';
export * from './platform.js';
export * from './platform-client.js';
export * from './platform-log.js';
export * from './platform-snapshot.js';
