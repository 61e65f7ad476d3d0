/** Runs a local deployment for demonstration, with a short workload and an optional failover. */
import {waitUntil, type Clock} from 'heatherpond-core';
import pg from 'pg';
import * as z from 'zod';
import type {DeploymentPlan} from './deployment-plan.js';
import {startLocalDeployment, type LocalDeployment} from './local-deployment.js';

/** Machine-readable description of a running demo, printed as one line of JSON. */
export const demoDescriptionSchema = z.strictObject({
	ready: z.literal(true),
	proxies: z.array(z.strictObject({host: z.string(), port: z.number().int().positive(), domain: z.string()})).min(1),
	/** Address to which `heatherpondctl` connects. */
	admin: z.string(),
	routes: z.array(z.strictObject({database: z.string(), open: z.boolean(), group: z.string()})).min(1),
	/** Key of each team, generated at start and valid in this demo only. */
	keys: z.record(z.string(), z.string()),
	/** Statements for the closed routes: `insert` stores the value `$2` under the key `$1`; `select` reads the value of the key `$1`. */
	schema: z.strictObject({insert: z.string(), select: z.string()}),
});

export type DemoDescription = z.infer<typeof demoDescriptionSchema>;

/** Options of {@link startDemo}. */
export type DemoOptions = {
	readonly plan: DeploymentPlan;
	readonly clock: Clock;
	/** Whether to stop the first group's primary after the workload, to demonstrate a failover. */
	readonly isPrimaryStopped?: boolean;
	/** Receives the output line by line; the last line is a {@link DemoDescription} as JSON. */
	readonly writeLine: (line: string) => void;
	readonly signal: AbortSignal;
};

const HOST_LIST_LAG_MS = 1000;

/** Starts a deployment, runs the demo workload, and prints a description of the deployment once clients can connect. */
export async function startDemo(options: DemoOptions): Promise<LocalDeployment> {
	const {plan, clock, writeLine, signal} = options;
	const deployment = await startLocalDeployment({
		plan, hostsPerDomain: 1, clock, logLevel: 'warn', hostListLagMs: HOST_LIST_LAG_MS, signal,
	});
	await runDemoWorkload(deployment, writeLine);
	if (options.isPrimaryStopped) {
		await runDemoFailover(deployment, options);
	}

	writeLine(JSON.stringify(createDemoDescription(deployment)));
	return deployment;
}

const LOOPBACK = '127.0.0.1';

/** Creates the machine-readable description of a deployment. */
export function createDemoDescription(deployment: LocalDeployment): DemoDescription {
	const {plan, hosts, keys} = deployment;
	return {
		ready: true,
		proxies: hosts.map(host => ({host: LOOPBACK, port: host.callerPort, domain: host.identity.domain})),
		admin: hosts[0]!.identity.peerAddress,
		routes: plan.routes.map(route => ({database: route.name, open: route.open, group: route.group})),
		keys: Object.fromEntries(keys),
		schema: {
			insert: `INSERT INTO ${plan.table} (id, value) VALUES ($1, $2)`,
			select: `SELECT value FROM ${plan.table} WHERE id = $1`,
		},
	};
}

/**
 * Writes a row through the first host and reads it through every other host with the session token of the write. Prints
 * one line for each step.
 */
export async function runDemoWorkload(deployment: LocalDeployment, writeLine: (line: string) => void): Promise<void> {
	const description = createDemoDescription(deployment);
	const [team, key] = Object.entries(description.keys)[0]!;
	const closed = description.routes.filter(route => !route.open);
	await Promise.all(closed.map(async route => runWithClient(description.proxies[0]!.port, [team, key, route.database], async client => {
		await client.query(`CREATE TABLE IF NOT EXISTS ${deployment.plan.table} (id text PRIMARY KEY, value text)`);
	})));
	const token = await runWithClient(description.proxies[0]!.port, [team, key, closed[0]!.database], async client => {
		await client.query(description.schema.insert, ['welcome', 'hello']);
		const result = await client.query<{'heatherpond.session': string}>('SHOW heatherpond.session');
		return result.rows[0]!['heatherpond.session'];
	});
	writeLine(`${team} wrote a row through ${description.proxies[0]!.domain} and got the session token ${token}`);
	for (const proxy of description.proxies.slice(1)) {
		const value = await runWithClient(proxy.port, [team, key, closed[0]!.database], async client => {
			await client.query(`SET heatherpond.session = '${token}'`);
			const result = await client.query<{value: string}>(description.schema.select, ['welcome']);
			return result.rows[0]?.value;
		});
		writeLine(`${team} read ${JSON.stringify(value)} through ${proxy.domain} with that token`);
	}
}

const FAILOVER_POLL_MS = 5;

/** Stops the primary of the first group permanently and waits until another member has been promoted. */
async function runDemoFailover({databases, hosts, plan}: LocalDeployment, {clock, writeLine, signal}: DemoOptions): Promise<void> {
	const {name} = plan.groups[0]!;
	const [firstPrimary] = databases;
	firstPrimary!.faults.isDown = true;
	const stoppedAt = clock.readNow();
	const {blackboard} = hosts[0]!;
	while (!signal.aborted && blackboard.read().view.groups[name]?.primary === firstPrimary!.member.name) {
		await waitUntil(clock, clock.readNow() + FAILOVER_POLL_MS, signal);
	}

	writeLine(`${firstPrimary!.member.name} was stopped; ${blackboard.read().view.groups[name]?.primary} is primary of ${name} after ${Math.round(clock.readNow() - stoppedAt)} ms`);
}

/** Credentials and database name of a client connection. */
type Login = readonly [team: string, key: string, database: string];

/** Runs `callback` with a client connection and closes the connection afterwards. */
async function runWithClient<Result>(port: number, [user, password, database]: Login, callback: (client: pg.Client) => Promise<Result>): Promise<Result> {
	const client = new pg.Client({
		host: LOOPBACK, port, user, password, database,
	});
	await client.connect();
	try {
		return await callback(client);
	} finally {
		await client.end();
	}
}
