/** Client of the promotion service of other hosts. */
import {
	Metadata, type ClientUnaryCall, type Interceptor, type ServiceError,
} from '@grpc/grpc-js';
import {
	PortError, viewResponseSchema, type CallOptions, type Clock, type PromotionPort, type ViewResponse, type ViewRequest,
} from 'heatherpond-core';
import {PromotionClient, type AskViewReply} from './generated/promotion.js';
import {createPeerChannelCredentials, type PeerTls} from './peer-security.js';

/** Options of the promotion client. */
export type PromotionClientOptions = {
	/** Sent with every request; hosts of another deployment reject the call. */
	readonly deployment: string;
	readonly clock: Clock;
	/** Interceptors of every call; none by default. */
	readonly interceptors?: readonly Interceptor[];
	/** Plain-text connections if absent. */
	readonly tls?: PeerTls;
	/** Closes all connections when aborted. */
	readonly signal: AbortSignal;
};

const MAX_RECONNECT_BACKOFF_MS = 500;
const MIN_RECONNECT_BACKOFF_MS = 50;

/** Opens the promotion client; its connections close when the signal is aborted. */
export function openPromotionPort(options: PromotionClientOptions): PromotionPort {
	const clients = new Map<string, PromotionClient>();
	const credentials = createPeerChannelCredentials(options.tls);
	options.signal.addEventListener('abort', () => {
		clients.forEach(client => {
			client.close();
		});
	}, {once: true});

	function findClient(address: string): PromotionClient {
		const existing = clients.get(address);
		if (existing) {
			return existing;
		}

		const client = new PromotionClient(address, credentials, {
			interceptors: [...(options.interceptors ?? [])],
			'grpc.initial_reconnect_backoff_ms': MIN_RECONNECT_BACKOFF_MS,
			'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_BACKOFF_MS,
		});
		clients.set(address, client);
		return client;
	}

	/** Closes a connection that may be broken, so that the next request opens a new one. */
	function closeClient(address: string, client: PromotionClient): void {
		client.close();
		if (clients.get(address) === client) {
			clients.delete(address);
		}
	}

	return {
		async askView(address, question, callOptions) {
			const remainingMs = callOptions.deadline - options.clock.readNow();
			if (remainingMs <= 0 || callOptions.signal.aborted || options.signal.aborted) {
				throw new PortError('the deadline of the view request had passed, or the request was aborted, before it was sent');
			}

			const client = findClient(address);
			try {
				return parseResponse(await sendViewRequest(client, {...question, deployment: options.deployment}, {...callOptions, remainingMs}));
			} catch (error) {
				closeClient(address, client);
				throw error;
			}
		},
	};
}

type DeploymentViewRequest = ViewRequest & {readonly deployment: string};

async function sendViewRequest(client: PromotionClient, question: DeploymentViewRequest, {signal, remainingMs}: CallOptions & {readonly remainingMs: number}): Promise<AskViewReply> {
	return new Promise<AskViewReply>((resolve, reject) => {
		function handleReply(error: ServiceError | null, reply: AskViewReply): void {
			signal.removeEventListener('abort', handleAbort);
			if (error) {
				reject(new PortError('the view request to the host failed', {cause: error, props: {code: 'unavailable'}}));
			} else {
				resolve(reply);
			}
		}

		const call: ClientUnaryCall = client.askView(question, new Metadata(), {deadline: Date.now() + remainingMs}, handleReply);
		function handleAbort(): void {
			call.cancel();
		}

		signal.addEventListener('abort', handleAbort, {once: true});
	});
}

function parseResponse(reply: AskViewReply): ViewResponse {
	const parsed = viewResponseSchema.safeParse(reply);
	if (!parsed.success) {
		throw new PortError('the host sent a malformed view response', {cause: parsed.error, props: {code: 'invalid'}});
	}

	return parsed.data;
}
