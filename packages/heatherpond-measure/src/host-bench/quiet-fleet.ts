/**
 * A fleet of hosts in one process, on a manual clock and in-memory ports: hosts that do little themselves, while their reports
 * tell of teams and databases in use, as those of a busy fleet do. It counts what the hosts do, so that a cost that grows with
 * the fleet shows without a network.
 */
import {setImmediate as waitForImmediate} from 'node:timers/promises';
import {setMaxListeners} from 'node:events';
import {createFakeClock, type Clock, type FakeClock} from 'heatherpond-core';
import {
	createMemoryDatagrams, createMemoryLinks, createMemoryStore, startFleetHost, type Contracts, type DatabaseStatus, type FleetHost, type Upstream,
} from 'heatherpond-fleet';
import {createMessageMemory, type UpstreamConnection} from 'heatherpond-session';
import {createRandom} from '../load/random.js';

/** Sizes of the fleet. */
export type QuietFleetOptions = {
	readonly hosts: number;
	readonly domains: number;
	readonly groups: number;
	readonly teams: number;
	/** Connections that a database accepts from all hosts together. */
	readonly maxConnections: number;
	/** Opens a connection to a database; by default none can be opened. */
	readonly openConnection?: (clock: Clock, upstream: Upstream, team: string) => UpstreamConnection;
};

/** What one host has done. */
export type HostCounts = {
	/** Datagrams sent and received, and their bytes. */
	readonly datagrams: number;
	readonly bytes: number;
	readonly storeCalls: number;
	/** Timers that have fired. */
	readonly timers: number;
};

/** A running fleet. */
export type QuietFleet = {
	readonly clock: FakeClock;
	readonly hosts: readonly FleetHost[];
	readonly route: string;
	readonly team: string;
	readonly key: string;
	/** Lets time pass on all hosts. */
	readonly advance: (milliseconds: number) => Promise<void>;
	/** Reads what each host has done since the start. */
	readonly readCounts: () => readonly HostCounts[];
	readonly stop: () => void;
};

type Counts = {-readonly [Count in keyof HostCounts]: HostCounts[Count]};

const STORE_LATENCY_MS = 4;
const DATAGRAM_LATENCY_MS = 1;
const STEP_MS = 5;
/** Turns of the event loop that the promises of one step need. */
const TURNS_PER_STEP = 3;
/** Milliseconds between operations on a host, each of another team. */
const OPERATION_INTERVAL_MS = 250;
const RATE_PER_SECOND = 10_000;
const DATABASES_PER_GROUP = 3;
const CONTRACTS_TABLE = 'contracts';
const REGISTRATIONS_TABLE = 'registrations';
const ROUTE = 'route-0';
const KEY = 'key-0';

/** Starts a fleet; its hosts have not found each other yet. */
export function startQuietFleet({hosts: hostCount, domains: domainCount, groups, teams, maxConnections, openConnection}: QuietFleetOptions): QuietFleet {
	const clock = createFakeClock(1000);
	const store = createMemoryStore({clock, latencyMs: STORE_LATENCY_MS});
	const stop = new AbortController();
	setMaxListeners(0, stop.signal);
	const names = createNames('host', hostCount);
	const counts = new Map<string, Counts>(names.map(name => [name, {
		datagrams: 0, bytes: 0, storeCalls: 0, timers: 0,
	}]));
	const network = createMemoryDatagrams({
		clock, latencyMs: DATAGRAM_LATENCY_MS, recordSend({from, to, text}) {
			[from, to].map(address => counts.get(address)!).forEach(count => {
				count.datagrams++;
				count.bytes += text.length;
			});
		},
	});
	const links = createMemoryLinks(clock);
	const domains = createNames('domain', domainCount);
	const contracts = createContracts({groups, teams, maxConnections});
	store.setFaults(({caller}) => {
		counts.get(caller)!.storeCalls++;
		return undefined;
	});
	store.writeRow(CONTRACTS_TABLE, 'config', '1');
	createUpstreams(groups, domains).forEach(upstream => {
		store.writeRow(REGISTRATIONS_TABLE, upstream.id, JSON.stringify(upstream));
	});

	function startHost(name: string, index: number): FleetHost {
		const {readShare: random} = createRandom(index);
		return startFleetHost({
			identity: {
				host: name, incarnation: `${name}-1`, domain: domains[index % domainCount]!, address: name, port: 1,
			},
			clock: createCountingClock(clock, counts.get(name)!),
			memory: createMessageMemory(Number.POSITIVE_INFINITY), sessionMemory: createMessageMemory(Number.POSITIVE_INFINITY),
			suspension: {hasDrifted: () => false},
			store: store.createPort(name),
			databases: {requestStatus, requestStepDown: requestStatus},
			promotionRequests: {requestPromotion: failUnused},
			datagrams: network.createPort(name),
			links: links.createPort(name),
			seeds: createNames('host', Math.min(3, hostCount)).map(address => ({address, port: 1})),
			openConnection: async (upstream, team) => openConnection ? openConnection(clock, upstream, team) : failUnused(),
			writeEvent: () => undefined,
			recordStatement: () => undefined,
			random,
			domains,
			readRegion: domain => domain,
			revocationMs: 5000,
			evacuationMs: 5000,
			minPromotionLeaseMs: 0,
			contracts: {
				table: CONTRACTS_TABLE, key: 'config', parse: () => contracts, parseEvacuatedDomain: () => undefined,
			},
			registrations: {table: REGISTRATIONS_TABLE, parse: ({value}) => value === undefined ? undefined : JSON.parse(value) as Upstream},
			signal: stop.signal,
		});
	}

	const hosts = names.map(startHost);
	hosts.forEach((host, index) => {
		startOperations(host, index);
	});

	/** Lets a host tell of operations and statements, so that its reports are as long as those of a busy fleet. */
	function startOperations({sessions}: FleetHost, hostIndex: number): void {
		let sequence = hostIndex;
		function runOperation(): void {
			if (stop.signal.aborted) {
				return;
			}

			sequence++;
			void sessions.admission.admit(`team-${sequence % teams}`);
			const group = sequence % groups;
			sessions.positions.recordPrimaryPosition(`group-${group}`, 1, {term: 1, position: BigInt(sequence)}, clock.readNow());
			const endWork = sessions.upstreams.registerWork(`group-${group}-db-${sequence % DATABASES_PER_GROUP}`);
			clock.registerTimer(clock.readNow() + OPERATION_INTERVAL_MS, () => {
				endWork();
				runOperation();
			});
		}

		clock.registerTimer(clock.readNow() + (hostIndex % OPERATION_INTERVAL_MS), runOperation);
	}

	return {
		clock, hosts, route: ROUTE, team: 'team-0', key: KEY,
		async advance(milliseconds) {
			const end = clock.readNow() + milliseconds;
			while (clock.readNow() < end) {
				clock.advanceTo(Math.min(end, clock.readNow() + STEP_MS));
				await runPendingPromises();
			}
		},
		readCounts: () => [...counts.values()].map(count => ({...count})),
		stop() {
			stop.abort();
		},
	};
}

/** Runs the callbacks of promises that depend on neither timers nor I/O. */
export async function runPendingPromises(): Promise<void> {
	for (const _ of Array.from({length: TURNS_PER_STEP})) {
		await waitForImmediate();
	}
}

function createNames(prefix: string, count: number): readonly string[] {
	return Array.from({length: count}, (_, index) => `${prefix}-${index}`);
}

async function failUnused(): Promise<never> {
	throw new Error('the fleet has no such port');
}

async function requestStatus({claimsPrimary}: Upstream): Promise<DatabaseStatus> {
	return {isPrimary: claimsPrimary, term: 1, point: {term: 1, position: 1n}};
}

/** Counts the timers that fire on one host. */
function createCountingClock(clock: Clock, counts: Counts): Clock {
	return {
		readNow: clock.readNow,
		registerTimer: (deadline, callback) => clock.registerTimer(deadline, () => {
			counts.timers++;
			callback();
		}),
	};
}

function createContracts({groups, teams, maxConnections}: Pick<QuietFleetOptions, 'groups' | 'teams' | 'maxConnections'>): Contracts {
	const names = createNames('group', groups);
	return {
		version: 1,
		routes: new Map([[ROUTE, {
			database: ROUTE, group: names[0]!, consistency: 'bounded_staleness', maxStalenessMs: 1500, timeoutMs: 1000, targetLatencyMs: 800, priority: 1, isOpen: false,
		}]]),
		groups: new Map(names.map(group => [group, {group, maxConnections}])),
		teams: new Map(createNames('team', teams).map(team => [team, {team, ratePerSecond: RATE_PER_SECOND, burst: RATE_PER_SECOND}])),
		teamsByKey: new Map([[KEY, 'team-0']]),
		idleTransactionMs: 3000,
	};
}

function createUpstreams(groups: number, domains: readonly string[]): readonly Upstream[] {
	return createNames('group', groups).flatMap(group => Array.from({length: DATABASES_PER_GROUP}, (_, index) => ({
		id: `${group}-db-${index}`, group, host: `${group}-db-${index}`, port: 1, domain: domains[index % domains.length]!, capacity: 4, isLeaving: false, claimsPrimary: index === 0, isWarmingUp: false, startedAt: 0,
	})));
}
