/** Test fixture: several hosts with one in-memory store and one group of fake databases that only have a status. */
import {setMaxListeners} from 'node:events';
import {createFakeClock, type Clock, type FakeClock} from 'heatherpond-core';
import {createMessageMemory, createUpstreamError} from 'heatherpond-session';
import {
	createMemoryDatagrams, createMemoryLinks, createMemoryStore, startFleetHost, type DatabaseControlPort, type DatagramPort, type DatabaseStatus, type FleetHost, type MemoryStore, type TeamLimit, type Upstream,
} from '../../index.js';

/** A fake database of the group. */
export type TestDatabase = {
	readonly upstream: Upstream;
	isPrimary: boolean;
	term: number;
	position: bigint;
	/** Receives nothing from the primary. */
	isDeaf: boolean;
	/** Does not respond to status requests. */
	isUnresponsive: boolean;
	/** Accepts connections, but does not answer status requests. */
	isOverloaded: boolean;
	/** Rejects status requests because it has no free connection slot. */
	isFull: boolean;
};

/** A host of the fleet. */
export type TestHost = {
	readonly name: string;
	readonly host: FleetHost;
	readonly lifetime: AbortController;
	isKilled: boolean;
	/** All its datagrams are lost, in both directions. */
	isIsolated: boolean;
	/** Returns whether a datagram to this host is lost. */
	dropsDatagram: (text: string) => boolean;
	/** Whether the host has been suspended for a time that its clock has not measured, and has not noticed yet. */
	wasSuspended: boolean;
	/** Milliseconds by which the clock of the host is ahead, because the host has stood still while others went on. */
	clockAheadMs: number;
	/** Called when the host receives a table from the store, before it goes on. */
	handleTableRead: (table: string) => void;
};

/** A promotion request that reached the platform. */
export type RecordedPromotionRequest = {readonly holder: string; readonly fence: number; readonly database: string; readonly at: number};

/** A datagram that one host has sent to another. */
export type RecordedDatagram = {readonly from: string; readonly to: string; readonly text: string; readonly at: number};

/** Fault of a promotion request. */
export type PromotionRequestFault = 'lost' | 'answer_lost' | 'late' | undefined;

/** A running fleet with controls for faults. */
export type TestFleet = {
	readonly clock: FakeClock;
	readonly store: MemoryStore;
	readonly databases: Map<string, TestDatabase>;
	readonly hosts: TestHost[];
	readonly promotionRequests: RecordedPromotionRequest[];
	readonly datagrams: RecordedDatagram[];
	/** Log events of all hosts. */
	readonly events: readonly string[];
	/** Lets all replicas that receive anything catch up with a primary. */
	readonly updateReplicas: (primary: TestDatabase) => void;
	readonly setPromotionRequestFault: (decide: () => PromotionRequestFault) => void;
	readonly startHost: (name: string, domain?: string) => TestHost;
	/** Stops a host abruptly, without announcing its departure. */
	readonly killHost: (name: string) => void;
	readonly stop: () => void;
};

/** Group of the fake databases. */
export const GROUP = 'group-1';
export const TEAM = 'team-1';
export const TEAM_LIMIT = {ratePerSecond: 90, burst: 20};
export const CONTRACTS_TABLE = 'contracts';
export const REGISTRATIONS_TABLE = 'registrations';
/** Round trip time of the store in milliseconds. */
export const STORE_LATENCY_MS = 10;
const STATUS_LATENCY_MS = 10;
const DATAGRAM_LATENCY_MS = 1;
/** Milliseconds for which a database is cold after the evacuation of its failure domain. */
export const WARM_UP_MS = 4000;
const PROMOTE_MS = 300;
/** Milliseconds after a promotion until the replicas have caught up. */
const REPLICATION_MS = 100;
/** Duration of a late promotion in milliseconds; longer than the timeout of a promotion request. */
const LATE_PROMOTE_MS = 1300;
const REVOCATION_MS = 5000;
export const EVACUATION_MS = 5000;

/** Options of the fleet. */
export type TestFleetOptions = {
	/** Names of the hosts that are seeds of all hosts. */
	readonly seeds?: readonly string[];
	/** Rate limit of the team. */
	readonly limit?: TeamLimit;
	/** Failure domains of the three databases. */
	readonly databaseDomains?: readonly string[];
	/** Statements a second that a cold database may get. */
	readonly coldPerSecond?: number;
	/** Regions in which the primary of the group belongs. */
	readonly homes?: ReadonlySet<string>;
	/** Number of replicas that must have received a commit before it is acknowledged. */
	readonly syncReplicas?: number;
};

/** Creates a fleet of hosts and a group of three databases, the first of which is primary. */
export function createTestFleet(hostNames: readonly string[], {seeds = [], limit = TEAM_LIMIT, databaseDomains = ['domain-1', 'domain-1', 'domain-1'], homes, coldPerSecond, syncReplicas}: TestFleetOptions = {}): TestFleet {
	const clock = createFakeClock(1000);
	const store = createMemoryStore({clock, latencyMs: STORE_LATENCY_MS});
	const databases = new Map(['db-1', 'db-2', 'db-3'].map((id, index) => [id, createDatabase(id, index, databaseDomains[index]!)] as const));
	const links = createMemoryLinks(clock);
	const hosts: TestHost[] = [];
	const promotionRequests: RecordedPromotionRequest[] = [];
	const datagrams: RecordedDatagram[] = [];
	const events: string[] = [];
	let decidePromotionRequestFault: () => PromotionRequestFault = () => undefined;
	let incarnations = 0;
	let draws = 0;

	const network = createMemoryDatagrams({
		clock, latencyMs: DATAGRAM_LATENCY_MS, recordSend: () => undefined,
	});

	/** Creates the datagram port of a host, whose datagrams are recorded, and lost while it is isolated or killed. */
	function createFaultyDatagrams(name: string, host: Pick<TestHost, 'isKilled' | 'isIsolated' | 'dropsDatagram'>): DatagramPort {
		const port = network.createPort(name);
		return {
			send(text, to, targetPort) {
				datagrams.push({
					from: name, to, text, at: clock.readNow(),
				});
				if (!host.isIsolated && !host.isKilled) {
					port.send(text, to, targetPort);
				}
			},
			registerListener(listener) {
				port.registerListener(text => {
					if (!host.isIsolated && !host.isKilled && !host.dropsDatagram(text)) {
						listener(text);
					}
				});
			},
		};
	}

	function writeRegistration({upstream, isPrimary}: TestDatabase): void {
		store.writeRow(REGISTRATIONS_TABLE, upstream.id, JSON.stringify({...upstream, claimsPrimary: isPrimary}));
	}

	function startPromotion(id: string, takesMs: number): void {
		const term = Math.max(...[...databases.values()].map(database => database.term)) + 1;
		clock.registerTimer(clock.readNow() + takesMs, () => {
			const database = databases.get(id)!;
			database.isPrimary = true;
			database.term = term;
			writeRegistration(database);
			clock.registerTimer(clock.readNow() + REPLICATION_MS, () => {
				updateReplicas(database);
			});
		});
	}

	/** Lets all replicas that receive anything catch up with a primary. */
	function updateReplicas(primary: TestDatabase): void {
		[...databases.values()].filter(database => primary.isPrimary && !primary.isUnresponsive && !database.isPrimary && !database.isDeaf && !database.isUnresponsive).forEach(database => {
			database.position = primary.position;
			database.term = primary.term;
		});
	}

	async function requestStatus(id: string, deadline: number, change: (database: TestDatabase) => void): Promise<DatabaseStatus> {
		const database = databases.get(id)!;
		await new Promise<void>(resolve => {
			clock.registerTimer(database.isUnresponsive || database.isOverloaded ? deadline : clock.readNow() + STATUS_LATENCY_MS, resolve);
		});
		if (database.isUnresponsive) {
			throw new Error('database did not respond before the deadline');
		}

		if (database.isOverloaded) {
			throw createUpstreamError('database did not answer before the deadline', 'unresponsive', false);
		}

		if (database.isFull) {
			throw createUpstreamError('database has no free connection slot', 'too_many', false);
		}

		change(database);
		return {isPrimary: database.isPrimary, term: database.term, point: {term: database.term, position: database.position}};
	}

	const control: DatabaseControlPort = {
		requestStatus: async ({id}, deadline) => requestStatus(id, deadline, () => undefined),
		requestStepDown: async ({id}, term, deadline) => requestStatus(id, deadline, database => {
			if (database.term < term) {
				database.isPrimary = false;
				writeRegistration(database);
			}
		}),
	};

	function startHost(name: string, domain = 'domain-1'): TestHost {
		incarnations++;
		const lifetime = new AbortController();
		setMaxListeners(0, lifetime.signal);
		const testHost: Omit<TestHost, 'name' | 'host' | 'lifetime'> = {
			isKilled: false, isIsolated: false, dropsDatagram: () => false, wasSuspended: false, clockAheadMs: 0, handleTableRead: () => undefined,
		};
		const hostClock: Clock = {
			readNow: () => clock.readNow() + testHost.clockAheadMs,
			registerTimer: (deadline, callback) => clock.registerTimer(deadline - testHost.clockAheadMs, callback),
		};
		const storePort = store.createPort(name);
		const host = startFleetHost({
			identity: {
				host: name, incarnation: `run-${incarnations}`, domain, address: name, port: 1,
			},
			clock: hostClock,
			suspension: {
				hasDrifted() {
					const {wasSuspended} = testHost;
					testHost.wasSuspended = false;
					return wasSuspended;
				},
			},
			store: {
				...storePort,
				async readTable(table, deadline) {
					const page = await storePort.readTable(table, deadline - testHost.clockAheadMs);
					testHost.handleTableRead(table);
					return page;
				},
			},
			databases: control,
			promotionRequests: {
				async requestPromotion({holder, fence, database}, deadline) {
					const fault = decidePromotionRequestFault();
					if (fault !== 'lost') {
						promotionRequests.push({
							holder, fence, database, at: clock.readNow(),
						});
						startPromotion(database, fault === 'late' ? LATE_PROMOTE_MS : PROMOTE_MS);
					}

					await new Promise<void>(resolve => {
						clock.registerTimer(fault ? deadline : clock.readNow() + STATUS_LATENCY_MS, resolve);
					});
					if (fault) {
						throw new Error('platform did not respond to the promotion request');
					}

					return true;
				},
			},
			datagrams: createFaultyDatagrams(name, testHost),
			links: links.createPort(name),
			memory: createMessageMemory(Number.POSITIVE_INFINITY),
			sessionMemory: createMessageMemory(Number.POSITIVE_INFINITY),
			seeds: seeds.map(address => ({address, port: 1})),
			async openConnection() {
				throw new Error('the fake databases accept no connections');
			},
			writeEvent(event, fields) {
				events.push(`${clock.readNow()} ${name} ${event} ${JSON.stringify(fields)}`);
			},
			recordStatement: () => undefined,
			random() {
				draws++;
				return (draws * 0.618) % 1;
			},
			domains: [...new Set(hostNames.map(host => host.includes('/') ? host.split('/')[0]! : 'domain-1'))],
			readRegion: domain => domain,
			revocationMs: REVOCATION_MS,
			evacuationMs: EVACUATION_MS,
			minPromotionLeaseMs: 0,
			contracts: {
				table: CONTRACTS_TABLE, key: 'config', parseEvacuatedDomain: key => key.startsWith('evacuate/') ? key.slice('evacuate/'.length) : undefined, parse: text => ({
					version: Number(text), routes: new Map(), groups: new Map([[GROUP, {
						group: GROUP, maxConnections: 20, homes, coldPerSecond, syncReplicas, warmUpMs: WARM_UP_MS,
					}]]), teams: new Map([[TEAM, {team: TEAM, ...limit}]]), teamsByKey: new Map(), idleTransactionMs: 1000,
				}),
			},
			registrations: {table: REGISTRATIONS_TABLE, parse: ({value}) => value === undefined ? undefined : JSON.parse(value) as Upstream},
			signal: lifetime.signal,
		});
		const created: TestHost = Object.assign(testHost, {name, host, lifetime});
		hosts.push(created);
		return created;
	}

	store.writeRow(CONTRACTS_TABLE, 'config', '1');
	databases.forEach(writeRegistration);
	hostNames.forEach(name => {
		const [domain] = name.split('/');
		startHost(name, name.includes('/') ? domain : undefined);
	});
	return {
		clock, store, databases, hosts, promotionRequests, datagrams, events, startHost, updateReplicas,
		setPromotionRequestFault(decide) {
			decidePromotionRequestFault = decide;
		},
		killHost(name) {
			hosts.filter(host => host.name === name && !host.isKilled).forEach(host => {
				host.isKilled = true;
				host.lifetime.abort();
			});
		},
		stop() {
			hosts.forEach(({lifetime}) => {
				lifetime.abort();
			});
		},
	};
}

function createDatabase(id: string, index: number, domain: string): TestDatabase {
	return {
		upstream: {
			id, group: GROUP, host: id, port: 1, domain, capacity: 3, isLeaving: false, claimsPrimary: index === 0, isWarmingUp: false, startedAt: 0,
		},
		isPrimary: index === 0, term: 1, position: BigInt(100 - index), isDeaf: false, isUnresponsive: false, isOverloaded: false, isFull: false,
	};
}
