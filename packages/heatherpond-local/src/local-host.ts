/** A host of a local deployment, which can be killed and restarted at the same addresses. */
import {setMaxListeners} from 'node:events';
import {proxySettingsSchema, type ProxySettings, type Timings} from 'heatherpond-config';
import type {Clock} from 'heatherpond-core';
import {createLogger, type Logger} from 'heatherpond-observe';
import {startProxyHost, type ProxyHost, type SharingMode} from 'heatherpond-proxy';
import {createFaultyPeers, createFaultyPromotions, type PeerFaults} from './peer-faults.js';

/** Credentials for the databases. */
export type DatabaseUser = {readonly user: string; readonly password: string};

/** Options of {@link startLocalHost}. */
export type LocalHostOptions = {
	readonly host: string;
	readonly domain: string;
	readonly deployment: string;
	/** Address of the platform. */
	readonly platform: string;
	/** Addresses of peers from which the host requests its initial view. */
	readonly peers: readonly string[];
	/** Address to listen on; 127.0.0.1 by default. */
	readonly address?: string;
	/** Ports to listen on; free ports are chosen by default. */
	readonly ports?: {readonly callers: number; readonly peers: number};
	readonly clock: Clock;
	readonly logLevel: 'debug' | 'info' | 'warn' | 'silent';
	/** User for the connections that serve clients. */
	readonly databaseUser: DatabaseUser;
	/** User for probes and promotions. */
	readonly controlUser: DatabaseUser;
	readonly peerFaults: PeerFaults;
	/** Overrides of the default timings of failure detection and promotion. */
	readonly timings: Partial<Timings>;
	/** Overrides of the default limits on clients. */
	readonly limits: Partial<ProxySettings['limits']>;
	/** How hosts share the rate of a contract; `ledger` by default. */
	readonly sharing?: SharingMode;
	/** Wraps the logger of the host, for example to observe an event. */
	readonly wrapLogger?: (host: string, logger: Logger) => Logger;
	/** Stops the host immediately, without draining. */
	readonly signal: AbortSignal;
};

/** A running host that can be killed and restarted. */
export type LocalHost = ProxyHost & {
	/** Stops the host immediately, without draining, to simulate a crash. */
	readonly kill: () => void;
	readonly isKilled: () => boolean;
	/** Starts a new incarnation of the host at the same addresses; the previous one must have stopped. */
	readonly restart: (peers: readonly string[]) => Promise<LocalHost>;
};

const LOOPBACK = '127.0.0.1';

/** Starts a host on the loopback interface; it stops when the signal aborts or when it is killed. */
export async function startLocalHost(options: LocalHostOptions): Promise<LocalHost> {
	const {host, domain, ports, clock, peerFaults, address = LOOPBACK} = options;
	const stop = new AbortController();
	setMaxListeners(0, stop.signal);
	options.signal.addEventListener('abort', () => {
		stop.abort();
	}, {once: true});
	const settings = proxySettingsSchema.parse({
		deployment: options.deployment,
		host,
		domain,
		listen: `${address}:${ports?.callers ?? 0}`,
		peerListen: `${address}:${ports?.peers ?? 0}`,
		platform: options.platform,
		peers: [...options.peers],
		logLevel: options.logLevel,
		database: {user: options.databaseUser.user, password: options.databaseUser.password},
		control: {user: options.controlUser.user, password: options.controlUser.password},
		timings: options.timings,
		limits: options.limits,
	});
	const logger = createLogger({host, domain, level: options.logLevel});
	const proxyHost = await startProxyHost({
		settings,
		clock,
		logger: options.wrapLogger?.(host, logger) ?? logger,
		sharing: options.sharing,
		wrapPeers: peers => createFaultyPeers(peers, domain, peerFaults, clock),
		wrapPromotions: promotions => createFaultyPromotions(promotions, domain, peerFaults, clock),
		signal: stop.signal,
	});
	const {peerAddress} = proxyHost.identity;
	peerFaults.domainsByAddress.set(peerAddress, domain);
	return {
		...proxyHost,
		kill() {
			stop.abort();
		},
		isKilled: () => stop.signal.aborted,
		restart: async peers => startLocalHost({
			...options, peers, ports: {callers: proxyHost.callerPort, peers: Number(peerAddress.split(':').at(-1))},
		}),
	};
}
