/**
 * Unary gRPC calls to the platform with deadlines and abort signals. A channel on which a call timed out, and which has
 * delivered no response since that call began, is replaced: its connection may never recover while a new one works.
 */
import {
	ChannelCredentials, Metadata, status, type CallOptions as GrpcCallOptions, type ClientUnaryCall, type ServiceError,
} from '@grpc/grpc-js';
import {
	PortError, type CallOptions, type Clock, type Instant,
} from 'heatherpond-core';
import {PlatformClient} from './generated/platform.js';

/** Metadata key of the failure domain of the calling process. */
export const DOMAIN_METADATA_KEY = 'x-failure-domain';

const KEEPALIVE_TIME_MS = 5000;
const KEEPALIVE_TIMEOUT_MS = 2000;
const MAX_MESSAGE_BYTES = 67_108_864;

/** Options of the connection to the platform. */
export type PlatformClientOptions = {
	/** `address:port` of the platform's gRPC service. */
	readonly address: string;
	/** Failure domain of the calling process. */
	readonly domain: string;
	readonly clock: Clock;
	/** Closes the connection when aborted. */
	readonly signal: AbortSignal;
};

/** Unary method of the generated gRPC client. */
export type UnaryMethod<Request, Reply> = (request: Request, metadata: Metadata, options: Partial<GrpcCallOptions>, callback: (error: ServiceError | null, reply: Reply) => void) => ClientUnaryCall;

/** Makes one call with the selected method; rejects with a `PortError` when the call fails or its deadline passes. */
export type PlatformCall = <Request, Reply>(selectMethod: (client: PlatformClient) => UnaryMethod<Request, Reply>, request: Request, options: CallOptions) => Promise<Reply>;

/** Connection to the platform. */
export type PlatformConnection = {
	readonly call: PlatformCall;
	readonly clock: Clock;
	/** Number of channels opened so far, replaced ones included. */
	readonly countChannels: () => number;
};

/** A gRPC channel with the state that decides when it is replaced and closed. */
type Channel = {
	readonly client: PlatformClient;
	/** Time of the last successful response, or of the opening of the channel. */
	lastResponseAt: Instant;
	/** Number of calls in flight. */
	inFlight: number;
	/** Whether another channel has replaced this one; it closes when its last call ends. */
	isRetired: boolean;
};

/** Opens a connection that closes when the signal is aborted. */
export function openPlatformConnection(options: PlatformClientOptions): PlatformConnection {
	const {clock} = options;
	const metadata = new Metadata();
	metadata.set(DOMAIN_METADATA_KEY, options.domain);
	let channels = 0;
	let channel = openChannel();

	function openChannel(): Channel {
		channels++;
		return {
			client: createClient(options.address), lastResponseAt: clock.readNow(), inFlight: 0, isRetired: false,
		};
	}

	function closeIfDrained(usedChannel: Channel): void {
		if (usedChannel.isRetired && usedChannel.inFlight === 0) {
			usedChannel.client.close();
		}
	}

	/** Replaces a channel that has delivered no response since the call that timed out began. */
	function handleResponseTimeout(usedChannel: Channel, startedAt: Instant): void {
		if (usedChannel === channel && usedChannel.lastResponseAt <= startedAt && !options.signal.aborted) {
			usedChannel.isRetired = true;
			channel = openChannel();
		}
	}

	options.signal.addEventListener('abort', () => {
		channel.client.close();
	}, {once: true});

	return {
		clock,
		countChannels: () => channels,
		async call(selectMethod, request, callOptions) {
			const usedChannel = channel;
			const startedAt = clock.readNow();
			usedChannel.inFlight++;
			try {
				const reply = await runCall(selectMethod(usedChannel.client).bind(usedChannel.client), {request, metadata}, callOptions, clock);
				usedChannel.lastResponseAt = clock.readNow();
				return reply;
			} catch (error) {
				if (error instanceof ResponseTimeoutError) {
					handleResponseTimeout(usedChannel, startedAt);
				}

				throw error;
			} finally {
				usedChannel.inFlight--;
				closeIfDrained(usedChannel);
			}
		},
	};
}

/** The deadline passed without a response. */
const ResponseTimeoutError = PortError.subclass('ResponseTimeoutError');

function createClient(address: string): PlatformClient {
	return new PlatformClient(address, ChannelCredentials.createInsecure(), {
		'grpc.keepalive_time_ms': KEEPALIVE_TIME_MS,
		'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
		'grpc.keepalive_permit_without_calls': 1,
		// Keeps a new channel from sharing the connection of the channel that it replaces.
		'grpc.use_local_subchannel_pool': 1,
		'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
		'grpc.initial_reconnect_backoff_ms': 100,
		'grpc.max_reconnect_backoff_ms': 1000,
	});
}

type UnaryRequest<Request> = {readonly request: Request; readonly metadata: Metadata};

/** Status codes that guarantee that the call had no effect. */
const REFUSAL_CODES: ReadonlySet<status> = new Set([status.INVALID_ARGUMENT, status.PERMISSION_DENIED, status.UNAUTHENTICATED, status.UNIMPLEMENTED, status.FAILED_PRECONDITION]);

async function runCall<Request, Reply>(method: UnaryMethod<Request, Reply>, {request, metadata}: UnaryRequest<Request>, {deadline, signal}: CallOptions, clock: Clock): Promise<Reply> {
	if (deadline <= clock.readNow() || signal.aborted) {
		throw new PortError('the deadline of the call to the platform had passed, or the call was aborted, before it was sent', {props: {code: 'refused'}});
	}

	return new Promise<Reply>((resolve, reject) => {
		let isTimedOut = false;
		const call = method(request, metadata, {}, (error, reply) => {
			stopTimer();
			signal.removeEventListener('abort', handleAbort);
			if (!error) {
				resolve(reply);
			} else if (isTimedOut) {
				reject(new ResponseTimeoutError('the platform did not respond before the deadline', {cause: error, props: {code: 'unavailable'}}));
			} else {
				reject(new PortError(`the call to the platform failed: ${error.details}`, {cause: error, props: {code: REFUSAL_CODES.has(error.code) ? 'refused' : 'unavailable'}}));
			}
		});
		const stopTimer = clock.registerTimer(deadline, () => {
			isTimedOut = true;
			call.cancel();
		});
		function handleAbort(): void {
			call.cancel();
		}

		signal.addEventListener('abort', handleAbort, {once: true});
	});
}
