/** Client of the fleet: tries the hosts in turn until one responds or the deadline passes. */
import {
	AdminError, collectHostEvents, openAdminConnection, readHostMetrics, type AdminConnection, type AdminTls, type CollectedEvents, type ReadMetricsReply, type ReadStatusReply,
} from 'heatherpond-admin';
import {
	waitUntil, type CallOptions, type Clock, type Deadline, type FleetView,
} from 'heatherpond-core';
import {decodeView} from 'heatherpond-changelog';
import {CtlError, EXIT, type ExitCode} from './ctl-error.js';

/** Options of the fleet client. */
export type FleetClientOptions = {
	/** `address:port` of one or more hosts. */
	readonly addresses: readonly string[];
	/** Operator token; may be absent if the hosts require none. */
	readonly token?: string;
	/** Plain-text connections if absent. */
	readonly tls?: AdminTls;
	readonly clock: Clock;
	/** Deadline of all calls together. */
	readonly deadline: Deadline;
	readonly signal: AbortSignal;
};

/** Calls to the fleet. */
export type FleetClient = {
	/** Makes one call to the first host that responds. */
	readonly call: <Reply>(work: (connection: AdminConnection, options: CallOptions) => Promise<Reply>) => Promise<Reply>;
	/** Reads the fleet view of the first host that responds. */
	readonly readView: () => Promise<FleetView>;
	/** Reads the status of one host. */
	readonly readStatusOf: (address: string, deadline: Deadline) => Promise<ReadStatusReply>;
	/** Reads the events that one host has retained and that match a filter, given as JSON. */
	readonly collectEventsOf: (address: string, filter: string, deadline: Deadline) => Promise<CollectedEvents>;
	/** Reads the metrics of one host. */
	readonly readMetricsOf: (address: string, deadline: Deadline) => Promise<ReadMetricsReply>;
	/** Closes all connections. */
	readonly close: () => void;
};

/** Time within which a host must respond before the next one is tried. */
const HOST_TIMEOUT_MS = 9000;
/** Delay before the hosts are tried again after all of them failed. */
const RETRY_DELAY_MS = 200;

/** Exit codes by the error code of the call. */
const EXIT_CODES: Readonly<Record<string, ExitCode>> = {
	refused: EXIT.refused, invalid: EXIT.badInput, unauthenticated: EXIT.refused, unsupported: EXIT.refused,
};

/** Creates the fleet client; connections open at the first call to a host. */
export function openFleet(options: FleetClientOptions): FleetClient {
	const {clock, deadline, signal, token, tls} = options;
	const connections = new Map<string, AdminConnection>();

	function findConnection(address: string): AdminConnection {
		const connection = connections.get(address) ?? openAdminConnection({
			address, token, tls, clock,
		});
		connections.set(address, connection);
		return connection;
	}

	async function call<Reply>(work: (connection: AdminConnection, callOptions: CallOptions) => Promise<Reply>): Promise<Reply> {
		const failures = new Map<string, string>();
		while (clock.readNow() < deadline && !signal.aborted) {
			for (const address of options.addresses) {
				try {
					return await work(findConnection(address), {deadline: Math.min(deadline, clock.readNow() + HOST_TIMEOUT_MS), signal});
				} catch (error) {
					failures.set(address, checkRetryable(error));
				}
			}

			await waitUntil(clock, clock.readNow() + RETRY_DELAY_MS, signal);
		}

		throw new CtlError(['no host gave an answer before the deadline', ...failures.values()].join('\n'), {props: {exitCode: EXIT.unavailable}});
	}

	return {
		call,
		async readView() {
			const reply = await call(async (connection, callOptions) => connection.readView(callOptions));
			return decodeView(reply.view);
		},
		readStatusOf: async (address, callDeadline) => findConnection(address).readStatus({deadline: callDeadline, signal}),
		collectEventsOf: async (address, filter, callDeadline) => collectHostEvents({
			address, token, tls, clock, deadline: callDeadline, signal,
		}, filter),
		readMetricsOf: async (address, callDeadline) => readHostMetrics({
			address, token, tls, clock, deadline: callDeadline, signal,
		}),
		close() {
			connections.forEach(connection => {
				connection.close();
			});
		},
	};
}

/** Returns the reason of a failure after which another host may succeed; rethrows any other error. */
function checkRetryable(error: unknown): string {
	if (!(error instanceof AdminError)) {
		throw error;
	}

	if (error.code !== 'unavailable') {
		throw new CtlError('a host rejected the call', {cause: error, props: {exitCode: EXIT_CODES[error.code] ?? EXIT.failed, reason: error.reason}});
	}

	return error.reason;
}
