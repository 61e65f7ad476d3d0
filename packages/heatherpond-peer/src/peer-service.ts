/** Service that handles the calls of other hosts. */
import {status, type sendUnaryData, type ServerUnaryCall} from '@grpc/grpc-js';
import {
	allotmentRequestSchema, encodeLogEntry, stampRequestSchema, type PeerHandlers,
} from 'heatherpond-core';
import type {PeerServer} from './generated/peer.js';
import type {ViewCodec} from './view-codec.js';

/** Options of the peer service. */
export type PeerServiceOptions = {
	/** Requests from another deployment are rejected with PERMISSION_DENIED. */
	readonly deployment: string;
	readonly handlers: PeerHandlers;
	/** Encodes the fleet view that is sent to peers. */
	readonly viewCodec: ViewCodec;
};

/** Creates the implementation of the `Peer` service, to be added to the gRPC server of the host. */
export function createPeerService({deployment, handlers, viewCodec}: PeerServiceOptions): PeerServer {
	function handleCall<Request extends {readonly deployment: string}, Reply>(call: ServerUnaryCall<Request, Reply>, reply: sendUnaryData<Reply>, serve: (request: Request) => Reply): void {
		if (call.request.deployment !== deployment) {
			reply({code: status.PERMISSION_DENIED, details: `this host belongs to the deployment ${deployment}`});
			return;
		}

		try {
			reply(null, serve(call.request));
		} catch (error) {
			reply({code: status.INVALID_ARGUMENT, details: (error as Error).message});
		}
	}

	return {
		askStamp(call, reply) {
			handleCall(call, reply, request => {
				const response = handlers.handleStampRequest(stampRequestSchema.parse(request));
				return {...response, entries: response.entries.map(entry => encodeLogEntry(entry))};
			});
		},
		askView(call, reply) {
			handleCall(call, reply, () => ({view: viewCodec.encode(handlers.handleViewRequest())}));
		},
		moveAllotments(call, reply) {
			handleCall(call, reply, request => handlers.handleAllotmentRequest(allotmentRequestSchema.parse(request)));
		},
	};
}
