/** One load session: sends requests sequentially, with exponentially distributed intervals. */
import {waitUntil, type Clock, type Instant} from 'heatherpond-core';
import type {LoadPlan, TeamLoad} from './load-plan.js';
import type {Random} from './random.js';
import type {RequestOutcome, RequestRecord} from './request-record.js';
import {openSessionClient, type SessionClient} from './session-client.js';

/** Options of a load session. */
export type LoadSessionOptions = {
	readonly plan: LoadPlan;
	readonly team: TeamLoad;
	readonly name: string;
	readonly route: string;
	/** Whether reads accept stale data instead of requiring the session's own writes. */
	readonly isStaleReader: boolean;
	readonly random: Random;
	readonly clock: Clock;
	/** Start of the load on `clock`; times in records are relative to it. */
	readonly startedAt: Instant;
	/** Called with the record of each finished request. */
	readonly writeRecord: (record: RequestRecord) => void;
	readonly signal: AbortSignal;
};

/** Mutable state of a session: its connection, session token, current host, and numbers of requests and writes. */
type SessionState = {
	client?: SessionClient;
	token: string;
	host: number;
	count: number;
	written: number;
	/** Keys of the session's acknowledged writes. */
	readonly acknowledged: string[];
};

/** The request that a session is about to send. */
type Attempt = Pick<RequestRecord, 'kind' | 'key' | 'expected'>;

/** SQLSTATE codes which guarantee that the request was sent to no database. */
const NOT_RUN_CODES = new Set(['HP001', 'HP006', '53300']);
const UNKNOWN_CODES = new Set(['HP002']);
const RECONNECT_DELAY_MS = 50;

/** Sends requests until the duration of the load has passed or the signal aborts. */
export async function runLoadSession(options: LoadSessionOptions): Promise<void> {
	const {plan, team, random, clock, signal} = options;
	const state: SessionState = {
		token: '', host: random.readIndex(plan.ports.length), count: 0, written: 0, acknowledged: [],
	};
	const meanMs = 1000 * team.sessions / team.requestsPerSecond;
	const end = options.startedAt + plan.durationMs;
	let next = clock.readNow() + random.readArrivalInterval(meanMs);
	while (next < end && !signal.aborted) {
		await waitUntil(clock, next, signal);
		await runRequest(options, state);
		next = Math.max(next + random.readArrivalInterval(meanMs), clock.readNow());
	}

	await state.client?.close().catch(() => undefined);
}

async function runRequest(options: LoadSessionOptions, state: SessionState): Promise<void> {
	const {plan, clock} = options;
	state.count++;
	if (state.count % plan.roamEvery === 0) {
		await closeBeforeHostChange(options, state);
	}

	const client = await findClient(options, state);
	if (!client) {
		return;
	}

	const attempt = createAttempt(options, state);
	const startedAt = clock.readNow() - options.startedAt;
	const result = await runAttempt(plan, client, attempt);
	if (result.outcome === 'answered' && attempt.kind === 'write') {
		state.acknowledged.push(attempt.key);
	}

	state.token = client.readToken();
	options.writeRecord({
		...attempt, ...result, team: options.team.team, session: options.name, route: options.route, startedAt, endedAt: clock.readNow() - options.startedAt,
	});
}

/** Closes the connection and selects the next host for the session. */
async function closeBeforeHostChange({plan}: LoadSessionOptions, state: SessionState): Promise<void> {
	const {client} = state;
	state.client = undefined;
	state.host = (state.host + 1) % plan.ports.length;
	await client?.close().catch(() => undefined);
}

/** Returns the open connection or opens a new one; returns nothing if the host refuses, and selects the next host. */
async function findClient(options: LoadSessionOptions, state: SessionState): Promise<SessionClient | undefined> {
	if (state.client?.isOpen()) {
		return state.client;
	}

	const {plan, team, route} = options;
	try {
		state.client = await openSessionClient({
			port: plan.ports[state.host]!, team: team.team, key: team.key, route,
		}, state.token);
		if (options.isStaleReader) {
			await state.client.query(`SET heatherpond.max_staleness = '${plan.maxStalenessMs}ms'`, []);
		}

		return state.client;
	} catch {
		state.client = undefined;
		state.host = (state.host + 1) % plan.ports.length;
		await waitUntil(options.clock, options.clock.readNow() + RECONNECT_DELAY_MS, options.signal);
		return undefined;
	}
}

/** Formats the value stored under a key. It contains the key, so that a response to another request is detected. */
export function formatValue(key: string): string {
	return `value of ${key}`;
}

/** Chooses the next request: a write, or a read of one of the acknowledged writes of the session. */
function createAttempt({plan, name, random, isStaleReader}: LoadSessionOptions, state: SessionState): Attempt {
	const isWrite = state.acknowledged.length === 0 || random.readShare() < plan.writeShare;
	if (isWrite) {
		state.written++;
		const key = `${name}-${state.written}`;
		return {kind: 'write', key, expected: formatValue(key)};
	}

	const key = state.acknowledged[random.readIndex(state.acknowledged.length)]!;
	return {kind: isStaleReader ? 'staleRead' : 'ownRead', key, expected: formatValue(key)};
}

/** Outcome of a request; `found` is the value that a read returned. */
type AttemptResult = Pick<RequestRecord, 'outcome' | 'code' | 'found'>;

async function runAttempt({table}: LoadPlan, client: SessionClient, attempt: Attempt): Promise<AttemptResult> {
	try {
		if (attempt.kind === 'write') {
			await client.query(`INSERT INTO ${table} (id, value) VALUES ($1, $2)`, [attempt.key, attempt.expected]);
			return {outcome: 'answered'};
		}

		const response = await client.query(`SELECT value FROM ${table} WHERE id = $1`, [attempt.key]);
		return {outcome: 'answered', found: response.rows[0]?.value};
	} catch (error) {
		return convertError(error, attempt);
	}
}

function convertError(error: unknown, attempt: Attempt): AttemptResult {
	const code = (error as {readonly code?: string}).code ?? 'lost';
	return {code, outcome: decideOutcome(code, attempt)};
}

/** Maps an error code to an outcome. A write whose connection was lost may have run. */
function decideOutcome(code: string, attempt: Attempt): RequestOutcome {
	if (NOT_RUN_CODES.has(code)) {
		return 'notRun';
	}

	const isOutcomeUnknown = UNKNOWN_CODES.has(code) || !/^[\dA-Z]{5}$/v.test(code) || code.startsWith('57') || code.startsWith('08');
	return isOutcomeUnknown && attempt.kind === 'write' ? 'unknown' : 'failed';
}
