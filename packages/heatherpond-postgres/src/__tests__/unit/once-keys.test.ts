import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {
	afterAll, beforeAll, describe, expect, test,
} from '@jest/globals';
import fc from 'fast-check';
import type pg from 'pg';
import {ONCE_TABLE} from '../../once-request.js';
import {startTestGroup, type TestGroup} from '../support/test-group.js';

const SEED = 20_261_206;

let fixture: TestGroup;
let client: pg.Client;

beforeAll(async () => {
	fixture = await startTestGroup({maxConnections: 1});
	client = await fixture.openClient();
	await client.query('CREATE TABLE t (id text PRIMARY KEY, value text)');
});

afterAll(async () => {
	await fixture.stop();
});

function readKeys(): readonly string[] {
	return [...fixture.group.members[0]!.database.store.findTable(ONCE_TABLE)?.rows.keys() ?? []];
}

describe('idempotency keys', () => {
	test('every key is recorded as it was set, and runs its write once', async () => {
		const text = fc.string({unit: 'binary', minLength: 1, maxLength: 60}).filter(value => !value.includes('\0') && Buffer.from(value).toString() === value);
		const key = fc.oneof(text, fc.constantFrom('\'', '\\', String.raw`\'`, 'a\'; DELETE FROM t; --', '$1', 'a/b', 'a:b', '\n', ' ', '%s'));
		const keys = new Set<string>();
		await fc.assert(fc.asyncProperty(key, async id => {
			const count = fixture.countRows('t');
			const isNew = !keys.has(id);
			keys.add(id);
			for (const _ of [1, 2]) {
				await client.query(`SET heatherpond.once TO '${id.replaceAll('\'', '\'\'')}'`);
				await client.query('INSERT INTO t (id, value) VALUES ($1, $2)', [id, 'v w']);
			}

			expect(fixture.countRows('t')).toBe(count + (isNew ? 1 : 0));
			expect(new Set(readKeys())).toEqual(keys);
		}), {seed: SEED, numRuns: 80});
	});

	test('requests with the same bytes in other places are different requests', async () => {
		const requests = [['a', 'bc'], ['ab', 'c'], ['', 'abc'], ['abc', '']] as const;
		for (const [index, [left, right]] of requests.entries()) {
			await client.query('SET heatherpond.once TO \'one key\'');
			const run = client.query('INSERT INTO t (id, value) VALUES ($1, $2)', [left, right]);
			await (index === 0 ? run : expect(run).rejects.toMatchObject({code: 'HP009'}));
		}
	});

	test('the same request of another team with the same key is not answered as its repeat', async () => {
		const keyHash = createHash('sha256').update('other key').digest('hex');
		fixture.blackboard.update(state => ({
			...state,
			view: {
				...state.view,
				contracts: {...state.view.contracts, other: {...state.view.contracts.team!, team: 'other'}},
				keys: {
					...state.view.keys, [keyHash]: {
						keyId: 'o', team: 'other', keyHash, isWithdrawn: false,
					},
				},
			},
		}));
		const other = await fixture.openClient({user: 'other', password: 'other key'});
		const write = {text: 'INSERT INTO t (id, value) VALUES ($1, $2)', values: ['booking', 'v']};
		await client.query('SET heatherpond.once TO \'booking\'');
		await client.query(write);
		await other.query('SET heatherpond.once TO \'booking\'');
		await expect(other.query(write)).rejects.toMatchObject({code: 'HP009'});
		await client.query('SET heatherpond.once TO \'booking\'');
		await client.query(write);
	});
});
