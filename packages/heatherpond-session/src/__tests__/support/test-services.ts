/** Session services backed by fake databases whose responses are scripted. */
import {createFakeClock, type FakeClock} from 'heatherpond-core';
import {
	acquireQueuedHandle, createConnectionPool, createMessageMemory, createPositionTracker, createStatementQueue, createUpstreamError, type ConnectionPool, type PositionTracker, type Primary, type SessionRoute, type StatementQueue, type SessionServices,
	type Statement, type StatementAction, type StatementObservation, type UpstreamResponse, type UpstreamCommand, type UpstreamConnection, type UpstreamErrorCode,
} from '../../index.js';

/** Scripted reaction of a fake database to a command. */
export type ScriptedResponse
	= | {readonly kind: 'complete'; readonly body?: string; readonly position?: bigint; readonly state?: 'idle' | 'open' | 'failed'}
		| {readonly kind: 'error'; readonly code: UpstreamErrorCode; readonly state?: 'idle' | 'open' | 'failed'}
	/** The command reaches the database, and the connection closes before a response. */
		| {readonly kind: 'lost'}
	/** The database does not respond before the deadline. */
		| {readonly kind: 'silent'};

/** A command that a fake database received. */
export type ReceivedCommand = {readonly database: string; readonly team: string; readonly connection: number; readonly command: UpstreamCommand};

/** Session services, the inputs that tests control, and recorded calls. */
export type TestServices = {
	readonly clock: FakeClock;
	readonly services: SessionServices;
	readonly positions: PositionTracker;
	/** Commands received by all databases, in order. */
	readonly seen: ReceivedCommand[];
	/** Observations recorded for metrics. */
	readonly observed: StatementObservation[];
	/** Chooses the reaction to a command; undefined completes it. */
	script: (seen: ReceivedCommand) => ScriptedResponse | undefined;
	primary: Primary | undefined;
	isProven: boolean;
	isReplaced: boolean;
	/** Result of the authorization. */
	access: 'allow' | 'unknown_key' | 'unverified';
	/** Team to which the keys of all clients belong. */
	team: string;
	/** Retry-after time of the admission control; 0 admits. */
	admissionDelayMs: number;
	/** Position that the primary tells when it is asked; undefined when it does not answer. */
	toldPosition: bigint | undefined;
	/** Number of times that the primary was asked. */
	positionRequests: number;
	/** Databases to which nothing may be sent, for lack of a home region or because of an evacuation. */
	readonly forbidden: Set<string>;
	/** By cold database: retry-after time of its budget; 0 admits. */
	readonly budgets: Map<string, number>;
	readonly pools: ReadonlyMap<string, ConnectionPool>;
	readonly queues: ReadonlyMap<string, StatementQueue>;
	/** Number of statements that may run on a database at once. */
	statementLimit: number;
	/** When the host starts no more statements. */
	workEndsAt: number;
	/** Events written to the log, in order. */
	readonly events: string[];
	/** Counts writes and transactions registered as in flight on the primary. */
	readonly countWorkOnPrimary: () => number;
};

export const DATABASES = ['db-1', 'db-2', 'db-3'];
const RESPONSE_DELAY_MS = 5;
const MAX_CONNECTIONS = 4;
/** Memory for the variables and prepared statements of all sessions. */
const MEMORY_BYTES = 100_000;

/** Creates a route to the group `g`. */
export function createRoute(consistency: SessionRoute['consistency'] = 'primary'): SessionRoute {
	return {
		database: 'shop', group: 'g', consistency, maxStalenessMs: consistency === 'primary' ? 0 : 1500, timeoutMs: 800, targetLatencyMs: 400, priority: 1, isOpen: false,
	};
}

let ids = 0;

/** Creates a statement with a unique id. */
export function createStatement(action: StatementAction, text = 'text'): Statement {
	ids++;
	return {id: `id-${ids}`, text, action};
}

/** Creates services with three databases, the first of which is primary. */
export function createTestServices(route: SessionRoute = createRoute()): TestServices {
	const clock = createFakeClock(10_000);
	const positions = createPositionTracker();
	const seen: ReceivedCommand[] = [];
	const observed: StatementObservation[] = [];
	const failedAt = new Map<string, number>();
	let connections = 0;
	let primaryWork = 0;

	function open(database: string, team: string): UpstreamConnection {
		connections++;
		const connection = connections;
		let isOpen = true;
		let state: 'idle' | 'open' | 'failed' = 'idle';
		let listeners: Array<() => void> = [];
		function close(): void {
			isOpen = false;
			const closed = listeners;
			listeners = [];
			closed.forEach(listener => {
				listener();
			});
		}

		function registerCloseListener(listener: () => void): void {
			listeners.push(listener);
		}

		function answer(command: UpstreamCommand, end: Exclude<ScriptedResponse, {kind: 'lost' | 'silent'}>): UpstreamResponse {
			if (end.kind === 'error') {
				state = end.state ?? state;
				return {body: `ERROR ${end.code}\r\n`, outcome: {kind: 'error', code: end.code}, state};
			}

			if (command.kind === 'begin') {
				state = 'open';
			} else if (command.kind === 'rollback' || (command.kind === 'forward' && command.text === 'COMMIT')) {
				state = 'idle';
			}

			state = end.state ?? state;
			return {
				body: end.body ?? `COMPLETE ${database}\r\n`, outcome: {kind: 'complete'}, state, point: {term: 1, position: end.position ?? 100n},
			};
		}

		return {
			database,
			team,
			async exchange(commands, deadline) {
				const answers: UpstreamResponse[] = [];
				for (const command of commands) {
					const noted = {
						database, team, connection, command,
					};
					seen.push(noted);
					const end = test.script(noted) ?? {kind: 'complete'};
					await new Promise<void>(resolve => {
						clock.registerTimer(end.kind === 'silent' ? deadline : Math.min(deadline, clock.readNow() + RESPONSE_DELAY_MS), resolve);
						registerCloseListener(resolve);
					});
					if (!isOpen) {
						throw createUpstreamError('the connection was closed', 'closed', true);
					}

					if (end.kind === 'lost' || end.kind === 'silent') {
						close();
						throw createUpstreamError('gone', end.kind === 'lost' ? 'closed' : 'silent', true);
					}

					answers.push(answer(command, end));
				}

				return answers;
			},
			isOpen: () => isOpen,
			destroy: close,
			registerCloseListener,
		};
	}

	const pools = new Map(DATABASES.map(database => [database, createConnectionPool({
		clock, open: async team => open(database, team), readMaxConnections: () => MAX_CONNECTIONS, isDraining: () => false, random: () => 0.5,
		writeEvent(event) {
			test.events.push(event);
		},
	})] as const));

	const queues = new Map(DATABASES.map(database => [database, createStatementQueue({
		clock, random: () => 0.5, readLimit: () => test.statementLimit, readWorkEnd: () => test.workEndsAt,
	})] as const));

	const test: TestServices = {
		clock,
		positions,
		seen, observed,
		script: () => undefined,
		primary: {group: 'g', database: 'db-1', term: 1},
		isProven: true,
		isReplaced: false,
		access: 'allow',
		team: 'team',
		admissionDelayMs: 0,
		toldPosition: undefined,
		positionRequests: 0,
		forbidden: new Set(),
		budgets: new Map(),
		pools,
		queues,
		statementLimit: Number.POSITIVE_INFINITY,
		workEndsAt: Number.POSITIVE_INFINITY,
		events: [],
		countWorkOnPrimary: () => primaryWork,
		services: {
			clock,
			positions,
			access: {
				decideAccess: () => test.access === 'allow' ? {kind: 'allow', route, team: test.team} : {kind: 'refuse', reason: test.access},
			},
			primacy: {
				findPrimary: () => test.primary,
				isConfirmed: () => test.isProven,
				isReplaced: () => test.isReplaced,
				readTerm: () => 1,
				async waitForChange(deadline) {
					await new Promise<void>(resolve => {
						clock.registerTimer(Math.min(deadline, clock.readNow() + 20), resolve);
					});
				},
				async requestPosition(group) {
					test.positionRequests++;
					await new Promise<void>(resolve => {
						clock.registerTimer(clock.readNow() + RESPONSE_DELAY_MS, resolve);
					});
					if (test.toldPosition !== undefined) {
						positions.recordPrimaryPosition(group, 1, {term: 1, position: test.toldPosition}, clock.readNow() - RESPONSE_DELAY_MS);
					}
				},
				registerWork() {
					primaryWork++;
					return () => {
						primaryWork--;
					};
				},
			},
			upstreams: {
				isPermitted: database => !test.forbidden.has(database),
				hasPermitted: () => DATABASES.some(id => !test.forbidden.has(id)),
				findBudget: database => test.budgets.has(database) ? async () => test.budgets.get(database)! : undefined,
				findCandidates: (_group, {team, primary}) => DATABASES.filter(id => !test.forbidden.has(id)).map(id => ({
					id, isPrimary: id === primary, capacity: 3, inFlight: 0, remoteInFlight: 0, hasIdleConnection: pools.get(id)!.hasIdle(team), isAtConnectionLimit: false,
					roundTripMs: 1, statementMs: 15, failureShare: 0, failureMs: 0, isSameDomain: true, isWarmingUp: false, lastPoint: positions.findDatabasePosition(id), backoffUntil: (failedAt.get(id) ?? -1000) + 300,
				})),
				acquire: async (database, request) => acquireQueuedHandle({
					clock, request, queue: queues.get(database)!, acquire: async () => pools.get(database)!.acquire(request),
				}),
				registerWork: () => () => undefined,
				recordFailure(database, _reason, at) {
					failedAt.set(database, at);
				},
				recordResponse: () => undefined,
			},
			memory: createMessageMemory(MEMORY_BYTES),
			admission: {admit: async () => test.admissionDelayMs},
			writeEvent(event) {
				test.events.push(event);
			},
			recordStatement(observation) {
				observed.push(observation);
			},
			random: () => 0.5,
			readIdleTransactionMs: () => 3000,
		},
	};
	return test;
}

const CLOCK_STEP_MS = 5;

/** Advances the fake clock until a promise has settled, and returns its result. */
export async function runUntilSettled<Value>(clock: FakeClock, promise: Promise<Value>): Promise<Value> {
	const progress = {isSettled: false};
	const settled = promise.finally(() => {
		progress.isSettled = true;
	});
	settled.catch(() => undefined);
	while (!progress.isSettled) {
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
		if (!progress.isSettled) {
			clock.advanceBy(CLOCK_STEP_MS);
		}
	}

	return settled;
}
