/** Starts the server side of the calls between hosts. */
import {createPeerService, PeerService, type ViewCodec} from 'heatherpond-peer';
import {decodeView, encodeView} from 'heatherpond-changelog';
import {handleStampRequest} from '../controllers/peer-exchange.js';
import type {HostContext} from './host-context.js';
import type {Limits} from './start-limits.js';

/** Encoding of views between hosts; the same as in the platform's snapshots. */
export const VIEW_TEXT: ViewCodec = {encode: encodeView, decode: decodeView};

/** Adds the peer service to the host's gRPC server. */
export function startPeerService(context: HostContext, limits: Limits): void {
	const {blackboard, identity, server} = context;
	server.addService(PeerService, createPeerService({
		deployment: identity.deployment,
		viewCodec: VIEW_TEXT,
		handlers: {
			handleStampRequest: request => handleStampRequest(context, request),
			handleViewRequest: () => blackboard.read().view,
			handleAllotmentRequest: limits.handleAllotmentRequest,
		},
	}));
}
