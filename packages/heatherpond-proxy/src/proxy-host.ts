/** Entry host: opens the ports and starts all components in order. */
import {randomUUID} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import {Server, type Interceptor, type ServerCredentials} from '@grpc/grpc-js';
import {AdminService, TimelineService} from 'heatherpond-admin';
import {parseAddress, type ProxySettings} from 'heatherpond-config';
import {
	createHostBlackboard, type Clock, type Deadline, type HostBlackboard, type HostIdentity, type PeerPort, type PromotionPort,
} from 'heatherpond-core';
import type {Logger} from 'heatherpond-observe';
import {
	createPeerServerCredentials, createTimeInterceptor, createTimeServerInterceptor, openPeerClient, openPromotionPort, type PeerTls,
} from 'heatherpond-peer';
import {openPlatform} from 'heatherpond-changelog';
import {createUpstreamControl, startClassifier} from 'heatherpond-postgres';
import {createAdminService} from './admin-service.js';
import {startGroupAdopter} from './controllers/group-adopter.js';
import {sendDepartureReport, removeOwnRegistration} from './controllers/host-registration.js';
import {startSnapshotWriter} from './controllers/snapshots.js';
import {createMeasuredDatabaseGate, createMeasuredRequestGate, type MeasuredGateOptions} from './gates/measured-gates.js';
import {createRequestSwitchover} from './operator-switchover.js';
import {readPeerTls} from './peer-tls.js';
import {ProxyError} from './proxy-error.js';
import {createLoggingPlatform} from './logging-platform.js';
import {createTimelineService} from './timeline-service.js';
import type {HostContext, SharingMode} from './wiring/host-context.js';
import {startPeerService, VIEW_TEXT} from './wiring/start-peers.js';
import {startClientSessions} from './wiring/start-client-sessions.js';
import {startLimits, type Limits} from './wiring/start-limits.js';
import {startMetrics} from './wiring/start-metrics.js';
import {startMembership} from './wiring/start-membership.js';
import {startObservation} from './wiring/start-observation.js';
import {startPrimacy, type Primacy} from './wiring/start-primacy.js';

/** Options of an entry host. */
export type ProxyHostOptions = {
	readonly settings: ProxySettings;
	readonly clock: Clock;
	readonly logger: Logger;
	/** How rates are shared among hosts. Default: `ledger`. */
	readonly sharing?: SharingMode;
	/** Wraps the port to the peers, for fault injection in tests. */
	readonly wrapPeers?: (peers: PeerPort) => PeerPort;
	/** Wraps the port for promotion requests to other hosts, for fault injection in tests. */
	readonly wrapPromotions?: (promotions: PromotionPort) => PromotionPort;
	/** Stops the host immediately. */
	readonly signal: AbortSignal;
};

/** A running host. */
export type ProxyHost = {
	readonly identity: HostIdentity;
	readonly blackboard: HostBlackboard;
	/** Port for client connections. */
	readonly callerPort: number;
	/** Port of the metrics endpoint; absent if the settings contain no metrics address. */
	readonly metricsPort?: number;
	/**
	 * Shuts down gracefully: new clients are refused, and running requests and transactions may complete until the
	 * deadline. Whatever remains ends with the signal that the host was started with.
	 */
	readonly drain: (deadline: Deadline) => Promise<void>;
};

/** Starts a host. It serves clients as soon as it has a view and is registered in the log. */
export async function startProxyHost(options: ProxyHostOptions): Promise<ProxyHost> {
	await startClassifier();
	const context = await createHostContext(options);
	const {identity, blackboard, logger} = context;
	const parts: {primacy?: Primacy} = {};
	const requestSwitchover = createRequestSwitchover(blackboard, () => parts.primacy?.startSwitchover);
	context.server.addService(AdminService, createAdminService({...context, operatorTokenHash: options.settings.operatorTokenHash, requestSwitchover}));
	startSnapshotWriter(context);
	const limits = startLimits(context);
	startPeerService(context, limits);
	await startMembership(context);
	await limits.waitForShares();
	const primacy = startPrimacy(context);
	parts.primacy = primacy;
	startGroupAdopter(context);
	const {metrics, port: metricsPort} = await startMetrics(context);
	context.server.addService(TimelineService, createTimelineService({
		host: identity.host, events: context.events, metrics, operatorTokenHash: options.settings.operatorTokenHash,
	}));
	const callers = await startClientSessions(context, createMeasuredLimits(limits, {metrics, clock: context.clock}), primacy.gate);
	blackboard.update(state => ({...state, phase: 'serving'}));
	logger.info('serving', {
		callerPort: callers.port, metricsPort, peerAddress: identity.peerAddress, incarnation: identity.incarnation,
	});
	return {
		identity,
		blackboard,
		callerPort: callers.port,
		metricsPort,
		async drain(deadline) {
			blackboard.update(state => ({...state, phase: 'draining'}));
			logger.info('draining', {callers: callers.countConnections()});
			await Promise.all([sendDepartureReport(context), callers.drain(deadline)]);
			await limits.releaseAllotments();
			await removeOwnRegistration(context);
			blackboard.update(state => ({...state, phase: 'stopped'}));
			logger.info('stopped', {});
		},
	};
}

function createMeasuredLimits(limits: Limits, options: MeasuredGateOptions): Limits {
	return {...limits, requestGate: createMeasuredRequestGate(limits.requestGate, options), databaseGate: createMeasuredDatabaseGate(limits.databaseGate, options)};
}

async function createHostContext(options: ProxyHostOptions): Promise<HostContext> {
	const {settings, clock, logger, signal} = options;
	setMaxListeners(0, signal);
	const tls = await readPeerTls(settings.peerTls);
	const observation = startObservation(logger, settings.host);
	const interceptors = [createTimeInterceptor(observation.times)];
	const server = new Server({interceptors: [createTimeServerInterceptor(observation.times)]});
	signal.addEventListener('abort', () => {
		server.forceShutdown();
	}, {once: true});
	const port = await openPeerPort(server, settings.peerListen, createPeerServerCredentials(tls));
	const identity: HostIdentity = {
		host: settings.host,
		incarnation: randomUUID(),
		domain: settings.domain,
		deployment: settings.deployment,
		peerAddress: `${parseAddress(settings.peerListen).address}:${port}`,
	};
	return {
		settings,
		sharing: options.sharing ?? 'ledger',
		clock,
		logger,
		recordEvent: observation.events.recordEvent,
		events: observation.events,
		identity,
		blackboard: createHostBlackboard(identity),
		platform: createLoggingPlatform(openPlatform({
			address: settings.platform, domain: settings.domain, clock, signal,
		}), logger),
		peers: createPeers(options, {tls, interceptors}),
		promotions: createPromotions(options, {tls, interceptors}),
		upstream: createUpstreamControl({
			credentials: settings.control, applicationName: `${settings.domain}/${settings.host}`, clock, signal,
		}),
		server,
		signal,
	};
}

/** Options of all gRPC calls to other hosts. */
type HostCalls = {readonly tls?: PeerTls; readonly interceptors: readonly Interceptor[]};

function createPeers({settings, clock, signal, wrapPeers}: ProxyHostOptions, calls: HostCalls): PeerPort {
	const peers = openPeerClient({
		deployment: settings.deployment, clock, viewCodec: VIEW_TEXT, ...calls, signal,
	});
	return wrapPeers ? wrapPeers(peers) : peers;
}

function createPromotions({settings, clock, signal, wrapPromotions}: ProxyHostOptions, calls: HostCalls): PromotionPort {
	const promotions = openPromotionPort({
		deployment: settings.deployment, clock, ...calls, signal,
	});
	return wrapPromotions ? wrapPromotions(promotions) : promotions;
}

async function openPeerPort(server: Server, listen: string, credentials: ServerCredentials): Promise<number> {
	return new Promise<number>((resolve, reject) => {
		server.bindAsync(listen, credentials, (error, port) => {
			if (error) {
				reject(new ProxyError(`cannot listen on ${listen}`, {cause: error}));
			} else {
				resolve(port);
			}
		});
	});
}
