/** Services of a session over databases that answer by script. */
import {createFakeClock, type FakeClock} from 'heatherpond-core';
import {
	createConnectionPool, createPositionBook, createUpstreamError, type ConnectionPool, type PositionBook, type Primary, type SessionRoute, type SessionServices,
	type Statement, type StatementAction, type StatementObservation, type UpstreamAnswer, type UpstreamCommand, type UpstreamConnection, type UpstreamErrorCode,
} from '../../index.js';

/** What a scripted database does with a command. */
export type ScriptedEnd
	= | {readonly kind: 'complete'; readonly body?: string; readonly position?: bigint}
		| {readonly kind: 'error'; readonly code: UpstreamErrorCode; readonly state?: 'idle' | 'open' | 'failed'}
	/** The command is run, and the connection breaks. */
		| {readonly kind: 'lost'}
	/** Nothing comes until the deadline. */
		| {readonly kind: 'silent'};

/** A command that a database was sent. */
export type SeenCommand = {readonly database: string; readonly team: string; readonly connection: number; readonly command: UpstreamCommand};

/** Services and what they have seen. */
export type TestServices = {
	readonly clock: FakeClock;
	readonly services: SessionServices;
	readonly positions: PositionBook;
	readonly seen: SeenCommand[];
	readonly observed: StatementObservation[];
	/** Decides what a database does; the default completes everything. */
	script: (seen: SeenCommand) => ScriptedEnd | undefined;
	primary: Primary | undefined;
	isProven: boolean;
	isReplaced: boolean;
	access: 'allow' | 'unknown_key' | 'unverified';
	admitsAfterMs: number;
	readonly pools: ReadonlyMap<string, ConnectionPool>;
	readonly countPrimaryWork: () => number;
};

export const DATABASES = ['db-1', 'db-2', 'db-3'];
const ANSWER_MS = 5;
const CAP = 4;

/** Creates a route of the group `g`. */
export function createRoute(consistency: SessionRoute['consistency'] = 'primary'): SessionRoute {
	return {
		database: 'shop', group: 'g', consistency, maxStalenessMs: consistency === 'primary' ? 0 : 1500, timeoutMs: 800, targetLatencyMs: 400, priority: 1, isOpen: false,
	};
}

let ids = 0;

/** Creates a statement. */
export function createStatement(action: StatementAction, text = 'text'): Statement {
	ids++;
	return {id: `id-${ids}`, text, action};
}

/** Creates services over three databases, the first of which is primary. */
export function createTestServices(route: SessionRoute = createRoute()): TestServices {
	const clock = createFakeClock(10_000);
	const positions = createPositionBook();
	const seen: SeenCommand[] = [];
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

		function answer(command: UpstreamCommand, end: Exclude<ScriptedEnd, {kind: 'lost' | 'silent'}>): UpstreamAnswer {
			if (end.kind === 'error') {
				state = end.state ?? state;
				return {body: `ERROR ${end.code}\r\n`, outcome: {kind: 'error', code: end.code}, state};
			}

			if (command.kind === 'begin') {
				state = 'open';
			} else if (command.kind === 'rollback' || (command.kind === 'forward' && command.text === 'COMMIT')) {
				state = 'idle';
			}

			return {
				body: end.body ?? `COMPLETE ${database}\r\n`, outcome: {kind: 'complete'}, state, point: {term: 1, position: end.position ?? 100n},
			};
		}

		return {
			database,
			team,
			async exchange(commands, deadline) {
				const answers: UpstreamAnswer[] = [];
				for (const command of commands) {
					const noted = {
						database, team, connection, command,
					};
					seen.push(noted);
					const end = test.script(noted) ?? {kind: 'complete'};
					await new Promise<void>(resolve => {
						clock.registerTimer(end.kind === 'silent' ? deadline : Math.min(deadline, clock.readNow() + ANSWER_MS), resolve);
					});
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
			registerCloseListener(listener) {
				listeners.push(listener);
			},
		};
	}

	const pools = new Map(DATABASES.map(database => [database, createConnectionPool({
		clock, open: async team => open(database, team), readCap: () => CAP, isLeaving: () => false, random: () => 0.5,
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
		admitsAfterMs: 0,
		pools,
		countPrimaryWork: () => primaryWork,
		services: {
			clock,
			positions,
			access: {
				decideAccess: () => test.access === 'allow' ? {kind: 'allow', route, team: 'team'} : {kind: 'refuse', reason: test.access},
			},
			primacy: {
				findPrimary: () => test.primary,
				isProven: () => test.isProven,
				isReplaced: () => test.isReplaced,
				readTerm: () => 1,
				async waitForChange(deadline) {
					await new Promise<void>(resolve => {
						clock.registerTimer(Math.min(deadline, clock.readNow() + 20), resolve);
					});
				},
				registerWork() {
					primaryWork++;
					return () => {
						primaryWork--;
					};
				},
			},
			upstreams: {
				findCandidates: (_group, team, primary) => DATABASES.map(id => ({
					id, isPrimary: id === primary, capacity: 3, inFlight: 0, foreignInFlight: 0, hasIdleConnection: pools.get(id)!.hasIdle(team), isCrowded: false,
					roundTripMs: 1, isNear: true, isWarmingUp: false, lastPoint: positions.findDatabasePoint(id), avoidedUntil: (failedAt.get(id) ?? -1000) + 300,
				})),
				acquire: async (database, request) => pools.get(database)!.acquire(request),
				registerWork: () => () => undefined,
				applyFailure(database, _reason, at) {
					failedAt.set(database, at);
				},
				applyAnswer: () => undefined,
			},
			admission: {admit: async () => test.admitsAfterMs},
			writeEvent: () => undefined,
			recordStatement(observation) {
				observed.push(observation);
			},
			random: () => 0.5,
			readIdleTransactionMs: () => 3000,
		},
	};
	return test;
}

const STEP_MS = 5;

/** Runs a promise to its end while the fake clock moves. */
export async function runToEnd<Value>(clock: FakeClock, promise: Promise<Value>): Promise<Value> {
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
			clock.advanceBy(STEP_MS);
		}
	}

	return settled;
}
