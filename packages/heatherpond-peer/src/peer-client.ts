/**
 * Client for gRPC calls to other hosts, with deadlines and keepalive. A connection on which a call failed as unavailable
 * is closed, so that the next call to that host opens a new one.
 */
import {
	status, type CallOptions as GrpcCallOptions, type ClientUnaryCall, type Interceptor, type Metadata, type ServiceError, Metadata as GrpcMetadata,
} from '@grpc/grpc-js';
import {
	allotmentResponseSchema, PortError, stampResponseSchema, type CallOptions, type Clock, type PeerPort, type PortErrorCode,
} from 'heatherpond-core';
import {PeerClient} from './generated/peer.js';
import {PeerError} from './peer-error.js';
import {createPeerChannelCredentials, type PeerTls} from './peer-security.js';
import type {ViewCodec} from './view-codec.js';

/** Options of the peer client. */
export type PeerClientOptions = {
	/** Sent with every request; hosts of another deployment reject the call. */
	readonly deployment: string;
	readonly clock: Clock;
	/** Decodes the fleet views that peers send. */
	readonly viewCodec: ViewCodec;
	/** Plain-text connections if absent. */
	readonly tls?: PeerTls;
	/** Interceptors of every call; none by default. */
	readonly interceptors?: readonly Interceptor[];
	/** Closes all connections when aborted. */
	readonly signal: AbortSignal;
};

const KEEPALIVE_TIME_MS = 5000;
const KEEPALIVE_TIMEOUT_MS = 2000;
const MAX_MESSAGE_BYTES = 67_108_864;
/** Upper bound on open connections; the least recently used one is closed first. */
const MAX_CONNECTIONS = 48;

type UnaryMethod<Request, Reply> = (request: Request, metadata: Metadata, options: Partial<GrpcCallOptions>, callback: (error: ServiceError | null, reply: Reply) => void) => ClientUnaryCall;

type PeerMethod<Request, Reply> = (client: PeerClient) => UnaryMethod<Request, Reply>;

/** Creates the peer client. A connection is opened by the first call to an address, and all close when the signal is aborted. */
export function openPeerClient(options: PeerClientOptions): PeerPort {
	const {deployment, viewCodec} = options;
	const connections = createPeerConnections(options);

	async function call<Request, Reply>(address: string, method: PeerMethod<Request, Reply>, [request, callOptions]: readonly [Request, CallOptions]): Promise<Reply> {
		const client = connections.find(address);
		try {
			return await runCall(method(client).bind(client), request, {...callOptions, clock: options.clock});
		} catch (error) {
			if (!(error instanceof PortError) || error.code === 'unavailable') {
				connections.close(address, client);
			}

			throw error;
		}
	}

	return {
		async askStamp(address, question, callOptions) {
			const reply = await call(address, client => client.askStamp, [{deployment, ...question}, callOptions]);
			return parseResponse(() => stampResponseSchema.parse({...reply, entries: reply.entries.map(text => JSON.parse(text) as unknown)}));
		},
		async askView(address, callOptions) {
			const reply = await call(address, client => client.askView, [{deployment}, callOptions]);
			return parseResponse(() => viewCodec.decode(reply.view));
		},
		async moveAllotments(address, question, callOptions) {
			const request = {deployment, ...question};
			const reply = await call(address, client => client.moveAllotments, [request, callOptions]);
			return parseResponse(() => allotmentResponseSchema.parse(reply));
		},
	};
}

/** Open connections by address, in order of last use. */
type PeerConnections = {
	/** Returns the connection to an address, opening it if needed. */
	readonly find: (address: string) => PeerClient;
	/** Closes a connection that may be broken, so that the next call opens a new one. */
	readonly close: (address: string, client: PeerClient) => void;
};

function createPeerConnections(options: PeerClientOptions): PeerConnections {
	const clients = new Map<string, PeerClient>();
	const credentials = createPeerChannelCredentials(options.tls);

	function open(address: string): PeerClient {
		return new PeerClient(address, credentials, {
			interceptors: [...(options.interceptors ?? [])],
			'grpc.keepalive_time_ms': KEEPALIVE_TIME_MS,
			'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
			'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
			'grpc.initial_reconnect_backoff_ms': 100,
			'grpc.max_reconnect_backoff_ms': 1000,
			// Without a subchannel pool of its own, a new client would reuse the unresponsive connection of the closed one.
			'grpc.use_local_subchannel_pool': 1,
			...(options.tls ? {'grpc.ssl_target_name_override': options.deployment} : {}),
		});
	}

	function close(address: string, client: PeerClient): void {
		if (clients.get(address) === client) {
			clients.delete(address);
			client.close();
		}
	}

	options.signal.addEventListener('abort', () => {
		[...clients].forEach(([address, client]) => {
			close(address, client);
		});
	}, {once: true});
	return {
		find(address) {
			const client = clients.get(address) ?? open(address);
			clients.delete(address);
			clients.set(address, client);
			const [oldest] = clients;
			if (clients.size > MAX_CONNECTIONS && oldest) {
				close(...oldest);
			}

			return client;
		},
		close,
	};
}

type TimedCallOptions = CallOptions & {readonly clock: Clock};

async function runCall<Request, Reply>(method: UnaryMethod<Request, Reply>, request: Request, options: TimedCallOptions): Promise<Reply> {
	const remainingMs = options.deadline - options.clock.readNow();
	if (remainingMs <= 0 || options.signal.aborted) {
		throw new PortError('the deadline of the call to the peer had passed, or the call was aborted, before it was sent');
	}

	return new Promise<Reply>((resolve, reject) => {
		const call = method(request, new GrpcMetadata(), {deadline: Date.now() + remainingMs}, (error, reply) => {
			options.signal.removeEventListener('abort', handleAbort);
			if (error) {
				reject(convertCallError(error));
			} else {
				resolve(reply);
			}
		});
		function handleAbort(): void {
			call.cancel();
		}

		options.signal.addEventListener('abort', handleAbort, {once: true});
	});
}

function convertCallError(cause: ServiceError): InstanceType<typeof PortError> {
	const code: PortErrorCode = cause.code === status.PERMISSION_DENIED ? 'refused' : 'unavailable';
	return new PortError('the call to the peer failed', {cause: new PeerError('gRPC call to a peer failed', {cause}), props: {code}});
}

function parseResponse<Parsed>(parse: () => Parsed): Parsed {
	try {
		return parse();
	} catch (error) {
		throw new PortError('the peer sent a malformed response', {cause: error, props: {code: 'invalid'}});
	}
}
