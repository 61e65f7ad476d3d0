/** Follows the contract, registration and fleet tables of the store, and applies their updates to the fleet state. */
import type {Instant, Teardown} from 'heatherpond-core';
import {applyFleetUpdate} from './apply-fleet-update.js';
import {applyUpstreamUpdate, EMPTY_UPSTREAM_VIEW, removeExpiredUpstreams} from './apply-upstream-update.js';
import {applyEvacuations, applyEvacuationUpdate, isSameEvacuations} from './evacuations.js';
import type {FindDomainLeader} from './domain-leader.js';
import type {FleetHostOptions} from './fleet-host-options.js';
import {FLEET_TABLE} from './fleet-records.js';
import {applySuspension, type FleetBlackboard, type FleetState} from './fleet-state.js';
import type {StorePort} from './store-port.js';
import {applyStoreEra, CONTRACTS_SETTLE_MS, isOutdated} from './store-restore.js';
import {readEra} from './store-version.js';
import type {TableCache} from './table-cache.js';
import {PEER_POLL_INTERVAL_MS} from './poll-schedule.js';
import {startTableFollower, type TableFollower, type TableUpdate} from './table-follower.js';
import type {Upstream} from './upstream.js';

/** Options and shared state of a host whose tables are followed. */
export type HostContext = FleetHostOptions & {
	readonly blackboard: FleetBlackboard;
	readonly followers: TableFollower[];
	/** An instant of the schedule of this host's polls. */
	readonly pollPhase: Instant;
	/** Rows from which this host responds to requests of its domain peers. */
	readonly cache: TableCache;
	/** Finds the domain leader; nothing when this host is the leader. */
	readonly findDomainLeader: FindDomainLeader;
	/** Reads the store, through the domain leader where possible. */
	readonly domainStore: StorePort;
	/** Resolves when this host has found its domain leader or given up; until then the tables are not read. */
	readonly waitUntilDiscovered: () => Promise<void>;
};

/**
 * Milliseconds between requests of a domain leader, to the store or to the leader that reads it. Together with the request
 * timeout, the poll intervals keep verifications recent enough for leases and for the revocation of keys.
 */
const LEADER_POLL_INTERVAL_MS = 800;
/** Milliseconds between requests while a host does not know enough yet to accept clients. */
const STARTUP_POLL_INTERVAL_MS = 700;
/** Milliseconds between requests of a domain leader while a promotion is in progress; the others learn of its steps from messages. */
const PROMOTION_POLL_INTERVAL_MS = 200;

/** Starts the followers of the contract, registration and fleet tables; returns that of the fleet table. */
export function startFollowers(host: HostContext): TableFollower {
	const {contracts, registrations} = host;
	startFollower(host, {
		table: contracts.table, readIntervalMs: () => host.blackboard.read().contracts ? readPollInterval(host) : STARTUP_POLL_INTERVAL_MS, applyUpdate(update) {
			updateEvacuations(host, update);
			applyContracts(host, update);
		},
	});
	let view = EMPTY_UPSTREAM_VIEW;
	startFollower(host, {
		table: registrations.table, readIntervalMs: () => host.blackboard.read().primacies.size > 0 ? readPollInterval(host) : STARTUP_POLL_INTERVAL_MS, applyUpdate(update) {
			view = removeExpiredUpstreams(applyUpstreamUpdate(view, update, registrations.parse), update.receivedAt);
			host.blackboard.update(state => applyRegistrations(state, view.upstreams, update.requestedAt));
		},
	});
	const fleet = startFollower(host, {
		table: FLEET_TABLE, readIntervalMs: () => readFleetPollInterval(host), applyUpdate(update) {
			host.blackboard.update(state => applyFleetUpdate(state, update));
		},
	});
	host.signal.addEventListener('abort', registerPromotionEndListener(host.blackboard, fleet.refresh), {once: true});
	return fleet;
}

/** Calls the listener when a promotion has ended: the lease of the new primary starts with the next response of the store. */
function registerPromotionEndListener(blackboard: FleetBlackboard, listener: () => void): Teardown {
	let before = 0;
	return blackboard.registerListener(countPromotions, count => {
		if (count < before) {
			listener();
		}

		before = count;
	});
}

function countPromotions({primacies}: FleetState): number {
	return [...primacies.values()].filter(({record}) => record.promotion).length;
}

function readPollInterval({findDomainLeader}: HostContext): number {
	return findDomainLeader() ? PEER_POLL_INTERVAL_MS : LEADER_POLL_INTERVAL_MS;
}

function readFleetPollInterval(host: HostContext): number {
	const state = host.blackboard.read();
	if (state.primacies.size === 0) {
		return STARTUP_POLL_INTERVAL_MS;
	}

	return countPromotions(state) > 0 && !host.findDomainLeader() ? PROMOTION_POLL_INTERVAL_MS : readPollInterval(host);
}

type FollowedTable = {readonly table: string; readonly readIntervalMs: () => number; readonly applyUpdate: (update: TableUpdate) => void};

function startFollower(host: HostContext, {table, readIntervalMs, applyUpdate}: FollowedTable): TableFollower {
	const {domainStore, cache, clock, random, signal, writeEvent, followers, waitUntilDiscovered, pollPhase} = host;
	let isFailing = false;
	const follower = startTableFollower({
		store: domainStore, clock, table, readIntervalMs, random, phase: pollPhase, signal, waitUntilStart: waitUntilDiscovered,
		applyUpdate(update) {
			// The request may have been sent before the suspension, so its response proves nothing.
			if (checkSuspension(host) || !checkStoreEra(host, update.page.version)) {
				return;
			}

			cache.applyUpdate(table, update);
			if (isFailing) {
				isFailing = false;
				writeEvent('table_regained', {table, version: update.page.version});
				followers.filter(other => other !== follower).forEach(other => {
					other.restart();
				});
			}

			applyUpdate(update);
		},
		handleFailure(reason) {
			if (!isFailing) {
				isFailing = true;
				writeEvent('table_lost', {table, reason});
			}
		},
	});
	followers.push(follower);
	return follower;
}

function applyRegistrations(state: FleetState, registrations: ReadonlyMap<string, Upstream>, verifiedAt: Instant): FleetState {
	return {
		...state, registrations, upstreamsVerifiedAt: verifiedAt,
		upstreams: registrations === state.registrations ? state.upstreams : applyEvacuations(registrations, state.evacuations),
	};
}

function updateEvacuations({blackboard, contracts, writeEvent}: HostContext, update: TableUpdate): void {
	const {evacuations: before, registrations, restoredAt} = blackboard.read();
	const evacuations = applyEvacuationUpdate(before, update, contracts.parseEvacuatedDomain, restoredAt);
	if (isSameEvacuations(before, evacuations)) {
		blackboard.update(state => ({...state, evacuations}));
		return;
	}

	writeEvent('evacuations_changed', {evacuated: [...evacuations.keys()].join(','), before: [...before.keys()].join(','), row_version: update.page.version});
	const ended = [...before.keys()].filter(domain => !evacuations.has(domain)).map(domain => [domain, update.receivedAt] as const);
	blackboard.update(state => ({
		...state, evacuations, evacuationEnds: new Map([...state.evacuationEnds, ...ended]), upstreams: applyEvacuations(registrations, evacuations),
	}));
}

function applyContracts({blackboard, contracts, writeEvent}: HostContext, {page, requestedAt}: TableUpdate): void {
	const row = page.rows.findLast(({key, value}) => key === contracts.key && value !== undefined);
	const parsed = row && contracts.parse(row.value!);
	if (row && !parsed) {
		writeEvent('contracts_unreadable', {row_version: row.version});
	}

	blackboard.update(state => {
		const isNewer = parsed !== undefined && parsed.version > (state.contracts?.version ?? Number.NEGATIVE_INFINITY);
		if (isNewer) {
			writeEvent('contracts_in_force', {
				version: parsed.version, routes: parsed.routes.size, teams: parsed.teams.size, unsendable: parsed.unsendableNames?.size,
			});
		}

		// After a restore, the row may be an old one until the operator has written it again.
		const isSettled = requestedAt >= state.restoredAt + CONTRACTS_SETTLE_MS;
		return {...state, contracts: isNewer ? parsed : state.contracts, contractsVerifiedAt: isSettled ? Math.max(state.contractsVerifiedAt, requestedAt) : state.contractsVerifiedAt};
	});
}

/**
 * Applies the era of a response or message of another host. Returns whether its content may be used; content of an earlier
 * era may not.
 */
export function checkStoreEra({blackboard, clock, cache, followers, writeEvent}: Pick<HostContext, 'blackboard' | 'clock' | 'cache' | 'followers' | 'writeEvent'>, version: number): boolean {
	const before = blackboard.read().storeEra;
	const era = readEra(version);
	if (isOutdated(blackboard.read(), version)) {
		return false;
	}

	blackboard.update(state => applyStoreEra(state, era, clock.readNow()));
	if (before !== undefined && era > before) {
		writeEvent('store_restored', {era, previous: before, retained: [...blackboard.read().retainedPrimaries.keys()].join(',')});
		cache.clear();
		followers.forEach(follower => {
			follower.readAnew();
		});
	}

	return true;
}

/**
 * Invalidates all verifications after the machine was suspended, because the monotonic clock does not advance during a
 * suspension and the age of earlier verifications is therefore unknown. Returns whether it was.
 */
export function checkSuspension({suspension, blackboard, clock, cache, followers, writeEvent}: HostContext): boolean {
	const hasDrifted = suspension.hasDrifted();
	if (hasDrifted) {
		writeEvent('clock_drift', {});
		blackboard.update(state => applySuspension(state, clock.readNow()));
		cache.expire();
		followers.forEach(follower => {
			follower.stopRequest();
		});
	}

	return hasDrifted;
}
