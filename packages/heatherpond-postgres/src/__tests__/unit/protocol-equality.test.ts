import type {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {
	afterAll, beforeAll, describe, expect, test,
} from '@jest/globals';
import fc from 'fast-check';
import {serialize} from 'pg-protocol';
import {parseServerError} from 'heatherpond-wire';
import {startTestGroup, type TestGroup} from '../support/test-group.js';
import {openWireClient, type WireClient} from '../support/wire-client.js';

const SEED = 20_261_203;
const RUNS = 60;

let fixture: TestGroup;

beforeAll(async () => {
	fixture = await startTestGroup({maxConnections: 2});
	const client = await fixture.openClient();
	await client.query('CREATE TABLE n (id text PRIMARY KEY, value integer)');
	await client.query('INSERT INTO n (id, value) VALUES (\'direct\', 0)');
	await client.query('INSERT INTO n (id, value) VALUES (\'proxied\', 0)');
	await client.end();
});

afterAll(async () => {
	await fixture.stop();
});

type Side = 'direct' | 'proxied';

const NAMES = ['', 'left', 'right'] as const;
const PORTALS = ['', 'portal'] as const;

/** Query texts; each side updates its own row, so that neither waits for a lock of the other. */
const TEXTS: ReadonlyArray<(side: Side) => string> = [
	() => 'SELECT 1 AS one',
	side => `SELECT count(*) AS rows FROM n WHERE id = '${side}'`,
	side => `UPDATE n SET value = value + 1 WHERE id = '${side}'`,
	() => 'SELECT * FROM missing',
	() => '',
];

type Step
	= | {readonly kind: 'parse'; readonly name: string; readonly text: number}
		| {readonly kind: 'bind'; readonly name: string; readonly portal: string}
		| {readonly kind: 'describeStatement' | 'closeStatement'; readonly name: string}
		| {readonly kind: 'describePortal' | 'execute'; readonly portal: string}
		| {readonly kind: 'sync'}
		| {readonly kind: 'query'; readonly text: string};

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
	fc.record({kind: fc.constant('parse' as const), name: fc.constantFrom(...NAMES), text: fc.nat({max: TEXTS.length - 1})}),
	fc.record({kind: fc.constant('bind' as const), name: fc.constantFrom(...NAMES), portal: fc.constantFrom(...PORTALS)}),
	fc.record({kind: fc.constantFrom('describeStatement' as const, 'closeStatement' as const), name: fc.constantFrom(...NAMES)}),
	fc.record({kind: fc.constantFrom('describePortal' as const, 'execute' as const), portal: fc.constantFrom(...PORTALS)}),
	fc.constant<Step>({kind: 'sync'}),
	fc.record({kind: fc.constant('query' as const), text: fc.constantFrom('BEGIN', 'COMMIT', 'ROLLBACK', 'SELECT 2 AS two', 'SELECT * FROM missing', '')}),
);

/** Steps kept so far, and the statement names and portals that exist after them. */
type Known = {readonly steps: readonly Step[]; readonly names: ReadonlySet<string>; readonly portals: ReadonlySet<string>};

/**
 * Removes steps that refer to unknown names. The proxy refuses such a request as a whole, unlike a database; other tests
 * cover that.
 */
function findValidSteps(steps: readonly Step[]): readonly Step[] {
	const {steps: valid} = steps.reduce<Known>((known, step) => applyStep(known, step), {steps: [], names: new Set(), portals: new Set()});
	return [...valid, {kind: 'sync'}];
}

function applyStep({steps, names, portals}: Known, step: Step): Known {
	const none = new Set<string>();
	switch (step.kind) {
		case 'parse': {
			// Each text is prepared in a separate request, so that an error leaves the name unknown on both sides.
			const added: Step[] = [{kind: 'sync'}, {kind: 'closeStatement', name: step.name}, step, {kind: 'sync'}];
			return {steps: [...steps, ...added], names: new Set([...names, step.name]), portals: none};
		}

		case 'bind': {
			return names.has(step.name) ? {steps: [...steps, step], names, portals: new Set([...portals, step.portal])} : {steps, names, portals};
		}

		case 'describeStatement':
		case 'closeStatement': {
			const rest = step.kind === 'closeStatement' ? new Set([...names].filter(name => name !== step.name)) : names;
			return names.has(step.name) ? {steps: [...steps, step], names: rest, portals} : {steps, names, portals};
		}

		case 'describePortal':
		case 'execute': {
			return portals.has(step.portal) ? {steps: [...steps, step], names, portals} : {steps, names, portals};
		}

		case 'sync': {
			return {steps: [...steps, step], names, portals: none};
		}

		case 'query': {
			const withoutUnnamed = new Set([...names].filter(name => name !== ''));
			return {steps: [...steps, {kind: 'sync'}, step], names: withoutUnnamed, portals: none};
		}
	}
}

function createMessage(step: Step, side: Side): Buffer {
	switch (step.kind) {
		case 'parse': {
			return serialize.parse({name: step.name, text: TEXTS[step.text]!(side)});
		}

		case 'bind': {
			return serialize.bind({portal: step.portal, statement: step.name});
		}

		case 'describeStatement': {
			return serialize.describe({type: 'S', name: step.name});
		}

		case 'closeStatement': {
			return serialize.close({type: 'S', name: step.name});
		}

		case 'describePortal': {
			return serialize.describe({type: 'P', name: step.portal});
		}

		case 'execute': {
			return serialize.execute({portal: step.portal});
		}

		case 'sync': {
			return serialize.sync();
		}

		case 'query': {
			return serialize.query(step.text);
		}
	}
}

/** Sends the steps and returns the formatted response to each request. */
async function runSteps(client: WireClient, steps: readonly Step[], side: Side): Promise<readonly string[]> {
	const responses: string[] = [];
	for (const step of steps) {
		client.send(createMessage(step, side));
		if (step.kind === 'sync' || step.kind === 'query') {
			const from = client.frames.length;
			await client.waitForReady();
			responses.push(formatResponse(client, from));
		}
	}

	return responses;
}

/** Formats message types, with SQLSTATEs, command tags and transaction states; ParameterStatus is left out. */
function formatResponse(client: WireClient, from: number): string {
	const end = client.frames.findIndex((frame, index) => index >= from && String.fromCodePoint(frame.type) === 'Z') + 1;
	return client.frames.slice(0, end).slice(from).map(frame => {
		const letter = String.fromCodePoint(frame.type);
		if (letter === 'E') {
			return `E(${parseServerError(frame.body).code})`;
		}

		return letter === 'Z' || letter === 'C' ? `${letter}(${frame.body.toString().replaceAll('\0', '')})` : letter;
	}).filter(text => text !== 'S').join(' ');
}

async function openSocket(port: number): Promise<Socket> {
	const socket = connect({port, host: '127.0.0.1', noDelay: true});
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	return socket;
}

describe('a session through the proxy', () => {
	test('receives the same messages as a session connected directly to the database', async () => {
		let responseCount = 0;
		await fc.assert(fc.asyncProperty(fc.array(stepArbitrary, {minLength: 3, maxLength: 25}), async steps => {
			const valid = findValidSteps(steps);
			const direct = await openWireClient(await openSocket(fixture.members[0]!.port), {user: 'proxy', password: 'secret', database: 'g'});
			const proxied = await openWireClient(await fixture.openSocket());
			const expected = await runSteps(direct, valid, 'direct');
			direct.socket.destroy();
			expect(await runSteps(proxied, valid, 'proxied')).toEqual(expected);
			proxied.socket.destroy();
			responseCount += expected.length;
		}), {seed: SEED, numRuns: RUNS});
		expect(responseCount).toBeGreaterThan(RUNS);
	});
});
