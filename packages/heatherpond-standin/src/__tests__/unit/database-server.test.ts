import {
	afterEach, beforeEach, describe, expect, test,
} from '@jest/globals';
import {createSystemClock, waitUntil} from 'heatherpond-core';
import pg from 'pg';
import {startDatabaseGroup, type DatabaseGroup} from '../../database-group.js';
import {startDatabaseServer, type DatabaseServer, type DatabaseServerOptions} from '../../database-server.js';
import {startSqlParser} from '../../sql-parser.js';

const USERS = [{user: 'data', password: 'secret', isControl: false}, {user: 'control', password: 'secret', isControl: true}];
const clock = createSystemClock();
let stop: AbortController;
let group: DatabaseGroup;
let clients: pg.Client[];

beforeEach(async () => {
	await startSqlParser();
	stop = new AbortController();
	clients = [];
	group = startDatabaseGroup({
		name: 'bookings', databases: ['one', 'two'], clock, signal: stop.signal,
	});
});

afterEach(async () => {
	await Promise.allSettled(clients.map(async client => client.end()));
	stop.abort();
});

async function startServer(index: number, options: Partial<DatabaseServerOptions> = {}): Promise<DatabaseServer> {
	return startDatabaseServer({
		group, member: group.members[index]!, address: '127.0.0.1', port: 0, slots: 3, connections: 20, users: USERS, clock, signal: stop.signal, ...options,
	});
}

async function openClient(server: DatabaseServer, options: pg.ClientConfig = {}): Promise<pg.Client> {
	const client = new pg.Client({
		host: '127.0.0.1', port: server.port, user: 'data', password: 'secret', database: 'any', application_name: 'jhb-a/host-1', ...options,
	});
	client.on('error', () => undefined);
	clients.push(client);
	await client.connect();
	return client;
}

async function waitFor(condition: () => boolean): Promise<void> {
	const deadline = clock.readNow() + 5000;
	while (!condition() && clock.readNow() < deadline) {
		await waitUntil(clock, clock.readNow() + 2, stop.signal);
	}

	expect(condition()).toBe(true);
}

async function createItems(client: pg.Client): Promise<void> {
	await client.query('CREATE TABLE items (id text PRIMARY KEY, value int)');
	await client.query('INSERT INTO items VALUES (\'a\', 0)');
}

async function readValue(client: pg.Client, id: string): Promise<number | undefined> {
	const result = await client.query<{value: string}>('SELECT value FROM items WHERE id = $1', [id]);
	return result.rows[0] && Number(result.rows[0].value);
}

describe('row locks', () => {
	test('SELECT FOR UPDATE prevents lost updates by concurrent transactions', async () => {
		const server = await startServer(0);
		const [first, ...others] = await Promise.all(Array.from({length: 4}, async () => openClient(server)));
		await createItems(first!);
		await Promise.all([first!, ...others].map(async client => {
			for (const _round of Array.from({length: 5})) {
				await client.query('BEGIN');
				const result = await client.query<{value: string}>('SELECT value FROM items WHERE id = \'a\' FOR UPDATE');
				await client.query('UPDATE items SET value = $1 WHERE id = \'a\'', [Number(result.rows[0]!.value) + 1]);
				await client.query('COMMIT');
			}
		}));
		expect(await readValue(first!, 'a')).toBe(20);
	});

	test('an insert waits for a concurrent insert of the same key and fails with 23505 after its commit', async () => {
		const server = await startServer(0);
		const [first, second] = await Promise.all([openClient(server), openClient(server)]);
		await createItems(first);
		await first.query('BEGIN');
		await first.query('INSERT INTO items VALUES (\'b\', 1)');
		const waiting = second.query('INSERT INTO items VALUES (\'b\', 2)');
		const outcome = expect(waiting).rejects.toMatchObject({code: '23505'});
		await first.query('COMMIT');
		await outcome;
		expect(await readValue(second, 'b')).toBe(1);
	});

	test('a waiting insert succeeds after the lock holder rolls back', async () => {
		const server = await startServer(0);
		const [first, second] = await Promise.all([openClient(server), openClient(server)]);
		await createItems(first);
		await first.query('BEGIN');
		await first.query('INSERT INTO items VALUES (\'b\', 1)');
		const waiting = second.query('INSERT INTO items VALUES (\'b\', 2)');
		await first.query('ROLLBACK');
		await waiting;
		expect(await readValue(first, 'b')).toBe(2);
	});

	test('a statement fails with 55P03 at the lock timeout and occupies no slot while it waits', async () => {
		const server = await startServer(0, {lockTimeoutMs: 50, slots: 1});
		const [first, second] = await Promise.all([openClient(server), openClient(server)]);
		await createItems(first);
		await first.query('BEGIN');
		await first.query('UPDATE items SET value = 1 WHERE id = \'a\'');
		await expect(second.query('UPDATE items SET value = 2 WHERE id = \'a\'')).rejects.toMatchObject({code: '55P03'});
		await first.query('COMMIT');
		expect(await readValue(second, 'a')).toBe(1);
	});

	test('a disconnect in a transaction releases its locks', async () => {
		const server = await startServer(0);
		const [first, second] = await Promise.all([openClient(server), openClient(server)]);
		await createItems(first);
		await first.query('BEGIN');
		await first.query('UPDATE items SET value = 1 WHERE id = \'a\'');
		await first.end();
		await second.query('UPDATE items SET value = value + 5 WHERE id = \'a\'');
		expect(await readValue(second, 'a')).toBe(5);
	});
});

describe('transactions', () => {
	test('an error in a multi-statement query rolls back the statements before it', async () => {
		const client = await openClient(await startServer(0));
		await createItems(client);
		await expect(client.query('INSERT INTO items VALUES (\'b\', 1); INSERT INTO items VALUES (\'a\', 1)')).rejects.toMatchObject({code: '23505'});
		expect(await readValue(client, 'b')).toBeUndefined();
	});

	test.each(['BEGIN READ ONLY', 'BEGIN; SET TRANSACTION READ ONLY', 'SET default_transaction_read_only = \'on\''])('a write after %s fails with 25006', async text => {
		const client = await openClient(await startServer(0));
		await createItems(client);
		await client.query(text);
		await expect(client.query('INSERT INTO items VALUES (\'b\', 1)')).rejects.toMatchObject({code: '25006'});
	});

	test('ROLLBACK TO SAVEPOINT recovers a failed transaction and keeps the changes made before the savepoint', async () => {
		const client = await openClient(await startServer(0));
		await createItems(client);
		await client.query('BEGIN; UPDATE items SET value = 1 WHERE id = \'a\'; SAVEPOINT here');
		await expect(client.query('INSERT INTO items VALUES (\'a\', 1)')).rejects.toMatchObject({code: '23505'});
		await client.query('ROLLBACK TO SAVEPOINT here');
		await client.query('COMMIT');
		expect(await readValue(client, 'a')).toBe(1);
	});

	test('a commit after the term was raised fails with 25006 and changes nothing', async () => {
		const client = await openClient(await startServer(0));
		await createItems(client);
		await client.query('BEGIN');
		await client.query('INSERT INTO items VALUES (\'b\', 1)');
		group.members[0]!.database.raiseTerm(2, 'promoter');
		await expect(client.query('COMMIT')).rejects.toMatchObject({code: '25006', message: expect.stringContaining('term 2 was granted to "promoter"')});
		expect(await readValue(client, 'b')).toBeUndefined();
	});

	test('SET changes a session parameter and DISCARD ALL restores its default', async () => {
		const client = await openClient(await startServer(0));
		await client.query('SET search_path = \'private\'');
		const before = await client.query<{search_path: string}>('SHOW search_path');
		await client.query('DISCARD ALL');
		const after = await client.query<{search_path: string}>('SHOW search_path');
		expect([before.rows[0]!.search_path, after.rows[0]!.search_path]).toEqual(['private', 'public']);
	});
});

describe('replication and fencing', () => {
	test('a replica rejects replication from the primary of an earlier term', async () => {
		const client = await openClient(await startServer(0));
		await createItems(client);
		const [primary, replica] = group.members;
		await waitFor(() => replica!.database.readLastPosition().position === primary!.database.readLastPosition().position);
		replica!.database.raiseTerm(2, 'promoter');
		await client.query('INSERT INTO items VALUES (\'b\', 1)');
		const {position} = replica!.database.readLastPosition();
		expect(replica!.database.applyReplication({
			primary: 'one', term: 1, history: primary!.database.readHistory(), length: primary!.database.readHistory().length, sentAt: clock.readNow(),
		})).toBe(false);
		expect(replica!.database.readLastPosition().position).toBe(position);
	});

	test('a former primary that follows the new one discards its unreplicated records', async () => {
		const client = await openClient(await startServer(0));
		await createItems(client);
		const [old, candidate] = group.members;
		await waitFor(() => candidate!.database.readLastPosition().position === old!.database.readLastPosition().position);
		old!.faults.isPartitionedFromGroup = true;
		await client.query('INSERT INTO items VALUES (\'lost\', 1)');
		candidate!.database.raiseTerm(2, 'promoter');
		candidate!.database.promote(2, 'promoter');
		candidate!.database.commit([{
			kind: 'putRow', table: 'items', key: 'kept', row: {id: 'kept', value: 2},
		}]);
		old!.faults.isPartitionedFromGroup = false;
		old!.database.follow('two', 2, undefined);
		await waitFor(() => old!.database.readLastPosition().term === 2);
		expect(await readValue(client, 'lost')).toBeUndefined();
		expect(await readValue(client, 'kept')).toBe(2);
	});

	test('a restart closes open connections and keeps data, term and grant', async () => {
		const server = await startServer(0);
		const client = await openClient(server);
		await createItems(client);
		const ended = new Promise<void>(resolve => {
			client.on('end', () => {
				resolve();
			});
		});
		group.members[0]!.database.raiseTerm(5, 'promoter');
		server.restart();
		await ended;
		expect(await readValue(await openClient(server), 'a')).toBe(0);
		expect(group.members[0]!.database.readStatus()).toMatchObject({term: 5, grantedTo: 'promoter'});
		expect(() => group.members[0]!.database.raiseTerm(5, 'other')).toThrow('granted to "promoter"');
	});

	test('a change of the replication lag takes effect at runtime and is reflected in the data age of the replica', async () => {
		const client = await openClient(await startServer(0));
		const [primary, replica] = group.members;
		replica!.faults.replicationLagMs = 60_000;
		await createItems(client);
		const behind = replica!.database.readLastPosition().position;
		replica!.faults.replicationLagMs = 0;
		await waitFor(() => replica!.database.readLastPosition().position === primary!.database.readLastPosition().position);
		expect(behind).toBe(0n);
		expect(replica!.database.readStatus().dataAgeMs).toBeLessThan(60_000);
	});

	test('a replica applies each change once, not the whole log per replication message', () => {
		const [primary, replica] = group.members;
		primary!.database.commit([{kind: 'createTable', table: {name: 'items', keyColumn: 'id', columns: [{name: 'id', type: 'text'}]}}]);
		let applied = 0;
		const {apply} = replica!.database.store;
		Object.assign(replica!.database.store, {
			apply(effect: Parameters<typeof apply>[0]) {
				applied++;
				apply(effect);
			},
		});
		Array.from({length: 5000}, (_value, index) => index).forEach(index => {
			primary!.database.commit([{
				kind: 'putRow', table: 'items', key: String(index), row: {id: String(index)},
			}]);
			const history = primary!.database.readHistory();
			replica!.database.applyReplication({
				primary: 'one', term: 1, history, length: history.length, sentAt: clock.readNow(),
			});
		});
		expect(applied).toBe(5001);
		expect(replica!.database.store.findTable('items')!.rows.size).toBe(5000);
	});
});

describe('client connections and injected faults', () => {
	test('connections from a partitioned failure domain become unresponsive, those from other domains work', async () => {
		const server = await startServer(0);
		const client = await openClient(server);
		await createItems(client);
		group.members[0]!.faults.partitionedDomains.add('jhb-a');
		const silent = client.query('SELECT 1');
		let hasResponse = false;
		void silent.finally(() => {
			hasResponse = true;
		}).catch(() => undefined);
		expect(await readValue(await openClient(server, {application_name: 'cpt-a/host-2'}), 'a')).toBe(0);
		expect(hasResponse).toBe(false);
	});

	test('a response is lost when its connection becomes unresponsive during the statement', async () => {
		const server = await startServer(0);
		const client = await openClient(server);
		let hasResponse = false;
		void client.query('SELECT pg_sleep(0.05)').finally(() => {
			hasResponse = true;
		}).catch(() => undefined);
		await waitFor(() => server.slots.countFree() < 3);
		group.members[0]!.faults.unresponsiveBefore = clock.readNow();
		await waitFor(() => server.slots.countFree() === 3);
		const other = await openClient(server);
		await other.query('SELECT 1');
		expect(hasResponse).toBe(false);
	});

	test('injected latency preserves the order of statements and responses', async () => {
		const server = await startServer(0, {readLatencyMs: domain => domain === 'jhb-a' ? 10 : 0});
		const client = await openClient(server);
		const results = await Promise.all([1, 2, 3].map(async value => client.query<{value: string}>(`SELECT ${value} AS value`)));
		expect(results.map(result => Number(result.rows[0]!.value))).toEqual([1, 2, 3]);
	});

	test('the lost-response fault closes the connection after the commit took effect', async () => {
		const server = await startServer(0);
		const client = await openClient(server);
		await createItems(client);
		group.members[0]!.faults.lostCommitResponses = 1;
		await expect(client.query('INSERT INTO items VALUES (\'b\', 1)')).rejects.toThrow('terminated');
		expect(await readValue(await openClient(server), 'b')).toBe(1);
	});

	test('the row limit fault closes the connection in the middle of a result', async () => {
		const server = await startServer(0);
		const client = await openClient(server);
		group.members[0]!.faults.disconnectAfterRows = 3;
		await expect(client.query('SELECT n FROM generate_series(1, 10) AS n')).rejects.toThrow('terminated');
	});

	test('a result larger than the buffers is sent completely', async () => {
		const server = await startServer(0);
		const client = await openClient(server);
		const result = await client.query('SELECT repeat(\'x\', 1000) FROM generate_series(1, 20000)');
		expect(result.rowCount).toBe(20_000);
		expect((result.rows[0] as {repeat: string}).repeat).toHaveLength(1000);
	});

	test('connections over the limit fail with 53300, control users are exempt', async () => {
		const server = await startServer(0, {connections: 1});
		await openClient(server);
		await expect(openClient(server)).rejects.toMatchObject({code: '53300'});
		await expect(openClient(server, {user: 'control'})).resolves.toBeDefined();
	});

	test('binary parameter formats fail with 0A000', async () => {
		const client = await openClient(await startServer(0));
		await expect(client.query({text: 'SELECT $1', values: ['x'], binary: true} as pg.QueryConfig)).rejects.toMatchObject({code: '0A000'});
	});
});
