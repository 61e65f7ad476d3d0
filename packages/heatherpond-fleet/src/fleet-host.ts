/** Assembles the components of a host on top of its ports, and controls when it accepts clients and how it shuts down. */
import {createBlackboard, startLoop, type Deadline} from 'heatherpond-core';
import {createPositionTracker, type RequestBudget, type SessionServices} from 'heatherpond-session';
import {decideAccess} from './access-decision.js';
import {findColdLimit, formatColdSubject, isCold} from './cold-databases.js';
import {createDomainStore} from './domain-leader.js';
import {startEvacuationRecords} from './evacuation-records.js';
import {startPromotionConfirmations} from './confirm-promotions.js';
import {checkSuspension, startFollowers, type HostContext} from './fleet-followers.js';
import {FLEET_TABLE, type HostRecord} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import {
	applySuspension, EMPTY_FLEET_STATE, type FleetBlackboard, type FleetState,
} from './fleet-state.js';
import {createHostFigures, type HostFigure} from './host-figures.js';
import {createMessageHandlers} from './fleet-message-handlers.js';
import {isRegistrationExpired, isReady, isHealthy} from './host-readiness.js';
import {startHostDiscovery} from './host-discovery.js';
import type {HostContact} from './host-message.js';
import {createHostMessages} from './host-messages.js';
import {startHostRegistration, type HostRegistration} from './host-registration.js';
import {removeRegistration} from './registration-removal.js';
import {createPermittedPlaces} from './permitted-places.js';
import {findPrimary, isProven, isReplaced} from './primacy.js';
import {createPrimaryFailureDetector} from './primary-failure-detector.js';
import {createPrimaryWork} from './primary-work.js';
import {startPromotionController} from './promotion-controller.js';
import {startCommitHolderRecords} from './record-commit-holders.js';
import {createRelayClient} from './relay-client.js';
import {createPositionRequests} from './position-requests.js';
import {findNextPoll, PEER_POLL_INTERVAL_MS} from './poll-schedule.js';
import {startRelayServer} from './relay-server.js';
import {isOutdated} from './store-restore.js';
import {createTableCache} from './table-cache.js';
import {createTeamLimits} from './team-limits.js';
import {createUpstreamDirectory, type UpstreamDirectory} from './upstream-directory.js';
import {startUsageExchange, type UsageExchange} from './usage-exchange.js';
import {waitForState} from './wait-for-state.js';
import type {FleetHostOptions} from './fleet-host-options.js';

/** A running host. */
export type FleetHost = {
	readonly sessions: SessionServices;
	readonly blackboard: FleetBlackboard;
	/** Values that are exported as metrics. */
	readonly figures: readonly HostFigure[];
	/** Returns whether new clients should be routed to this host. */
	readonly isReady: () => boolean;
	/** Waits until the contracts have been read, at most until the deadline. */
	readonly waitForContracts: (deadline: Deadline) => Promise<void>;
	/** Waits until a host that has just started is registered and can use primaries, at most until the deadline; returns at once when the start is over. */
	readonly waitForStart: (deadline: Deadline) => Promise<void>;
	/**
	 * Starts the shutdown: the host accepts no new clients, no longer refreshes its registration, and refuses the statements that
	 * it cannot run before `workEndsAt`.
	 */
	readonly startShutdown: (workEndsAt: Deadline) => void;
	/** Closes all connections, announces the departure to the other hosts and removes the registration. */
	readonly leave: () => Promise<void>;
};

/** Milliseconds within which a connection to a database must be established. */
const CONNECT_TIMEOUT_MS = 500;
/** Milliseconds until a host learns of a change of the operator's rows: polls of up to three hosts in a row, and one lost request. */
const MAX_LEARNING_MS = 3500;
/** Milliseconds after the start of a host for which clients wait for its registration, which usually follows within a few round trips. */
const START_MS = 2000;
/** Idle timeout of a transaction in milliseconds before the contracts have been read. */
const DEFAULT_IDLE_TRANSACTION_MS = 3000;

/** Starts a host, which runs until the signal aborts. */
export function startFleetHost(options: FleetHostOptions): FleetHost {
	const {clock, signal, writeEvent, random, identity, readRegion} = options;
	const blackboard = createBlackboard<FleetState>(EMPTY_FLEET_STATE);
	const startedAt = clock.readNow();
	const pollPhase = startedAt + (random() * PEER_POLL_INTERVAL_MS);
	const usage: {exchange?: UsageExchange} = {};
	const registrations: {current?: HostRegistration} = {};
	const messages = createHostMessages({
		blackboard, clock, identity, writeEvent,
	}, options.datagrams);
	function findDomainLeader(): HostContact | undefined {
		return usage.exchange?.findDomainLeader();
	}

	const discovery = startHostDiscovery({
		clock, identity, seeds: options.seeds, signal,
		sendIntroduction: messages.sendIntroduction,
		hasLeader: () => findDomainLeader() !== undefined,
		findLeaderOf: domain => usage.exchange?.findLeaderOf(domain),
		readHosts: messages.readPeers,
	});
	const domainStore = createDomainStore({
		store: options.store, clock, domain: identity.domain, findDomainLeader, requestChanges: messages.requestChanges,
		readOtherLeaders: () => usage.exchange?.readVerifiedLeaders() ?? [], signal,
		isOutdated: version => isOutdated(blackboard.read(), version),
		isStoreRequired(table) {
			// A lease starts with a verification after the registration; the page of the leader is usually older than that.
			const {registeredAt, primacyVerifiedAt} = blackboard.read();
			return table === FLEET_TABLE && Number.isFinite(registeredAt) && primacyVerifiedAt < registeredAt;
		},
	});
	const host: HostContext = {
		...options, blackboard, pollPhase, followers: [], cache: createTableCache(), findDomainLeader, domainStore, waitUntilDiscovered: discovery.waitUntilDone,
	};
	const fleet = startFollowers(host);
	const services: FleetServices = {
		...options, blackboard, readState,
		sendPrimacy: messages.sendPrimacy,
		sendSuspicion(suspicion, isSuspected) {
			messages.sendSuspicion(suspicion, isSuspected, usage.exchange!.readLeaders());
		},
		refreshFleet() {
			fleet.refresh();
		},
	};
	const work = createPrimaryWork(clock);
	const positions = createPositionTracker();
	const requestPosition = createPositionRequests({...services, positions});
	const suspicion = createPrimaryFailureDetector(services, signal);
	const limits = createTeamLimits({
		findOtherLimit: subject => findColdLimit(blackboard.read(), subject),
		clock, blackboard, writeEvent, signal, requestGrant: messages.requestGrant, requestTransfer: messages.requestTransfer, findDomainLeader,
		readOtherLeaders: team => usage.exchange!.readOtherLeaders(team),
		readUsage: team => usage.exchange!.readTeam(team),
	});
	const ownRecord: HostRecord = {...identity, refreshedAt: 0};
	const relays = createRelayClient({clock, links: options.links, writeEvent});
	const places = createPermittedPlaces({
		clock, blackboard, domain: identity.domain, readRegion, evacuationGraceMs: Math.max(0, options.evacuationMs - MAX_LEARNING_MS),
	});
	const upstreams = createUpstreamDirectory({
		clock, blackboard, positions, places, domain: identity.domain, random, readRegion, writeEvent,
		open: async (upstream, team) => options.openConnection(upstream, team, clock.readNow() + CONNECT_TIMEOUT_MS),
		handleFailure: suspicion.applyFailure,
		relays,
		readHosts: () => [ownRecord, ...messages.readPeers()],
		readRemoteUsage: database => ({
			statements: usage.exchange?.countRemoteStatements(database) ?? 0,
			connections: usage.exchange?.countRemoteConnections(database) ?? 0,
		}),
	});
	const relayServer = startRelayServer({
		clock, writeEvent, links: options.links, memory: options.memory, random, acquire: upstreams.acquireOwn, recordFailure: upstreams.recordFailure,
		isReplaced: primary => isReplaced(readState(), primary),
		isStopping: () => blackboard.read().isStopping,
		readClockValidFrom: () => readState().clockValidFrom,
	});
	usage.exchange = startUsageExchange({
		services, messages, domains: options.domains, pollPhase, positions, signal, isDiscovering: () => !discovery.isDone(),
		handleNewPeer() {
			registrations.current?.registerNewPeers();
		},
		recordReported: limits.recordReported,
		readHostUsage: () => ({isVerified: isHealthy(readState(), clock.readNow()), teams: limits.readUsage(), databases: upstreams.readUsage()}),
	});
	registrations.current = startHostRegistration({
		services, findDomainLeader, waitUntilDiscovered: discovery.waitUntilDone, pollPhase, readReceivedReports: usage.exchange.readReceivedReports, findSentAt: usage.exchange.findSentAt, sendRegistered: messages.sendRegistered, signal,
	});
	messages.registerHandlers(createMessageHandlers({
		host, limits, registration: registrations.current, exchange: usage.exchange, discovery,
	}));
	startPromotionConfirmations({...services, work, requestConfirmation: messages.requestConfirmation}, signal);
	startPromotionController({
		services, minPromotionLeaseMs: options.minPromotionLeaseMs, isPreferred: () => findDomainLeader() === undefined, pollPhase, signal,
	});
	startEvacuationRecords({
		services, isPreferred: () => findDomainLeader() === undefined, pollPhase, signal,
	});
	startCommitHolderRecords({
		services, isPreferred: () => findDomainLeader() === undefined, pollPhase, signal,
	});
	startMaintenance(host, upstreams);

	function readState(): FleetState {
		checkSuspension(host);
		return blackboard.read();
	}

	function findBudget(database: string): RequestBudget | undefined {
		const state = blackboard.read();
		const upstream = state.upstreams.get(database);
		return upstream && isCold(state, upstream, clock.readNow()) ? async () => limits.admit(formatColdSubject(database)) : undefined;
	}

	function isHostReady(): boolean {
		const state = readState();
		const now = clock.readNow();
		return isReady(state, options.revocationMs, now) && (isHealthy(state, now) || !usage.exchange!.isVerifiedElsewhere());
	}

	return {
		blackboard,
		sessions: {
			clock, positions, writeEvent, upstreams: {...upstreams, findBudget}, random, recordStatement: options.recordStatement, memory: options.sessionMemory,
			access: {
				decideAccess(database, key) {
					const state = readState();
					const now = clock.readNow();
					const access = decideAccess(state, {database, key}, options.revocationMs, now);
					const isUnverified = access.kind === 'refuse' && access.reason === 'unverified';
					const isVerifiedByPeer = (isUnverified || isRegistrationExpired(state, now)) && state.contracts !== undefined && usage.exchange!.isVerifiedElsewhere();
					return isVerifiedByPeer ? {kind: 'refuse', reason: 'unverified_here'} : access;
				},
			},
			primacy: {
				findPrimary: group => findPrimary(readState(), group, clock.readNow()),
				isConfirmed: primary => isProven(readState(), primary, clock.readNow()),
				isReplaced: primary => isReplaced(readState(), primary),
				readTerm: group => blackboard.read().primacies.get(group)?.record.term,
				async waitForChange(deadline, waitSignal) {
					const before = blackboard.read();
					await waitForState({blackboard, clock}, state => state.leaseVerifiedAt !== before.leaseVerifiedAt || state.primacies !== before.primacies, deadline, waitSignal);
				},
				registerWork: work.register,
				requestPosition,
			},
			admission: limits,
			readIdleTransactionMs: () => blackboard.read().contracts?.idleTransactionMs ?? DEFAULT_IDLE_TRANSACTION_MS,
		},
		figures: createHostFigures({
			clock, blackboard, upstreams, isReady: isHostReady,
		}),
		isReady: isHostReady,
		async waitForContracts(deadline) {
			await waitForState({blackboard, clock}, state => state.contracts !== undefined && Number.isFinite(state.contractsVerifiedAt), deadline, signal);
		},
		async waitForStart(deadline) {
			if (clock.readNow() < startedAt + START_MS) {
				await waitForState({blackboard, clock}, state => state.arePeersKnown && !isRegistrationExpired(state, clock.readNow()), Math.min(deadline, startedAt + START_MS), signal);
			}
		},
		startShutdown(workEndsAt) {
			blackboard.update(state => ({...state, isStopping: true, workEndsAt}));
			relayServer.startShutdown();
			upstreams.refuseUnservable();
		},
		async leave() {
			blackboard.update(state => applySuspension(state, clock.readNow()));
			relays.destroy();
			upstreams.destroy();
			usage.exchange!.sendDeparture();
			await removeRegistration(services);
		},
	};
}

/** Checks for a suspension and refreshes the connection pools, with the polls of the host. */
function startMaintenance(host: HostContext, upstreams: UpstreamDirectory): void {
	const {clock, pollPhase, signal} = host;
	startLoop(clock, async () => {
		checkSuspension(host);
		upstreams.refresh();
		return findNextPoll(clock.readNow(), PEER_POLL_INTERVAL_MS, pollPhase);
	}, signal);
}
