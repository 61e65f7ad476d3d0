/**
 * Measures read-your-writes consistency across hosts: sessions write through one proxy and read through each of the others
 * with their session token, while replicas lag.
 */
import {setMaxListeners} from 'node:events';
import {createSystemClock, waitUntil, type Clock} from 'heatherpond-core';
import {PLANS, startLocalDeployment, type LocalDeployment} from 'heatherpond-local';
import pg from 'pg';
import type {FigureGroup, MeasurementOptions, MeasurementResult} from './measurement.js';

const HOST_LIST_LAG_MS = 1000;
const REPLICATION_LAG_MS = 500;
const PAIRS = 2000;
const QUICK_PAIRS = 200;
/** Number of concurrent sessions. */
const CONCURRENCY = 20;
/** Rate and burst of every team, high enough that only the databases limit the load. */
const UNTHROTTLED_RATE = 100_000;

type RoamingContext = {readonly deployment: LocalDeployment; readonly clock: Clock; readonly signal: AbortSignal};

/** A series of sessions with the same delay rule between write and reads. */
type Phase = {
	readonly title: string;
	readonly prefix: string;
	/** Returns the delay between the write and the reads of a session, in milliseconds. */
	readonly readPauseMs: (session: number) => number;
	readonly pairs: number;
};

/** Number of reads of one session, and a line for each read that did not return its write. */
type PairResult = {readonly reads: number; readonly stale: readonly string[]};

/** Runs all phases and reports every stale read as a violation. */
export async function runRoamingMeasure({deployment: name, isQuick, writeLine, signal}: MeasurementOptions): Promise<MeasurementResult> {
	const clock = createSystemClock();
	const stop = new AbortController();
	const plan = {...PLANS[name], contracts: PLANS[name].contracts.map(contract => ({...contract, rate: UNTHROTTLED_RATE, burst: UNTHROTTLED_RATE}))};
	const pairs = isQuick ? QUICK_PAIRS : PAIRS;
	const phases: readonly Phase[] = [
		{
			title: 'read at once', prefix: 'now', readPauseMs: () => 0, pairs,
		},
		{
			title: 'read 0 to 2 s later', prefix: 'later', readPauseMs: session => session * 100 % 2000, pairs,
		},
	];
	try {
		setMaxListeners(0, stop.signal);
		const deployment = await startLocalDeployment({
			plan, hostsPerDomain: 1, clock, logLevel: 'silent', hostListLagMs: HOST_LIST_LAG_MS, signal: AbortSignal.any([signal, stop.signal]),
		});
		const context: RoamingContext = {deployment, clock, signal: stop.signal};
		await createTable(context);
		const groups: FigureGroup[] = [];
		const stale: string[] = [];
		for (const phase of phases) {
			const result = await runPhase(context, phase);
			groups.push(result.group);
			stale.push(...result.stale);
			writeLine(`${phase.title}: done`);
		}

		return {name: 'roaming', groups, brokenPromises: stale};
	} finally {
		stop.abort();
	}
}

/** Creates the table and then delays replication, so that replicas lag during all phases. */
async function createTable(context: RoamingContext): Promise<void> {
	const {deployment, clock, signal} = context;
	await useClient(context, 0, async client => client.query(`CREATE TABLE ${deployment.plan.table} (id text PRIMARY KEY, value text)`));
	deployment.databases.forEach(database => {
		database.faults.replicationLagMs = REPLICATION_LAG_MS;
	});
	await waitUntil(clock, clock.readNow() + (3 * REPLICATION_LAG_MS), signal);
}

async function runPhase(context: RoamingContext, phase: Phase): Promise<{readonly group: FigureGroup; readonly stale: readonly string[]}> {
	const {deployment} = context;
	const before = countReads(deployment);
	let next = 0;
	const results: PairResult[] = [];
	await Promise.all(Array.from({length: CONCURRENCY}, async () => {
		while (next < phase.pairs) {
			results.push(await runPair(context, phase, next++));
		}
	}));
	const after = countReads(deployment);
	const reads = results.reduce((sum, result) => sum + result.reads, 0);
	const primaryReads = after.primary - before.primary;
	const replicaReads = after.replica - before.replica;
	const stale = results.flatMap(result => result.stale);
	return {
		stale,
		group: {
			title: `${phase.title}: ${phase.pairs} roaming pairs, replicas lag ${REPLICATION_LAG_MS} ms`,
			figures: [
				{name: 'reads', value: reads, unit: 'reads'},
				{
					name: 'stale reads', value: stale.length, unit: 'reads', target: '0', isMet: stale.length === 0,
				},
				{name: 'share of reads that replicas served', value: 1 - (primaryReads / reads), unit: 'share'},
				{name: 'answers of replicas that were too old and not released', value: primaryReads + replicaReads - reads, unit: 'answers'},
			],
		},
	};
}

/** Counts the reads that databases have served so far, by their current role. */
function countReads({databases}: LocalDeployment): {readonly primary: number; readonly replica: number} {
	const counts = databases.map(({database, server}) => ({role: database.readStatus().role, reads: server.countReads()}));
	function countOf(role: string): number {
		return counts.filter(count => count.role === role).reduce((sum, count) => sum + count.reads, 0);
	}

	return {primary: countOf('primary'), replica: countOf('replica')};
}

/** Writes through one host, then reads through every other host with the session token of the write. */
async function runPair(context: RoamingContext, phase: Phase, session: number): Promise<PairResult> {
	const {deployment: {hosts, plan: {table}}, clock, signal} = context;
	const writer = session % hosts.length;
	const id = `${phase.prefix}-${session}`;
	const token = await useClient(context, writer, async client => {
		await client.query(`INSERT INTO ${table} (id, value) VALUES ($1, $2)`, [id, 'written']);
		const response = await client.query<{'heatherpond.session': string}>('SHOW heatherpond.session');
		return response.rows[0]!['heatherpond.session'];
	});
	await waitUntil(clock, clock.readNow() + phase.readPauseMs(session), signal);
	const readers = hosts.map((_host, index) => index).filter(index => index !== writer);
	const values = await Promise.all(readers.map(async reader => useClient(context, reader, async client => {
		await client.query(`SET heatherpond.session = '${token}'`);
		const response = await client.query<{value: string}>(`SELECT value FROM ${table} WHERE id = $1`, [id]);
		return response.rows[0]?.value;
	})));
	return {reads: values.length, stale: values.filter(value => value !== 'written').map(value => `session ${id} read ${JSON.stringify(value)} after its write`)};
}

/** Connects to a host, passes the client to `work`, and closes the connection afterwards. */
async function useClient<Result>({deployment: {hosts, plan, keys}}: RoamingContext, host: number, work: (client: pg.Client) => Promise<Result>): Promise<Result> {
	const {team} = plan.contracts[0]!;
	const client = new pg.Client({
		host: '127.0.0.1', port: hosts[host]!.callerPort, user: team, password: keys.get(team), database: plan.routes[0]!.name,
	});
	await client.connect();
	try {
		return await work(client);
	} finally {
		await client.end();
	}
}
