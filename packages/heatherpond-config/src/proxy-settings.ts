/** Settings of one proxy host. */
import {nameSchema} from 'heatherpond-core';
import * as z from 'zod';

/** IP address and port as `address:port`; port 0 selects any free port. */
export const addressSchema = z.string().regex(/^[\da-f.:\[\]]+:\d{1,5}$/iv, 'allowed: an IP address and a port, such as 127.0.0.1:6432');

/** Parsed `address:port`. */
export type SocketAddress = {readonly address: string; readonly port: number};

/** Parses an `address:port` text that `addressSchema` has accepted. */
export function parseAddress(text: string): SocketAddress {
	const colon = text.lastIndexOf(':');
	return {address: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}

function isLoopback(address: string): boolean {
	return address.startsWith('127.') || address.startsWith('[::1]');
}

const databaseUserSchema = z.strictObject({user: z.string().min(1), password: z.string()});

/** PEM files for mutual TLS between hosts; the certificate's subject alternative name must be the name of the deployment. */
const peerTlsSchema = z.strictObject({
	certificateFile: z.string().min(1),
	keyFile: z.string().min(1),
	/** Certificate of the authority that signs the certificates of all hosts. */
	authorityFile: z.string().min(1),
});

/** Intervals and timeouts of failure detection and promotion, in milliseconds. */
export const timingsSchema = z.strictObject({
	/** How long after its last verification a host may still treat the term and primary in its fleet view as current (its lease). */
	termLeaseMs: z.number().positive().default(800),
	/** Interval between two probes of a database. */
	probeIntervalMs: z.number().positive().default(50),
	/** Timeout of a probe. */
	probeTimeoutMs: z.number().positive().default(300),
	/** Time without contact between a primary and its replicas after which the primary is suspected to have failed. */
	suspicionMs: z.number().positive().default(250),
	/** Time after which another host takes over a promotion whose promoter makes no progress. */
	takeoverMs: z.number().positive().default(500),
	/** Timeout of one step of a promotion. */
	stepTimeoutMs: z.number().positive().default(1000),
	/** Time that a switchover waits for the new primary to catch up with the old one. */
	switchoverDrainMs: z.number().positive().default(2000),
});

export type Timings = z.infer<typeof timingsSchema>;

/** Settings of `heatherpond-proxy`. */
export const proxySettingsSchema = z.strictObject({
	/** Name of the deployment; hosts communicate only within one deployment. */
	deployment: nameSchema,
	/** Name of this host, unique within the deployment. */
	host: nameSchema,
	/** Failure domain of this host. */
	domain: nameSchema,
	/** Address for client connections. */
	listen: addressSchema,
	/** Address for connections of other hosts and of operators. */
	peerListen: addressSchema,
	/** Address at which metrics are served over HTTP at `/metrics`; not served if absent. */
	metricsListen: addressSchema.optional(),
	/** Address of the platform's gRPC service. */
	platform: addressSchema,
	/** Peers from which a starting host requests the fleet view when the platform is unavailable. */
	peers: z.array(addressSchema).default([]),
	/** Mutual TLS between hosts, and between operators and hosts; plain text if absent. */
	peerTls: peerTlsSchema.optional(),
	logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info'),
	/** SHA-256 of the operator token in lower-case hexadecimal; optional only if `peerListen` is a loopback address. */
	operatorTokenHash: z.string().regex(/^[\da-f]{64}$/v, 'allowed: the SHA-256 of the token, 64 lower-case hexadecimal digits').optional(),
	/** Database credentials for the statements of clients. */
	database: databaseUserSchema,
	/** Database credentials for status queries, fencing and promotion. */
	control: databaseUserSchema,
	/** PEM files with the certificate and key for TLS with clients; plain text if absent. */
	tls: z.strictObject({certificate: z.string().min(1), key: z.string().min(1)}).optional(),
	limits: z.strictObject({
		/** Maximum size of a protocol message, and of the messages of one batch, from a client. */
		maxFrameBytes: z.number().int().min(1024).default(16_777_216),
		/** Time within which a client must have authenticated. */
		startupTimeoutMs: z.number().positive().default(5000),
		/** Time within which a request must be answered. */
		requestTimeoutMs: z.number().positive().default(10_000),
		/** Time that a read waits for a replica before it falls back to the primary. */
		replicaWaitMs: z.number().nonnegative().default(50),
		/** Maximum size of a response that is buffered until the host has confirmed that the database is still the group's primary. */
		maxHeldBytes: z.number().int().positive().default(1_048_576),
		/** Time that an open transaction may wait for the next statement of its client. */
		idleTransactionTimeoutMs: z.number().positive().default(60_000),
		/** Time without a byte from a database after which it is checked on a new connection. */
		silenceMs: z.number().positive().default(1000),
		/** Time that a graceful shutdown allows for running requests and transactions. */
		drainTimeoutMs: z.number().nonnegative().default(10_000),
	}).prefault({}),
	/** Intervals and timeouts of failure detection and promotion; `termLeaseMs` must be the same on all hosts of a deployment. */
	timings: timingsSchema.prefault({}),
}).refine(settings => settings.operatorTokenHash !== undefined || isLoopback(settings.peerListen), {
	path: ['operatorTokenHash'],
	error: 'required unless peerListen is a loopback address, because otherwise anyone who can reach that port could act as an operator',
});

export type ProxySettings = z.infer<typeof proxySettingsSchema>;
