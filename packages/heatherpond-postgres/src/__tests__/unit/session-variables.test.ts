import {Buffer} from 'node:buffer';
import {
	afterEach, beforeEach, describe, expect, test,
} from '@jest/globals';
import fc from 'fast-check';
import type pg from 'pg';
import {startObservedGroup, type ObservedGroup} from '../support/observed-group.js';

let fixture: ObservedGroup;

beforeEach(async () => {
	fixture = await startObservedGroup();
});

afterEach(async () => {
	await fixture.stop();
});

async function openClients(count: number): Promise<readonly pg.Client[]> {
	return Promise.all(Array.from({length: count}, async () => fixture.openClient()));
}

/** Runs a statement after another session has used the connections, and returns the settings that it ran under. */
async function readSettings(client: pg.Client, other: pg.Client): Promise<Readonly<Record<string, string>>> {
	await other.query('SELECT pg_sleep(0)');
	fixture.executed.length = 0;
	await client.query('SELECT pg_sleep(0)');
	return fixture.executed.findLast(({text}) => text === 'SELECT pg_sleep(0)')!.settings;
}

describe('session variables on pooled connections', () => {
	test('a comment behind SET does not swallow the variables that follow it', async () => {
		const [client, other] = await openClients(2);
		await client!.query('SET a.one TO \'1\' -- first');
		await client!.query('SET a.two TO \'2\'; -- second');
		expect(await readSettings(client!, other!)).toEqual({'a.one': '1', 'a.two': '2'});
	});

	test('one variable under two spellings is one variable', async () => {
		const [client, other] = await openClients(2);
		await client!.query('SET timezone TO \'A\'');
		await client!.query('SET "TimeZone" TO \'B\'');
		await client!.query('SET TIMEZONE TO \'C\'');
		expect(await readSettings(client!, other!)).toEqual({timezone: 'C'});
		await client!.query('RESET "TimeZone"');
		expect(await readSettings(client!, other!)).toEqual({});
	});

	test('a setting of the proxy takes one value, in any spelling', async () => {
		const client = await fixture.openClient();
		await client.query('SET "Heatherpond.Once" TO \'k\'');
		const {rows} = await client.query('SHOW "HEATHERPOND.ONCE"');
		expect(rows).toEqual([{'heatherpond.once': 'k'}]);
		await client.query('SET heatherpond.once TO 0');
		const zero = await client.query('SHOW heatherpond.once');
		expect(zero.rows).toEqual([{'heatherpond.once': '0'}]);
		await expect(client.query('SET heatherpond.once TO \'a\', \'b\'')).rejects.toMatchObject({code: '0A000'});
	});

	test('a session gets every value that it has set, whatever the characters', async () => {
		const [client, other] = await openClients(2);
		const text = fc.string({unit: 'binary'}).filter(value => !value.includes('\0') && Buffer.from(value).toString() === value);
		const value = fc.oneof(text, fc.constantFrom('\'', '\\', String.raw`\'`, 'a; SET b.c TO 1', '--', '/*', '$1', '\n', '\'\'; DISCARD ALL; --'));
		const variables = fc.dictionary(fc.constantFrom('a.one', 'a.two', 'b.three'), value, {minKeys: 1});
		const end = fc.constantFrom('', ' -- c', '; -- c', ' /* c; */', ';;');
		await fc.assert(fc.asyncProperty(variables, end, async (values, ending) => {
			await client!.query('RESET ALL');
			for (const [name, content] of Object.entries(values)) {
				await client!.query(`SET ${name} TO '${content.replaceAll('\'', '\'\'')}'${ending}`);
			}

			expect(await readSettings(client!, other!)).toEqual(values);
		}), {seed: 20_261_206, numRuns: 60});
	});
});
