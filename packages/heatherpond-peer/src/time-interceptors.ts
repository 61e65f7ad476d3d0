/** Interceptors of gRPC calls that exchange hybrid logical timestamps, so that events caused by a call are ordered after the call. */
import {
	InterceptingCall, ListenerBuilder, ServerInterceptingCall, type Interceptor, type Metadata, type ServerInterceptor,
} from '@grpc/grpc-js';

/** Access to the hybrid logical clock of this host, with timestamps as text. */
export type TimeExchange = {
	/** Reads the current timestamp. */
	readonly readTimestamp: () => string;
	/** Advances the clock past the timestamp of another host. */
	readonly applyTimestamp: (text: string) => void;
};

/** Metadata key of the timestamp. */
const TIME_KEY = 'x-hybrid-time';

function applyTimeMetadata({applyTimestamp}: TimeExchange, metadata: Metadata): void {
	const text = metadata.get(TIME_KEY).at(0);
	if (typeof text === 'string') {
		applyTimestamp(text);
	}
}

/** Creates the client interceptor, which sends a timestamp with each request and applies the one in the response. */
export function createTimeInterceptor(exchange: TimeExchange): Interceptor {
	return (options, nextCall) => new InterceptingCall(nextCall(options), {
		start(metadata, _listener, next) {
			metadata.set(TIME_KEY, exchange.readTimestamp());
			const listener = new ListenerBuilder().withOnReceiveMetadata((received, nextMetadata) => {
				applyTimeMetadata(exchange, received);
				nextMetadata(received);
			}).build();
			next(metadata, listener);
		},
	});
}

/** Creates the server interceptor, which applies the timestamp of each request and sends one with the response. */
export function createTimeServerInterceptor(exchange: TimeExchange): ServerInterceptor {
	return (_method, call) => new ServerInterceptingCall(call, {
		start(next) {
			next({
				onReceiveMetadata(metadata, nextMetadata) {
					applyTimeMetadata(exchange, metadata);
					nextMetadata(metadata);
				},
			});
		},
		sendMetadata(metadata, next) {
			metadata.set(TIME_KEY, exchange.readTimestamp());
			next(metadata);
		},
	});
}
