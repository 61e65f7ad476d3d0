/** Follows the tables of the store that a host knows the fleet by, and applies their news to the blackboard. */
import {applyFleetNews} from './apply-fleet-news.js';
import {applyUpstreamNews, EMPTY_UPSTREAM_VIEW, removeMissing} from './apply-upstream-news.js';
import type {FindReader} from './domain-reader.js';
import type {FleetHostOptions} from './fleet-host.js';
import {FLEET_TABLE} from './fleet-records.js';
import {applySuspension, type FleetBlackboard} from './fleet-state.js';
import type {StorePort} from './store-port.js';
import type {TableCache} from './table-cache.js';
import {startTableFollower, type TableFollower, type TableNews} from './table-follower.js';

/** A host whose tables are followed. */
export type FollowedHost = FleetHostOptions & {
	readonly blackboard: FleetBlackboard;
	readonly followers: TableFollower[];
	/** What this host can tell others of its failure domain. */
	readonly cache: TableCache;
	/** Finds the host of the failure domain that reads the store; nothing when this one does. */
	readonly findReader: FindReader;
	/** The store, or the host of the failure domain that reads it. */
	readonly domainStore: StorePort;
};

/**
 * Milliseconds between two questions about a table: of the host that reads the store for its failure domain, and of those
 * that ask that host. Together with the timeout of a call they keep every bound.
 */
const STORE_INTERVAL_MS = 1500;
const MATE_INTERVAL_MS = 800;
/** Milliseconds between two questions as long as a host knows too little to serve. */
const STARTING_INTERVAL_MS = 700;
/** Milliseconds between two questions while a promotion is under way. */
const PROMOTION_INTERVAL_MS = 200;

/** Follows the contracts, the registrations and the fleet's own table; returns the follower of the last. */
export function startFollowers(host: FollowedHost): TableFollower {
	const {contracts, registrations} = host;
	startFollower(host, {
		table: contracts.table, readIntervalMs: () => host.blackboard.read().contracts ? readInterval(host) : STARTING_INTERVAL_MS, applyNews(news) {
			applyContracts(host, news);
		},
	});
	let view = EMPTY_UPSTREAM_VIEW;
	startFollower(host, {
		table: registrations.table, readIntervalMs: () => host.blackboard.read().primacies.size > 0 ? readInterval(host) : STARTING_INTERVAL_MS, applyNews(news) {
			view = removeMissing(applyUpstreamNews(view, news, registrations.parse), news.answeredAt);
			host.blackboard.update(state => ({...state, upstreams: view.upstreams, upstreamsVerifiedAt: news.askedAt}));
		},
	});
	return startFollower(host, {
		table: FLEET_TABLE, readIntervalMs: () => readFleetInterval(host), applyNews(news) {
			host.blackboard.update(state => applyFleetNews(state, news));
		},
	});
}

function readInterval({findReader}: FollowedHost): number {
	return findReader() ? MATE_INTERVAL_MS : STORE_INTERVAL_MS;
}

function readFleetInterval(host: FollowedHost): number {
	const {primacies} = host.blackboard.read();
	if (primacies.size === 0) {
		return STARTING_INTERVAL_MS;
	}

	return [...primacies.values()].some(({record}) => record.promotion) ? PROMOTION_INTERVAL_MS : readInterval(host);
}

type FollowedTable = {readonly table: string; readonly readIntervalMs: () => number; readonly applyNews: (news: TableNews) => void};

function startFollower(host: FollowedHost, {table, readIntervalMs, applyNews}: FollowedTable): TableFollower {
	const {domainStore, cache, clock, random, signal, writeEvent, followers} = host;
	let isLost = false;
	const follower = startTableFollower({
		store: domainStore, clock, table, readIntervalMs, random, signal,
		applyNews(news) {
			checkSuspension(host);
			cache.applyNews(table, news);
			if (isLost) {
				isLost = false;
				writeEvent('table_regained', {table, version: news.page.version});
			}

			applyNews(news);
		},
		handleFailure(reason) {
			if (!isLost) {
				isLost = true;
				writeEvent('table_lost', {table, reason});
			}
		},
	});
	followers.push(follower);
	return follower;
}

function applyContracts({blackboard, contracts, writeEvent}: FollowedHost, {page, askedAt}: TableNews): void {
	const row = page.rows.findLast(({key, value}) => key === contracts.key && value !== undefined);
	const parsed = row && contracts.parse(row.value!);
	if (row && !parsed) {
		writeEvent('contracts_unreadable', {row_version: row.version});
	}

	blackboard.update(state => {
		const isNewer = parsed !== undefined && parsed.version > (state.contracts?.version ?? Number.NEGATIVE_INFINITY);
		if (isNewer) {
			writeEvent('contracts_in_force', {version: parsed.version, routes: parsed.routes.size, teams: parsed.teams.size});
		}

		return {...state, contracts: isNewer ? parsed : state.contracts, contractsVerifiedAt: Math.max(state.contractsVerifiedAt, askedAt)};
	});
}

/** What was verified before a suspension proves nothing: the monotonic clock has not counted it. */
export function checkSuspension({suspension, blackboard, cache, followers, writeEvent}: FollowedHost): void {
	if (suspension.hasDrifted()) {
		writeEvent('clock_drift', {});
		blackboard.update(applySuspension);
		cache.clear();
		followers.forEach(follower => {
			follower.refresh();
		});
	}
}
