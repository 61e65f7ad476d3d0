import {Buffer} from 'node:buffer';
import {
	afterAll, beforeAll, describe, expect, test,
} from '@jest/globals';
import fc from 'fast-check';
import type {ExecutedStatement} from 'heatherpond-standin';
import {serialize} from 'pg-protocol';
import {startTestGroup, type TestGroup} from '../support/test-group.js';
import {openWireClient, type WireClient} from '../support/wire-client.js';

const SEED = 20_261_206;
const RUNS = 80;

let fixture: TestGroup;
const executed: ExecutedStatement[] = [];

beforeAll(async () => {
	fixture = await startTestGroup({maxConnections: 1});
	fixture.group.members.forEach(({observer}) => {
		observer.handleStatement = statement => {
			executed.push(statement);
		};
	});
});

afterAll(async () => {
	await fixture.stop();
});

/** Any text that the protocol can carry, and such that a parser somewhere may take for more than a text. */
const text = fc.oneof(
	fc.string({unit: 'binary', maxLength: 12}).filter(value => !value.includes('\0') && Buffer.from(value).toString() === value),
	fc.constantFrom('', ' ', '\n', '\'', '"', '\\', String.raw`\'`, '$1', ';', '--', '/*', '*/', 'hp_1', 'hp_2', 'S', 'PREPARE', 'a b', 'a\nb'),
	fc.constantFrom('\u00A0', '\uFEFF', '\u2028', 'é', '💧', '{}', '%s', ':', '/', '\r\n'),
);
const client = fc.nat({max: 2});
const name = fc.oneof(
	{weight: 6, arbitrary: fc.constantFrom('s', 'hp_1', 'a b')},
	{weight: 1, arbitrary: text.filter(value => value !== '')},
);

type Step
	= | {readonly kind: 'prepare' | 'run'; readonly client: number; readonly name: string; readonly content: string}
		| {readonly kind: 'set'; readonly client: number; readonly variable: string; readonly content: string}
		| {readonly kind: 'reset' | 'discard' | 'fail'; readonly client: number};

const step: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 3, arbitrary: fc.record({
			kind: fc.constant('prepare' as const), client, name, content: text,
		}),
	},
	{
		weight: 4, arbitrary: fc.record({
			kind: fc.constant('run' as const), client, name, content: text,
		}),
	},
	{
		weight: 2, arbitrary: fc.record({
			kind: fc.constant('set' as const), client, variable: fc.constantFrom('a.one', 'a.two', 'datestyle'), content: text,
		}),
	},
	{weight: 1, arbitrary: fc.record({kind: fc.constantFrom('reset' as const, 'reset' as const, 'discard' as const, 'fail' as const, 'fail' as const), client})},
);

function formatLiteral(value: string): string {
	return `'${value.replaceAll('\'', '\'\'')}'`;
}

/** What one client has prepared and set, as its own connection to a database would have it. */
type Session = {readonly wire: WireClient; readonly statements: Map<string, string>; settings: Record<string, string>};

async function sendStep(session: Session, current: Step): Promise<void> {
	const {wire} = session;
	switch (current.kind) {
		case 'prepare': {
			const query = `SELECT pg_sleep(0), $1, ${formatLiteral(current.content)} -- ${current.content.replaceAll(/[\r\n]/gv, ' ')}`;
			wire.send(serialize.close({type: 'S', name: current.name}), serialize.parse({name: current.name, text: query}), serialize.sync());
			session.statements.set(current.name, query);
			break;
		}

		case 'run': {
			wire.send(serialize.bind({statement: current.name, values: [current.content]}), serialize.execute(), serialize.sync());
			break;
		}

		case 'set': {
			wire.send(serialize.query(`SET ${current.variable} TO ${formatLiteral(current.content)} -- ;`));
			session.settings = {...session.settings, [current.variable]: current.content};
			break;
		}

		case 'reset': {
			wire.send(serialize.query('RESET ALL'));
			session.settings = {};
			break;
		}

		case 'discard': {
			wire.send(serialize.query('DISCARD ALL'));
			session.statements.clear();
			session.settings = {};
			break;
		}

		case 'fail': {
			wire.send(serialize.parse({text: 'SELECT pg_sleep(0), unknown'}), serialize.bind({}), serialize.execute(), serialize.parse({text: 'SELECT pg_sleep(0), $1'}), serialize.sync());
			break;
		}
	}

	await wire.waitForReady();
}

describe('clients that share one connection to a database', () => {
	test('each runs what it prepared itself, with its own values and settings', async () => {
		let runCount = 0;
		await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 10, maxLength: 40}), async steps => {
			const sockets = await Promise.all([0, 1, 2].map(async () => fixture.openSocket()));
			const sessions = await Promise.all(sockets.map<Promise<Session>>(async socket => ({wire: await openWireClient(socket), statements: new Map(), settings: {}})));
			for (const current of steps) {
				const session = sessions[current.client]!;
				executed.length = 0;
				const errorCount = session.wire.readErrors().length;
				await sendStep(session, current);
				if (current.kind === 'run') {
					const query = session.statements.get(current.name);
					const errors = session.wire.readErrors().slice(errorCount);
					const runs = executed.filter(statement => statement.text.startsWith('SELECT'));
					expect([runs, errors]).toEqual(query === undefined ? [[], ['26000']] : [[{text: query, values: [current.content], settings: session.settings}], []]);
					runCount += runs.length;
				}
			}

			sockets.forEach(socket => {
				socket.destroy();
			});
		}), {seed: SEED, numRuns: RUNS});
		expect(runCount).toBeGreaterThan(RUNS);
	});
});
