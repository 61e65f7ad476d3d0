import {createHash} from 'node:crypto';
import {
	afterAll, beforeAll, describe, expect, test,
} from '@jest/globals';
import {createSystemClock} from 'heatherpond-core';
import {executeCtl, EXIT} from 'heatherpond-ctl';
import pg from 'pg';
import {KRINGLOOP} from '../../deployment-plan.js';
import {startLocalDeployment, type LocalDeployment} from '../../local-deployment.js';

const clock = createSystemClock();
const stop = new AbortController();
let deployment: LocalDeployment;
let nextId = 0;

beforeAll(async () => {
	deployment = await startLocalDeployment({
		plan: KRINGLOOP, hostsPerDomain: 1, clock, logLevel: 'silent', hostListLagMs: 0, signal: stop.signal,
	});
});

afterAll(() => {
	stop.abort();
});

type CtlResult = {readonly exitCode: number; readonly output: string; readonly error: string};

/** Runs `heatherpondctl` in this process against all hosts; `files` are the contents of the files it reads, by path. */
async function runCtl(args: readonly string[], {hosts = [], files = {}}: {readonly hosts?: readonly string[]; readonly files?: Readonly<Record<string, string>>} = {}): Promise<CtlResult> {
	const output: string[] = [];
	const errors: string[] = [];
	const exitCode = await executeCtl(args, {
		env: {HEATHERPOND_HOSTS: [...hosts, ...deployment.hosts.map(host => host.identity.peerAddress)].join(',')},
		async readFile(path) {
			if (files[path] === undefined) {
				throw new Error(`no file ${path}`);
			}

			return files[path];
		},
		readUrl: async () => '',
		writeOutput(line) {
			output.push(line);
		},
		writeError(line) {
			errors.push(line);
		},
		clock,
		createId: () => `operation-${nextId++}`,
		createKey: () => `key-${nextId++}`,
		signal: stop.signal,
	});
	return {exitCode, output: output.join('\n'), error: errors.join('\n')};
}

function readJson<Output>(result: CtlResult): Output {
	return JSON.parse(result.output) as Output;
}

function formatContract(team: string, rate: number, routes = '["bookings-jhb"]'): string {
	return `[[contract]]\nteam = "${team}"\nroutes = ${routes}\nrate = ${rate}\nburst = 10\n`;
}

async function openClient(host: number, user: string, password: string): Promise<pg.Client> {
	const client = new pg.Client({
		host: '127.0.0.1', port: deployment.hosts[host]!.callerPort, user, password, database: 'bookings-jhb',
	});
	client.on('error', () => undefined);
	await client.connect();
	return client;
}

describe('heatherpondctl contract', () => {
	test('apply waits until the file is in force on every host, and a repeated apply changes nothing', async () => {
		const files = {'teams.toml': formatContract('soweto', 50)};
		const first = await runCtl(['contract', 'apply', 'teams.toml', '--wait'], {files});
		expect(first).toMatchObject({exitCode: EXIT.done, output: expect.stringContaining('in force on every host')});
		expect(deployment.hosts.map(host => host.blackboard.read().view.contracts.soweto?.rate)).toEqual([50, 50, 50]);
		expect(await runCtl(['contract', 'apply', 'teams.toml'], {files})).toMatchObject({exitCode: EXIT.done, output: 'nothing to change'});
	});

	test.each([
		['a file with an unknown route', formatContract('soweto', 50, '["nowhere"]'), EXIT.refused, 'unknown route "nowhere"; routes: bookings-cpt'],
		['a file with a value of the wrong type', formatContract('soweto', 50).replace('50', '"fast"'), EXIT.badInput, 'bad.toml: contract.0.rate has the value "fast"'],
		['a file with an unknown key', `${formatContract('soweto', 50)}ratte = 1`, EXIT.badInput, 'bad.toml: contract.0.ratte has the value 1: allowed keys: team, routes, rate'],
		['a file that is not valid TOML', '[[', EXIT.badInput, 'bad.toml: the file is not valid TOML'],
		['an empty file', '', EXIT.badInput, 'at least one [[contract]]'],
	])('%s is refused with a message that locates the fault', async (_name, text, exitCode, message) => {
		expect(await runCtl(['contract', 'apply', 'bad.toml'], {files: {'bad.toml': text}})).toMatchObject({exitCode, error: expect.stringContaining(message)});
	});

	test('apply based on an outdated version reports a conflict with the intervening change and its author', async () => {
		const {version} = readJson<{version: number}>(await runCtl(['contract', 'list', '--json']));
		const basedOn = ['--based-on', String(version)];
		const first = await runCtl(['contract', 'apply', 'a.toml', '--author', 'nomsa', ...basedOn], {files: {'a.toml': formatContract('race', 50)}});
		const second = await runCtl(['contract', 'apply', 'b.toml', '--author', 'pieter', ...basedOn], {files: {'b.toml': formatContract('race', 60)}});
		expect(first.exitCode).toBe(EXIT.done);
		expect(second).toMatchObject({exitCode: EXIT.conflict, output: expect.stringMatching(/nomsa {2}contractApplied team race/v)});
		expect(await runCtl(['contract', 'show', 'race'])).toMatchObject({output: expect.stringContaining('rate = 50')});
	});

	test('concurrent changes of different contracts both succeed', async () => {
		const results = await Promise.all(['left', 'right'].map(async team => runCtl(['contract', 'apply', 'one.toml'], {files: {'one.toml': formatContract(team, 50)}})));
		expect(results.map(result => result.exitCode)).toEqual([EXIT.done, EXIT.done]);
	});

	test('history lists every change of a team\'s contract with its author', async () => {
		await runCtl(['contract', 'apply', 'a.toml', '--author', 'nomsa'], {files: {'a.toml': formatContract('history', 1)}});
		await runCtl(['contract', 'remove', 'history', '--author', 'pieter']);
		const {output} = await runCtl(['contract', 'history', 'history']);
		expect(output.split('\n').map(line => line.split('  ').slice(2).join(' '))).toEqual(['nomsa contractApplied team history', 'pieter contractRemoved team history']);
	});
});

describe('heatherpondctl key and upstream', () => {
	test('a new key is accepted, is stored only as a hash, and is refused by every host once withdrawn', async () => {
		const {keyId, key} = readJson<{keyId: string; key: string}>(await runCtl(['key', 'give', 'durban', '--wait', '--json']));
		const client = await openClient(1, 'durban', key);
		const {view} = deployment.hosts[1]!.blackboard.read();
		expect(JSON.stringify(view, (_name, value: unknown) => typeof value === 'bigint' ? String(value) : value)).not.toContain(key);
		expect(view.keys[createHash('sha256').update(key).digest('hex')]).toMatchObject({keyId});
		const ended = new Promise(resolve => {
			client.once('error', resolve);
		});
		expect(await runCtl(['key', 'withdraw', keyId, '--wait'])).toMatchObject({exitCode: EXIT.done});
		await expect(ended).resolves.toMatchObject({code: '28P01'});
		await Promise.all([0, 1, 2].map(async host => expect(openClient(host, 'durban', key)).rejects.toMatchObject({code: '28P01'})));
	});

	test.each([
		['giving a key with an id that was used before', ['key', 'give', 'durban', '--key-id', 'durban-1'], 'a key id is used once'],
		['giving a key to a team without a contract', ['key', 'give', 'nobody'], 'team "nobody" has no contract'],
		['withdrawing an unknown key', ['key', 'withdraw', 'durban-99'], 'there is no key "durban-99"'],
		['draining the primary of a group', ['upstream', 'leave', 'sponsorship-jhb', 'sponsorship-jhb-jhb-a'], 'is the primary of group'],
		['draining an unknown database', ['upstream', 'leave', 'sponsorship-jhb', 'none'], 'has no database "none"'],
	])('%s is refused', async (_name, args, message) => {
		expect(await runCtl(args)).toMatchObject({exitCode: EXIT.refused, error: expect.stringContaining(message)});
	});

	test('a command repeated with the same operation id reports the earlier version and has no further effect', async () => {
		const first = await runCtl(['key', 'give', 'gqeberha', '--operation-id', 'again', '--json']);
		const second = await runCtl(['key', 'give', 'gqeberha', '--operation-id', 'again']);
		const {accepted: [{version}], keyId} = readJson<{accepted: [{version: number}]; keyId: string}>(first);
		expect(second.output).toBe(`accepted at version ${version}: key ${keyId} was given by the earlier run of this command; its key cannot be shown again`);
		const {keys} = readJson<{keys: unknown[]}>(await runCtl(['key', 'list', '--team', 'gqeberha', '--json']));
		expect(keys).toHaveLength(2);
	});
});

describe('heatherpondctl connections and commands', () => {
	test('a host that is down is skipped', async () => {
		expect(await runCtl(['status'], {hosts: ['127.0.0.1:1']})).toMatchObject({exitCode: EXIT.done, output: expect.stringContaining('3 of 3 serving')});
	});

	test('a command fails as unavailable when no host responds', async () => {
		const result = await runCtl(['upstream', 'leave', 'a', 'b', '--host', '127.0.0.1:1', '--timeout', '0.3']);
		expect(result).toMatchObject({exitCode: EXIT.unavailable, error: expect.stringContaining('no host gave an answer')});
	});

	test('upstream leave and return drain and restore a database', async () => {
		const database = ['sponsorship-jhb', 'sponsorship-jhb-cpt-a'];
		expect(await runCtl(['upstream', 'leave', ...database, '--wait'])).toMatchObject({exitCode: EXIT.done});
		expect(deployment.hosts[2]!.blackboard.read().view.groups['sponsorship-jhb']!.leaving).toEqual([database[1]]);
		expect(await runCtl(['upstream', 'return', ...database, '--wait'])).toMatchObject({exitCode: EXIT.done});
		expect(deployment.hosts[2]!.blackboard.read().view.groups['sponsorship-jhb']!.leaving).toEqual([]);
	});

	test.each([['contract'], ['contract', 'apply'], ['key', 'give'], ['upstream', 'leave'], ['group', 'switchover'], ['hosts'], ['status']])('%s %s prints its usage with --help', async (...names) => {
		expect(await runCtl([...names.filter(Boolean), '--help'])).toMatchObject({exitCode: EXIT.done, output: expect.stringContaining('heatherpondctl')});
	});

	test('an unknown command is reported as bad input', async () => {
		expect(await runCtl(['frobnicate'])).toMatchObject({exitCode: EXIT.badInput});
	});
});
