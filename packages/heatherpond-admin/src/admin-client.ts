/** Client of the admin service of a host. */
import {Buffer} from 'node:buffer';
import {
	ChannelCredentials, Metadata, type ChannelOptions, status, type CallOptions as GrpcCallOptions, type ClientUnaryCall, type ServiceError,
} from '@grpc/grpc-js';
import type {CallOptions, Clock} from 'heatherpond-core';
import {AdminError, type AdminErrorCode} from './admin-error.js';
import {
	AdminClient, type ReadHistoryReply, type ReadHistoryRequest, type ReadStatusReply, type ReadViewReply, type RequestSwitchoverReply, type RequestSwitchoverRequest, type SubmitChangeReply,
	type SubmitChangeRequest,
} from './generated/admin.js';

/** Metadata key of the operator token. */
export const OPERATOR_TOKEN_KEY = 'x-operator-token';

/** Connection to the admin service of one host; failed calls reject with an `AdminError`. */
export type AdminConnection = {
	readonly address: string;
	readonly submitChange: (request: SubmitChangeRequest, options: CallOptions) => Promise<SubmitChangeReply>;
	readonly readView: (options: CallOptions) => Promise<ReadViewReply>;
	readonly readStatus: (options: CallOptions) => Promise<ReadStatusReply>;
	readonly readHistory: (request: ReadHistoryRequest, options: CallOptions) => Promise<ReadHistoryReply>;
	readonly requestSwitchover: (request: RequestSwitchoverRequest, options: CallOptions) => Promise<RequestSwitchoverReply>;
	readonly close: () => void;
};

/** PEM-encoded certificates and key for mutual TLS with a host. */
export type AdminTls = {
	/** Name of the deployment, which is the subject alternative name of the host certificate. */
	readonly deployment: string;
	readonly certificate: string;
	readonly key: string;
	/** Certificate of the authority that signs the certificates of all hosts. */
	readonly authority: string;
};

/** Options of a connection to a host. */
export type AdminConnectionOptions = {
	/** `address:port` of the host. */
	readonly address: string;
	/** Operator token; may be absent if the host requires none. */
	readonly token?: string;
	/** Plain-text connection if absent. */
	readonly tls?: AdminTls;
	readonly clock: Clock;
};

/** Error codes by gRPC status; every other status is `unavailable`. */
const ERROR_CODES: Readonly<Partial<Record<status, AdminErrorCode>>> = {
	[status.FAILED_PRECONDITION]: 'refused',
	[status.INVALID_ARGUMENT]: 'invalid',
	[status.UNAUTHENTICATED]: 'unauthenticated',
	[status.UNIMPLEMENTED]: 'unsupported',
};

type UnaryMethod<Request, Reply> = (request: Request, metadata: Metadata, options: Partial<GrpcCallOptions>, callback: (error: ServiceError | null, reply: Reply) => void) => ClientUnaryCall;

/** Creates the channel credentials; plain text without `tls`. */
export function createAdminCredentials(tls: AdminTls | undefined): ChannelCredentials {
	return tls ? ChannelCredentials.createSsl(Buffer.from(tls.authority), Buffer.from(tls.key), Buffer.from(tls.certificate)) : ChannelCredentials.createInsecure();
}

/** Creates the channel options, which verify the host certificate against the name of the deployment instead of the address. */
export function createAdminChannelOptions(tls: AdminTls | undefined): ChannelOptions {
	return tls ? {'grpc.ssl_target_name_override': tls.deployment, 'grpc.default_authority': tls.deployment} : {};
}

/** Opens a connection to the admin service of a host. */
export function openAdminConnection(options: AdminConnectionOptions): AdminConnection {
	const {address, clock, tls} = options;
	const client = new AdminClient(address, createAdminCredentials(tls), createAdminChannelOptions(tls));
	const metadata = new Metadata();
	if (options.token) {
		metadata.set(OPERATOR_TOKEN_KEY, options.token);
	}

	async function runCall<Request, Reply>(method: UnaryMethod<Request, Reply>, request: Request, {deadline, signal}: CallOptions): Promise<Reply> {
		return new Promise<Reply>((resolve, reject) => {
			const call = method.call(client, request, metadata, {}, (error, reply) => {
				stopTimer();
				signal.removeEventListener('abort', handleCancel);
				if (error) {
					reject(createCallError(address, error));
				} else {
					resolve(reply);
				}
			});
			function handleCancel(): void {
				call.cancel();
			}

			const stopTimer = clock.registerTimer(deadline, handleCancel);
			signal.addEventListener('abort', handleCancel, {once: true});
		});
	}

	return {
		address,
		submitChange: async (request, callOptions) => runCall(client.submitChange, request, callOptions),
		readView: async callOptions => runCall(client.readView, {}, callOptions),
		readStatus: async callOptions => runCall(client.readStatus, {}, callOptions),
		readHistory: async (request, callOptions) => runCall(client.readHistory, request, callOptions),
		requestSwitchover: async (request, callOptions) => runCall(client.requestSwitchover, request, callOptions),
		close() {
			client.close();
		},
	};
}

function createCallError(address: string, error: ServiceError): Error {
	const reason = `the host at ${address}: ${error.code === status.CANCELLED ? 'no response before the deadline' : error.details}`;
	return new AdminError('the call to a host failed', {cause: error, props: {code: ERROR_CODES[error.code] ?? 'unavailable', reason}});
}
