import {
	afterAll, beforeAll, describe, expect, test,
} from '@jest/globals';
import {createSystemClock, type FleetEvent} from 'heatherpond-core';
import {executeCtl, EXIT} from 'heatherpond-ctl';
import {formatHybridTime} from 'heatherpond-observe';
import pg from 'pg';
import {KRINGLOOP} from '../../deployment-plan.js';
import {startLocalDeployment, type LocalDeployment} from '../../local-deployment.js';

const clock = createSystemClock();
const stop = new AbortController();
let deployment: LocalDeployment;

beforeAll(async () => {
	deployment = await startLocalDeployment({
		plan: KRINGLOOP, hostsPerDomain: 1, clock, logLevel: 'silent', hostListLagMs: 0, signal: stop.signal,
	});
});

afterAll(() => {
	stop.abort();
});

type CtlResult = {readonly exitCode: number; readonly output: string; readonly error: string};

/** Runs `heatherpondctl timeline`; `files` are the contents of the files it reads, by path. */
async function runTimeline(args: readonly string[], files: Readonly<Record<string, string>> = {}): Promise<CtlResult> {
	return runCtl(['timeline', ...args], files);
}

/** Runs `heatherpondctl` in this process against all hosts. */
async function runCtl(args: readonly string[], files: Readonly<Record<string, string>> = {}): Promise<CtlResult> {
	const output: string[] = [];
	const errors: string[] = [];
	const exitCode = await executeCtl(args, {
		env: {HEATHERPOND_HOSTS: deployment.hosts.map(host => host.identity.peerAddress).join(',')},
		readFile: async path => files[path]!,
		readUrl: async () => '',
		writeOutput(line) {
			output.push(line);
		},
		writeError(line) {
			errors.push(line);
		},
		clock,
		createId: () => 'unused',
		createKey: () => 'unused',
		signal: stop.signal,
	});
	return {exitCode, output: output.join('\n'), error: errors.join('\n')};
}

/** Reads the events that `heatherpondctl timeline --json` prints. */
async function readEvents(args: readonly string[], files?: Readonly<Record<string, string>>): Promise<readonly FleetEvent[]> {
	const result = await runTimeline([...args, '--json'], files);
	expect(result).toMatchObject({exitCode: EXIT.done, error: ''});
	return (JSON.parse(result.output) as {readonly events: readonly FleetEvent[]}).events;
}

describe('heatherpondctl timeline and top', () => {
	test('lists when each host applied a change', async () => {
		const version = await deployment.appendChange({kind: 'upstreamLeft', group: deployment.databases[0]!.group.name, database: 'nowhere'});
		await deployment.waitForVersion(version);
		const events = await readEvents(['--version', String(version), '--kind', 'entryApplied']);

		expect(new Set(events.map(event => event.at.host))).toEqual(new Set(deployment.hosts.map(host => host.identity.host)));
	});

	test('shows the route of a request and its reason, as text and as an HTML page', async () => {
		const {team, routes} = KRINGLOOP.contracts[0]!;
		const client = new pg.Client({
			host: '127.0.0.1', port: deployment.hosts[0]!.callerPort, user: team, password: deployment.keys.get(team), database: routes[0],
		});
		await client.connect();
		await client.query('SELECT 1');
		await client.end();
		const [routed] = await readEvents(['--kind', 'requestRouted']);
		const text = await runTimeline(['--request', routed!.request!]);
		const page = await runTimeline(['--request', routed!.request!, '--html']);

		expect(routed!.reason).toBeDefined();
		expect(text.output).toContain(`reason=${routed!.reason}`);
		expect(page.output).toContain('<svg');
		expect(page.output).toContain(routed!.request);
	});

	test('top shows the stage durations of a team\'s requests on each host', async () => {
		const {exitCode, output} = await runCtl(['top']);

		expect(exitCode).toBe(EXIT.done);
		expect(output).toMatch(new RegExp(String.raw`${deployment.hosts[0]!.identity.host} +${KRINGLOOP.contracts[0]!.team} +\S+ +upstream +1 `, 'v'));
	});

	test('names hosts that do not respond, and prints the events of the others', async () => {
		const last = deployment.hosts.at(-1)!;
		last.kill();
		const result = await runTimeline(['--kind', 'processStarted']);

		expect(result.exitCode).toBe(EXIT.done);
		expect(result.output).toContain(`# ${last.identity.host} gave no answer`);
	});

	test('merges saved JSON and text logs in the order of their hybrid times', async () => {
		const later = {
			kind: 'promotionStep', group: 'g', step: 'raising', at: {wallMs: 20, counter: 0, host: 'h1'},
		};
		const line = `time=2026-05-12T10:00:00.000Z level=info event=databaseSuspected host=h2 domain=d group=g at=${formatHybridTime({wallMs: 10, counter: 1, host: 'h2'})}`;
		const events = await readEvents(['--log', 'a.json', '--log', 'b.log', '--failover', '--group', 'g'], {'a.json': JSON.stringify(later), 'b.log': line});

		expect(events.map(event => event.kind)).toEqual(['databaseSuspected', 'promotionStep']);
	});

	test('rejects an unknown event kind and an invalid start time as bad input', async () => {
		expect(await runTimeline(['--kind', 'weather'])).toMatchObject({exitCode: EXIT.badInput});
		const result = await runTimeline(['--from', 'yesterday']);
		expect(result.exitCode).toBe(EXIT.badInput);
		expect(result.error).toContain('yesterday');
	});
});
