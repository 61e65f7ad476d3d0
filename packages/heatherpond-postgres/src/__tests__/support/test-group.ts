/** Test fixture: a stand-in database group, a blackboard that describes it, and a client server in front of it. */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import type {SecureContext} from 'node:tls';
import {
	createHostBlackboard, createSystemClock, formatDatabaseKey, RefusalError, UnprovenError,
	type Contract, type GroupRecord, type HostBlackboard, type Member,
} from 'heatherpond-core';
import {
	startDatabaseGroup, startDatabaseServer, startSqlParser, type DatabaseGroup, type DatabaseServer,
} from 'heatherpond-standin';
import pg from 'pg';
import {startClientServer, type ClientServer} from '../../client-server.js';
import type {ClientLimits, ClientServices} from '../../client-services.js';
import {startClassifier} from '../../classify.js';
import {createRetryBudget} from '../../retry-budget.js';
import {createUpstreamPools, type UpstreamPools} from '../../upstream-pools.js';

const USER = {user: 'proxy', password: 'secret', isControl: false};
const LOOPBACK = '127.0.0.1';

/** The running fixture. */
export type TestGroup = {
	readonly group: DatabaseGroup;
	readonly servers: readonly DatabaseServer[];
	readonly members: readonly Member[];
	readonly blackboard: HostBlackboard;
	readonly pools: UpstreamPools;
	readonly clientServer: ClientServer;
	readonly services: ClientServices;
	/** Whether proofs of primacy succeed; tests may change it. */
	readonly proof: {isGiven: boolean};
	/** Whether requests are admitted; otherwise they are refused as over rate. Tests may change it. */
	readonly admission: {isGiven: boolean};
	/** Writes the status of every database to the blackboard, as the prober of a host does. */
	readonly probe: () => void;
	/** Changes the group record in the view of the blackboard. */
	readonly updateGroup: (change: (record: GroupRecord) => GroupRecord) => void;
	/** Kinds of the events of the client server, in order. */
	readonly events: readonly string[];
	/** Counts the rows of a table on the first database. */
	readonly countRows: (table: string) => number;
	readonly openClient: (options?: pg.ClientConfig) => Promise<pg.Client>;
	/** Opens a raw socket to the client port. */
	readonly openSocket: () => Promise<Socket>;
	readonly stop: () => Promise<void>;
};

/** Overrides of the default setup. */
export type TestGroupOptions = {
	readonly limits?: Partial<ClientLimits>;
	/** Maximum number of upstream connections per database. */
	readonly maxConnections?: number;
	readonly connectionsPerKey?: number;
	readonly secureContext?: SecureContext;
	/** Whether the route admits clients without a key. */
	readonly isOpenRoute?: boolean;
	/** Members that replace the stand-in databases, such as scripted fake databases. */
	readonly members?: readonly Member[];
};

/** Key of the test team. */
export const TEST_KEY = 'key';
const TEST_KEY_HASH = '2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683';

const LIMITS: ClientLimits = {
	maxFrameBytes: 1_048_576, startupTimeoutMs: 5000, requestTimeoutMs: 5000, replicaWaitMs: 50, maxHeldBytes: 262_144, idleTransactionTimeoutMs: 60_000, silenceMs: 2000, drainTimeoutMs: 5000,
};

/** Starts a group of three databases and a client server in front of it. */
export async function startTestGroup(options: TestGroupOptions = {}): Promise<TestGroup> {
	await Promise.all([startClassifier(), startSqlParser()]);
	const clock = createSystemClock();
	const stop = new AbortController();
	const {signal} = stop;
	const group = startDatabaseGroup({
		name: 'g', databases: ['a', 'b', 'c'], clock, signal,
	});
	const servers = await Promise.all(group.members.map(async member => startDatabaseServer({
		group, member, address: LOOPBACK, port: 0, slots: 4, connections: 20, users: [USER], clock, signal,
	})));
	const members = options.members ?? servers.map<Member>((server, index) => ({
		name: ['a', 'b', 'c'][index]!, host: LOOPBACK, port: server.port, domain: 'd', slots: 4, connections: 20,
	}));
	const blackboard = createTestBlackboard(members, options);
	const proof = {isGiven: true};
	const admission = {isGiven: true};
	const pools = createUpstreamPools({
		clock,
		credentials: USER,
		applicationName: 'd/h',
		readMaxConnections: () => options.maxConnections ?? 4,
		isDraining: (_group, database) => blackboard.read().view.groups.g!.leaving.includes(database),
		signal,
	});
	let ids = 0;
	const events: string[] = [];
	const services: ClientServices = {
		blackboard,
		clock,
		requestGate: {
			async admit() {
				if (!admission.isGiven) {
					throw new RefusalError('the team is over its rate', {props: {reason: 'over_rate', retryAfterMs: 7}});
				}
			},
		},
		databaseGate: {acquire: async () => ({release: () => undefined}), readExpectedWait: () => 0},
		primacyGate: {
			async waitForProof() {
				if (!proof.isGiven) {
					throw new UnprovenError('no proof of primacy in time', {props: {reason: 'timeout'}});
				}

				return 'lease';
			},
			isStillProven: () => true,
		},
		pools,
		retryBudget: createRetryBudget(),
		recordEvent(kind) {
			events.push(kind);
		},
		createId: () => `s${ids++}`,
		random: () => 0.5,
		probe: async () => true,
		limits: {...LIMITS, ...options.limits},
	};
	const clientServer = await startClientServer({
		address: LOOPBACK, port: 0, services, secureContext: options.secureContext, signal, handleAcceptError: () => undefined,
	});

	function readStatuses(): void {
		group.members.forEach(({database}) => {
			blackboard.update(state => ({
				...state, databases: {
					...state.databases, [formatDatabaseKey('g', database.name)]: {
						group: 'g', name: database.name, status: database.readStatus(), readAt: clock.readNow(), failures: 0,
					},
				},
			}));
		});
	}

	readStatuses();
	return {
		group,
		servers,
		members,
		blackboard,
		pools,
		clientServer,
		services,
		proof,
		admission,
		events,
		probe: readStatuses,
		updateGroup(change) {
			blackboard.update(state => ({...state, view: {...state.view, groups: {g: change(state.view.groups.g!)}}}));
		},
		countRows: table => group.members[0]!.database.store.findTable(table)?.rows.size ?? 0,
		async openClient(config) {
			const client = new pg.Client({
				host: LOOPBACK, port: clientServer.port, user: 'team', password: TEST_KEY, database: 'r', ...config,
			});
			client.on('error', () => undefined);
			await client.connect();
			return client;
		},
		async openSocket() {
			const socket = connect({port: clientServer.port, host: LOOPBACK, noDelay: true});
			socket.on('error', () => undefined);
			await once(socket, 'connect');
			return socket;
		},
		async stop() {
			stop.abort();
		},
	};
}

function createTestBlackboard(members: readonly Member[], options: TestGroupOptions): HostBlackboard {
	const blackboard = createHostBlackboard({
		host: 'h', incarnation: 'i', domain: 'd', deployment: 't', peerAddress: '',
	});
	const contract: Contract = {
		team: 'team', routes: ['r'], rate: 1000, burst: 1000, weight: 1, connectionsPerKey: options.connectionsPerKey ?? 100, durability: 'primary', unverifiedKeySeconds: 1e9,
	};
	blackboard.update(state => ({
		...state,
		stamp: {version: 1, verifiedAt: 0},
		view: {
			...state.view,
			contracts: {team: contract},
			keys: {
				[TEST_KEY_HASH]: {
					keyId: 'k', team: 'team', keyHash: TEST_KEY_HASH, isWithdrawn: false,
				},
			},
			routes: {
				r: {
					name: 'r', group: 'g', open: options.isOpenRoute ?? false, maxStalenessMs: 0,
				},
			},
			groups: {
				g: {
					settings: {name: 'g', members: [...members], durability: 'contract'}, term: 1, primary: members[0]!.name, termStarts: [{term: 1, start: 0n}], leaving: [],
				},
			},
		},
	}));
	return blackboard;
}

/**
 * Waits until a condition holds.
 *
 * @param name - what is waited for, for the error message
 * @throws Error when the condition does not hold within five seconds
 */
export async function waitFor(condition: () => boolean, name: string): Promise<void> {
	const deadline = Date.now() + 5000;
	while (!condition()) {
		if (Date.now() > deadline) {
			throw new Error(`timed out after 5 s waiting for: ${name}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, 2);
		});
	}
}

