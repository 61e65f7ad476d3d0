/** Measures how long open connections on all proxies keep working after their key has been withdrawn. */
import {randomUUID} from 'node:crypto';
import {once, setMaxListeners} from 'node:events';
import {createSystemClock, waitUntil, type Clock} from 'heatherpond-core';
import {executeCtl, EXIT, type CtlIo} from 'heatherpond-ctl';
import {PLANS, startLocalDeployment, type LocalDeployment} from 'heatherpond-local';
import pg from 'pg';
import {MeasureError} from './measure-error.js';
import type {MeasurementOptions, MeasurementResult} from './measurement.js';

const HOSTS_PER_DOMAIN = 2;
const HOST_LIST_LAG_MS = 1000;
const ROUNDS = 20;
const QUICK_ROUNDS = 5;
/** Number of busy connections per proxy; the same number is idle. */
const BUSY_CONNECTIONS = 3;
const TARGET_MS = 2000;
const TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 5;

/** An open connection that authenticated with the key. */
type KeyConnection = {
	/** Resolves with the time at which the connection was closed or its statement refused. */
	readonly refusedAt: Promise<number>;
	readonly countResponses: () => number;
};

/** The deployment under test, with the team and route that the connections use. */
type WithdrawContext = {readonly deployment: LocalDeployment; readonly clock: Clock; readonly team: string; readonly route: string; readonly signal: AbortSignal};

/** Runs all rounds; each issues a key, opens connections with it, and withdraws it. */
export async function runWithdrawMeasure({deployment: name, isQuick, writeLine, signal}: MeasurementOptions): Promise<MeasurementResult> {
	const clock = createSystemClock();
	const stop = new AbortController();
	const plan = PLANS[name];
	try {
		setMaxListeners(0, stop.signal);
		const deployment = await startLocalDeployment({
			plan, hostsPerDomain: HOSTS_PER_DOMAIN, clock, logLevel: 'silent', hostListLagMs: HOST_LIST_LAG_MS, signal: AbortSignal.any([signal, stop.signal]),
		});
		const context: WithdrawContext = {
			deployment, clock, team: plan.contracts[0]!.team, route: plan.routes[0]!.name, signal: stop.signal,
		};
		const times: number[] = [];
		for (let round = 0; round < (isQuick ? QUICK_ROUNDS : ROUNDS); round++) {
			times.push(await measureRound(context));
			writeLine(`round ${round + 1}: last connection refused after ${times.at(-1)!.toFixed(0)} ms`);
		}

		return createResult(name, deployment.hosts.length, times);
	} finally {
		stop.abort();
	}
}

function createResult(deployment: string, hosts: number, times: readonly number[]): MeasurementResult {
	const ordered = times.toSorted((left, right) => left - right);
	const longest = ordered.at(-1)!;
	return {
		name: 'withdraw',
		groups: [{
			title: `${deployment}, ${hosts} proxies, ${BUSY_CONNECTIONS} busy and ${BUSY_CONNECTIONS} idle connections of the key on each, platform healthy, ${times.length} rounds`,
			figures: [
				{name: 'last open connection refused after, median', value: ordered[Math.floor(ordered.length / 2)]!, unit: 'ms'},
				{
					name: 'last open connection refused after, longest', value: longest, unit: 'ms', target: `under ${TARGET_MS} ms`, isMet: longest < TARGET_MS,
				},
			],
		}],
		brokenPromises: times.filter(time => time >= TIMEOUT_MS).map(time => `a withdrawn key was still accepted after ${time.toFixed(0)} ms`),
	};
}

/** Returns the time from withdrawing a key to the refusal of its last connection, in milliseconds; at most `TIMEOUT_MS`. */
async function measureRound(context: WithdrawContext): Promise<number> {
	const {deployment, clock} = context;
	const issued = await runCtl(context, ['key', 'give', context.team, '--wait', '--json']);
	const {key, keyId} = JSON.parse(issued) as {readonly key: string; readonly keyId: string};
	const connections = await Promise.all(deployment.hosts.flatMap(host =>
		Array.from({length: 2 * BUSY_CONNECTIONS}, async (_value, index) => openKeyConnection(context, host.callerPort, key, index < BUSY_CONNECTIONS))));
	await waitForTraffic(context, connections);
	const startedAt = clock.readNow();
	await runCtl(context, ['key', 'withdraw', keyId]);
	const refusals = await Promise.all(connections.map(async connection =>
		Promise.race([connection.refusedAt, waitUntil(clock, startedAt + TIMEOUT_MS, context.signal).then(() => startedAt + TIMEOUT_MS)])));
	return Math.max(...refusals) - startedAt;
}

/** Waits until half of the connections, as many as are busy, have received a response. */
async function waitForTraffic({clock, signal}: WithdrawContext, connections: readonly KeyConnection[]): Promise<void> {
	const deadline = clock.readNow() + TIMEOUT_MS;
	while (connections.filter(connection => connection.countResponses() > 0).length < connections.length / 2) {
		if (clock.readNow() > deadline) {
			throw new MeasureError('timed out waiting for responses on the busy connections of the key');
		}

		await waitUntil(clock, clock.readNow() + POLL_INTERVAL_MS, signal);
	}
}

async function openKeyConnection({clock, team, route, signal}: WithdrawContext, port: number, password: string, isBusy: boolean): Promise<KeyConnection> {
	const client = new pg.Client({
		host: '127.0.0.1', port, user: team, password, database: route,
	});
	let responses = 0;
	const refusal = new AbortController();
	const refusedAt = once(refusal.signal, 'abort').then(() => clock.readNow());
	client.on('error', () => {
		refusal.abort();
	});
	await client.connect();

	async function sendStatements(): Promise<void> {
		try {
			while (!signal.aborted) {
				await client.query('SELECT 1');
				responses++;
				await waitUntil(clock, clock.readNow() + POLL_INTERVAL_MS + (BUSY_CONNECTIONS * 10), signal);
			}
		} catch {
			refusal.abort();
		}
	}

	if (isBusy) {
		void sendStatements();
	}

	return {refusedAt, countResponses: () => responses};
}

/** Runs heatherpondctl against the first host and returns its output. */
async function runCtl({deployment, clock, signal}: WithdrawContext, args: readonly string[]): Promise<string> {
	const output: string[] = [];
	const io: CtlIo = {
		env: {HEATHERPOND_HOSTS: deployment.hosts[0]!.identity.peerAddress},
		async readFile() {
			throw new MeasureError('unexpected file access: the commands of this measurement read no files');
		},
		readUrl: async () => '',
		writeOutput(line) {
			output.push(line);
		},
		writeError(line) {
			output.push(line);
		},
		clock,
		createId: randomUUID,
		createKey: randomUUID,
		signal,
	};
	const exitCode = await executeCtl(args, io);
	if (exitCode !== EXIT.done) {
		throw new MeasureError(`heatherpondctl ${args.join(' ')} exited with code ${exitCode}: ${output.join('\n')}`);
	}

	return output.join('\n');
}
