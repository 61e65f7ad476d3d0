/** Public API of the gRPC calls between hosts. */
export {PeerService} from './generated/peer.js';
export * from './peer-client.js';
export * from './peer-error.js';
export * from './peer-security.js';
export * from './peer-service.js';
export type * from './view-codec.js';
export * from './promotion-client.js';
export * from './time-interceptors.js';
export {
	PromotionService, type AskViewReply, type AskViewRequest, type PromotionServer,
} from './generated/promotion.js';
