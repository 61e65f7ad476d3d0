import {
	afterEach, describe, expect, test,
} from '@jest/globals';
import fc from 'fast-check';
import type pg from 'pg';
import {formatSessionToken} from 'heatherpond-core';
import {startTestGroup, waitFor, type TestGroup} from '../support/test-group.js';

const SEED = 20_261_203;
const fixtures: TestGroup[] = [];

async function startFixture(): Promise<TestGroup> {
	const fixture = await startTestGroup({limits: {silenceMs: 300, requestTimeoutMs: 3000}});
	fixtures.push(fixture);
	const client = await fixture.openClient();
	await client.query('CREATE TABLE t (id text PRIMARY KEY, value text)');
	await client.query('CREATE TABLE n (id text PRIMARY KEY, value integer)');
	await client.query('INSERT INTO n (id, value) VALUES (\'n\', 0)');
	await client.end();
	return fixture;
}

afterEach(async () => {
	await Promise.all(fixtures.splice(0).map(async fixture => fixture.stop()));
});

function readCounter(fixture: TestGroup): number {
	return Number(fixture.group.members[0]!.database.store.findTable('n')!.rows.get('n')!.value);
}

/** Outcome of a write, as its client sees it. */
type Outcome = 'acknowledged' | 'unknown' | 'notRun' | 'failed';

const OUTCOMES = new Map<string, Outcome>([['HP002', 'unknown'], ['HP001', 'notRun'], ['HP006', 'notRun']]);

async function runWrite(client: pg.Client, text: string): Promise<Outcome> {
	try {
		await client.query(text);
		return 'acknowledged';
	} catch (error) {
		return OUTCOMES.get((error as {code?: string}).code ?? '') ?? 'failed';
	}
}

type Fault = 'none' | 'lostResponse' | 'closeAll' | 'noProof' | 'refused';

/** Injects a fault for the next write. */
function applyFault(fixture: TestGroup, fault: Fault): void {
	fixture.proof.isGiven = fault !== 'noProof';
	fixture.admission.isGiven = fault !== 'refused';
	if (fault === 'lostResponse') {
		fixture.group.members[0]!.faults.lostCommitResponses = 1;
	} else if (fault === 'closeAll') {
		fixture.servers[0]!.closeConnections();
	}
}

const faultArbitrary = fc.array(fc.constantFrom<Fault>('none', 'lostResponse', 'closeAll', 'noProof', 'refused'), {minLength: 4, maxLength: 10});

describe('reported outcomes of writes and the contents of the database', () => {
	test('agree under random faults: no acknowledged write is lost, none runs twice, none reported as not run has run', async () => {
		const fixture = await startFixture();
		let id = 0;
		await fc.assert(fc.asyncProperty(faultArbitrary, async faults => {
			const client = await fixture.openClient();
			for (const fault of faults) {
				id++;
				const countBefore = fixture.countRows('t');
				applyFault(fixture, fault);
				const outcome = await runWrite(client, `INSERT INTO t (id, value) VALUES ('${id}', 'v')`);
				fixture.group.members[0]!.faults.lostCommitResponses = 0;
				const written = fixture.countRows('t') - countBefore;
				expect(outcome).not.toBe('failed');
				expect(written).toBeLessThanOrEqual(1);
				expect([outcome, written]).not.toEqual(['acknowledged', 0]);
				expect([outcome, written]).not.toEqual(['notRun', 1]);
			}

			await client.end();
		}), {seed: SEED, numRuns: 15});
	});

	test('agree with idempotency keys: a write that is repeated until acknowledged has run exactly once', async () => {
		const fixture = await startFixture();
		let key = 0;
		let acknowledged = 0;
		await fc.assert(fc.asyncProperty(faultArbitrary, async faults => {
			const client = await fixture.openClient();
			key++;
			const outcomes: Outcome[] = [];
			for (const fault of [...faults, 'none' as const]) {
				applyFault(fixture, fault);
				await client.query(`SET heatherpond.once = 'key-${key}'`);
				outcomes.push(await runWrite(client, 'UPDATE n SET value = value + 1'));
				fixture.group.members[0]!.faults.lostCommitResponses = 0;
			}

			acknowledged++;
			expect(outcomes.at(-1)).toBe('acknowledged');
			expect(readCounter(fixture)).toBe(acknowledged);
			await client.end();
		}), {seed: SEED, numRuns: 15});
	});

	test('agree when many sessions use the same idempotency key concurrently', async () => {
		const fixture = await startFixture();
		const clients = await Promise.all(Array.from({length: 6}, async () => fixture.openClient()));
		const outcomes = await Promise.all(clients.map(async client => {
			await client.query('SET heatherpond.once = \'shared\'');
			return runWrite(client, 'UPDATE n SET value = value + 1');
		}));
		const repeats = await Promise.all(clients.map(async client => {
			await client.query('SET heatherpond.once = \'shared\'');
			return runWrite(client, 'UPDATE n SET value = value + 1');
		}));
		expect(outcomes).toContain('acknowledged');
		expect([...new Set(repeats), readCounter(fixture)]).toEqual(['acknowledged', 1]);
	});

	test('a request refused inside a transaction rolls back the whole transaction', async () => {
		const fixture = await startFixture();
		const client = await fixture.openClient();
		await client.query('BEGIN');
		await client.query('INSERT INTO t (id, value) VALUES (\'x\', \'v\')');
		fixture.admission.isGiven = false;
		await expect(client.query('INSERT INTO t (id, value) VALUES (\'y\', \'v\')')).rejects.toMatchObject({code: 'HP006', hint: 'retry_after_ms=7'});
		const end = await client.query('COMMIT');
		expect([end.command, fixture.countRows('t')]).toEqual(['ROLLBACK', 0]);
	});
});

describe('sessions when the fleet view or admission changes', () => {
	// With the second case: guards against a transaction that runs on as a team that no longer has the key.
	test.each([
		['withdrawn', {isWithdrawn: true}], ['given to another team', {team: 'other'}],
	] as const)('a key that is %s ends an open transaction at once and closes its upstream connection', async (_, change) => {
		const fixture = await startFixture();
		const client = await fixture.openClient();
		await client.query('BEGIN');
		await client.query('INSERT INTO t (id, value) VALUES (\'x\', \'v\')');
		const openBefore = fixture.pools.countOpen();
		fixture.blackboard.update(state => ({
			...state, view: {...state.view, keys: Object.fromEntries(Object.entries(state.view.keys).map(([hash, key]) => [hash, {...key, ...change}]))},
		}));
		await waitFor(() => fixture.pools.countOpen() === openBefore - 1, 'the upstream connection to close');
		expect(fixture.countRows('t')).toBe(0);
	});

	test('a write with a token of the next term waits until the view has that term', async () => {
		const fixture = await startFixture();
		const client = await fixture.openClient();
		await client.query(`SET heatherpond.session = '${formatSessionToken({g: {term: 2, position: 0n}})}'`);
		const writing = client.query('INSERT INTO t (id, value) VALUES (\'x\', \'v\')');
		fixture.updateGroup(group => ({...group, term: 2, termStarts: [...group.termStarts, {term: 2, start: 10n ** 6n}]}));
		await expect(writing).resolves.toMatchObject({rowCount: 1});
	});

	test('a draining replica gets no new requests, and its connections close', async () => {
		const fixture = await startFixture();
		const client = await fixture.openClient();
		await Promise.all(Array.from({length: 4}, async () => client.query('SELECT 1 AS one')));
		fixture.updateGroup(group => ({...group, leaving: ['b', 'c']}));
		fixture.pools.refresh();
		await waitFor(() => fixture.servers.slice(1).every(server => server.countConnections() === 0), 'the connections to the draining replicas to close');
		await client.query('SELECT 1 AS one');
		expect(fixture.servers.slice(1).map(server => server.countConnections())).toEqual([0, 0]);
	});

	test('a request refused for its rate reports when to retry', async () => {
		const fixture = await startFixture();
		const client = await fixture.openClient();
		fixture.admission.isGiven = false;
		await expect(client.query('SELECT 1 AS one')).rejects.toMatchObject({code: 'HP006', hint: 'retry_after_ms=7'});
	});
});
