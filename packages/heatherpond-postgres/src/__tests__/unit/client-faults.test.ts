import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createSecureContext} from 'node:tls';
import {
	afterEach, describe, expect, test,
} from '@jest/globals';
import {serialize} from 'pg-protocol';
import {generate} from 'selfsigned';
import {formatSessionToken} from 'heatherpond-core';
import {createMessage, FRONTEND} from 'heatherpond-wire';
import {
	startTestGroup, TEST_KEY, waitFor, type TestGroup, type TestGroupOptions,
} from '../support/test-group.js';
import {openWireClient} from '../support/wire-client.js';

const fixtures: TestGroup[] = [];

async function startFixture(options: TestGroupOptions = {}): Promise<TestGroup> {
	const fixture = await startTestGroup(options);
	fixtures.push(fixture);
	const client = await fixture.openClient();
	await client.query('CREATE TABLE t (id text PRIMARY KEY, value text)');
	await client.end();
	return fixture;
}

afterEach(async () => {
	await Promise.all(fixtures.splice(0).map(async fixture => fixture.stop()));
});

async function readToEnd(fixture: TestGroup, bytes: Buffer): Promise<string> {
	const socket = await fixture.openSocket();
	const chunks: Buffer[] = [];
	socket.on('data', chunk => {
		chunks.push(chunk);
	});
	socket.write(bytes);
	await once(socket, 'close');
	return Buffer.concat(chunks).toString('latin1');
}

describe('invalid input from a client', () => {
	test.each([
		['a startup message of 1 GB', Buffer.concat([Buffer.from([0x40, 0, 0, 0]), Buffer.from([0, 3, 0, 0])])],
		['a TLS handshake without a preceding TLS request', Buffer.from('1603010200010001fc0303', 'hex')],
		['a startup message of length zero', Buffer.alloc(8)],
		['an unknown protocol version', Buffer.from('0000000800090000', 'hex')],
	])('%s ends that connection with a protocol error and no other', async (_name, bytes) => {
		const fixture = await startFixture();
		const other = await fixture.openClient();
		expect(await readToEnd(fixture, bytes)).toContain('08P01');
		const result = await other.query('SELECT 1 AS one');
		expect(result.rows).toHaveLength(1);
	});

	test('a message over the size limit ends the connection with a protocol error', async () => {
		const fixture = await startFixture({limits: {maxFrameBytes: 10_000}});
		const client = await openWireClient(await fixture.openSocket());
		client.send(Buffer.from([FRONTEND.query, 0x7F, 0xFF, 0xFF, 0xFF]));
		await waitFor(() => client.isClosed(), 'the connection to be closed');
		expect(client.readErrors()).toEqual(['08P01']);
	});

	test('a request whose messages together exceed the size limit ends the connection with a protocol error', async () => {
		const fixture = await startFixture({limits: {maxFrameBytes: 10_000}});
		const client = await openWireClient(await fixture.openSocket());
		Array.from({length: 20}, (_value, index) => index).forEach(index => {
			client.send(serialize.parse({name: `n${index}`, text: `SELECT ${' '.repeat(1000)} 1`}));
		});
		await waitFor(() => client.isClosed(), 'the connection to be closed');
		expect(client.readErrors()).toEqual(['08P01']);
	});

	test('a truncated Bind ends the connection with a protocol error', async () => {
		const fixture = await startFixture();
		const client = await openWireClient(await fixture.openSocket());
		client.send(createMessage(FRONTEND.bind, Buffer.from('no end')), serialize.sync());
		await waitFor(() => client.isClosed(), 'the connection to be closed');
		expect(client.readErrors()).toEqual(['08P01']);
	});

	test('a client that does not authenticate before the startup timeout is disconnected', async () => {
		const fixture = await startFixture({limits: {startupTimeoutMs: 50}});
		const socket = await fixture.openSocket();
		socket.resume();
		await once(socket, 'close');
		expect(socket.destroyed).toBe(true);
	});

	test.each([
		['a session token that cannot be parsed', 'SET heatherpond.session = \'1.zzz\'', 'HP005'],
		['a session token of another deployment', `SET heatherpond.session = '${formatSessionToken({elsewhere: {term: 1, position: 1n}})}'`, 'HP010'],
		['a session token that heatherpond did not issue', 'SET heatherpond.session = \'other\'', 'HP005'],
		['an unknown setting', 'SET heatherpond.nothing = 1', '22023'],
		['a setting with an invalid duration', 'SET heatherpond.max_staleness = \'soon\'', '22023'],
		['COPY', 'COPY t FROM STDIN', '0A000'],
		['a DO block', 'DO $$ BEGIN END $$', '0A000'],
		['LISTEN', 'LISTEN channel', '0A000'],
		['SET ROLE', 'SET ROLE other', '0A000'],
		['SET of a variable combined with another statement', 'SET search_path = other; SELECT 1', '0A000'],
		['CREATE TEMP TABLE', 'CREATE TEMP TABLE x (id text)', '0A000'],
		['SELECT INTO TEMP', 'SELECT 1 INTO TEMP x', '0A000'],
		['a session-level advisory lock', 'SELECT pg_advisory_lock(1)', '0A000'],
		['DECLARE CURSOR WITH HOLD', 'DECLARE c CURSOR WITH HOLD FOR SELECT 1', '0A000'],
		['PREPARE in SQL', 'PREPARE p AS SELECT 1', '0A000'],
		['SET of a proxy setting combined with another statement', 'SET heatherpond.max_staleness = \'1s\'; SELECT 1', '0A000'],
	])('%s is refused and the session remains usable', async (_name, text, code) => {
		const fixture = await startFixture();
		const client = await fixture.openClient();
		await expect(client.query(text)).rejects.toMatchObject({code});
		const result = await client.query('SELECT 1 AS one');
		expect(result.rows).toHaveLength(1);
	});

	test.each([
		['of a term that the host does not know', {g: {term: 9, position: 1n}}, 'HP004'],
		['of a write that a failover lost', {g: {term: 1, position: 10n ** 9n}}, 'HP003'],
	])('a read with a session token %s is refused with a specific SQLSTATE', async (_name, token, code) => {
		const fixture = await startFixture();
		fixture.updateGroup(group => ({...group, term: 2, termStarts: [...group.termStarts, {term: 2, start: 500n}]}));
		const client = await fixture.openClient();
		await client.query(`SET heatherpond.session = '${formatSessionToken(token)}'`);
		await expect(client.query('SELECT * FROM t')).rejects.toMatchObject({code});
	});

	test('a Query without a statement and a Sync without messages are answered', async () => {
		const fixture = await startFixture();
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.query(' '));
		expect(await client.waitForReady()).toBe('IZ');
		client.send(serialize.sync());
		expect(await client.waitForReady()).toBe('Z');
	});
});

describe('a client', () => {
	test('that disconnects inside a transaction has it rolled back and its upstream connection destroyed', async () => {
		const fixture = await startFixture();
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.query('BEGIN'));
		await client.waitForReady();
		client.send(serialize.query('INSERT INTO t (id, value) VALUES (\'x\', \'v\')'));
		await client.waitForReady();
		const openBefore = fixture.pools.countOpen();
		client.socket.destroy();
		await waitFor(() => fixture.pools.countOpen() === openBefore - 1, 'the upstream connection to be destroyed');
		expect(fixture.countRows('t')).toBe(0);
	});

	test('that exceeds the idle timeout inside a transaction is disconnected and its writes are rolled back', async () => {
		const fixture = await startFixture({limits: {idleTransactionTimeoutMs: 50}});
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.query('BEGIN; INSERT INTO t (id, value) VALUES (\'x\', \'v\')'));
		await client.waitForReady();
		await waitFor(() => client.isClosed(), 'the connection to be closed');
		expect([client.readErrors(), fixture.countRows('t')]).toEqual([['25P03'], 0]);
	});

	test('that cancels a request affects no request of another session and can go on', async () => {
		const fixture = await startFixture();
		fixture.group.members.forEach(member => {
			member.faults.serviceTimeMs = 400;
		});
		const [left, right] = await Promise.all([openWireClient(await fixture.openSocket()), openWireClient(await fixture.openSocket())]);
		left.send(serialize.query('SELECT 1 AS l'));
		right.send(serialize.query('SELECT 2 AS r'));
		const {processId, secret} = left.readCancelKey();
		await waitFor(() => fixture.pools.countOpen() >= 2 && fixture.servers.some(server => server.countConnections() > 0), 'both requests to be running');
		const cancel = await fixture.openSocket();
		cancel.resume();
		cancel.write(serialize.cancel(processId, secret));
		await once(cancel, 'close');
		expect(await left.waitForReady()).toBe('EZ');
		expect(left.readErrors()).toEqual(['57014']);
		expect(await right.waitForReady()).toBe('TDCZ');
		left.send(serialize.query('SELECT 3 AS again'));
		expect(await left.waitForReady()).toBe('TDCZ');
	});

	test('that sends a cancel request with a wrong secret cancels nothing', async () => {
		const fixture = await startFixture();
		fixture.group.members.forEach(member => {
			member.faults.serviceTimeMs = 100;
		});
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.query('SELECT 1 AS l'));
		const {processId, secret} = client.readCancelKey();
		const cancel = await fixture.openSocket();
		cancel.resume();
		cancel.write(serialize.cancel(processId, secret + 1));
		await once(cancel, 'close');
		expect(await client.waitForReady()).toBe('TDCZ');
	});

	test('that cancels a write is told that its outcome is unknown', async () => {
		const fixture = await startFixture();
		fixture.group.members[0]!.faults.serviceTimeMs = 100;
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.query('INSERT INTO t (id, value) VALUES (\'x\', \'v\')'));
		await waitFor(() => fixture.servers[0]!.slots.countWaiting() === 0 && fixture.pools.countIdle() === 0, 'the write to be running');
		const {processId, secret} = client.readCancelKey();
		const cancel = await fixture.openSocket();
		cancel.resume();
		cancel.write(serialize.cancel(processId, secret));
		await client.waitForReady();
		expect(client.readErrors()).toEqual(['HP002']);
	});

	test('is refused a connection beyond the limit per key of its contract', async () => {
		const fixture = await startFixture({connectionsPerKey: 2});
		const first = await fixture.openClient();
		await fixture.openClient();
		await expect(fixture.openClient()).rejects.toMatchObject({code: '53300'});
		await first.end();
		await waitFor(() => fixture.clientServer.countConnections() === 1, 'one connection to be closed');
		await expect(fixture.openClient()).resolves.toBeDefined();
	});

	test('can connect over TLS', async () => {
		const pem = generate([{name: 'commonName', value: 'localhost'}], {keySize: 2048});
		const fixture = await startFixture({secureContext: createSecureContext({cert: pem.cert, key: pem.private})});
		const client = await fixture.openClient({ssl: {rejectUnauthorized: false}});
		const result = await client.query('SELECT 1 AS one');
		expect(result.rows).toHaveLength(1);
		await client.end();
	});

	test('that sends unencrypted bytes between the TLS request and the handshake is refused', async () => {
		const pem = generate([{name: 'commonName', value: 'localhost'}], {keySize: 2048});
		const fixture = await startFixture({secureContext: createSecureContext({cert: pem.cert, key: pem.private})});
		const smuggled = Buffer.concat([serialize.requestSsl(), serialize.startup({user: 'team', database: 'r'})]);
		expect(await readToEnd(fixture, smuggled)).toContain('08P01');
	});

	test('can set proxy settings in the options parameter of its startup message', async () => {
		const fixture = await startFixture();
		const token = formatSessionToken({g: {term: 1, position: 5n}});
		const client = await fixture.openClient({options: `-c heatherpond.session=${token} -c heatherpond.max_staleness=3s`});
		const result = await client.query<Record<string, string>>('SHOW heatherpond.session');
		expect(result.rows[0]!['heatherpond.session']).toBe(token);
	});

	test.each([
		['a variable that holds a list of names', {options: '-c search_path=other'}],
		['an option that sets no variable', {options: '-d 5'}],
	])('with %s in the options parameter of its startup message is refused', async (_name, config) => {
		const fixture = await startFixture();
		await expect(fixture.openClient(config)).rejects.toMatchObject({code: '0A000'});
	});

	test('that asks for another role in its startup message is refused', async () => {
		const fixture = await startFixture();
		const bytes = Buffer.concat([serialize.startup({user: 'team', database: 'r', role: 'other'}), serialize.password(TEST_KEY)]);
		expect(await readToEnd(fixture, bytes)).toContain('0A000');
	});

	test('keeps its variables across upstream connections and does not see those of other clients', async () => {
		const fixture = await startFixture({maxConnections: 1});
		fixture.updateGroup(group => ({...group, settings: {...group.settings, members: group.settings.members.slice(0, 1)}}));
		const [left, right] = await Promise.all([fixture.openClient({options: '-c work_mem=3MB'}), fixture.openClient()]);
		await left.query('SET search_path = mine');
		const seen = [];
		for (const client of [right, left, right, left]) {
			const result = await client.query<{search_path: string}>('SHOW search_path');
			seen.push(result.rows[0]!.search_path);
		}

		const memory = await left.query<{work_mem: string}>('SHOW work_mem');
		expect([seen, memory.rows[0]!.work_mem]).toEqual([['public', 'mine', 'public', 'mine'], '3MB']);
		await left.query('RESET search_path');
		const reset = await left.query<{search_path: string}>('SHOW search_path');
		expect(reset.rows[0]!.search_path).toBe('public');
	});

	test('is refused SET of a variable inside a transaction', async () => {
		const fixture = await startFixture();
		const client = await fixture.openClient();
		await client.query('BEGIN');
		await expect(client.query('SET search_path = mine')).rejects.toMatchObject({code: '0A000'});
		await client.query('ROLLBACK');
	});

	test('with an invalid session token in its startup options is refused', async () => {
		const fixture = await startFixture();
		await expect(fixture.openClient({options: '-c heatherpond.session=broken'})).rejects.toMatchObject({code: 'HP005'});
	});
});

describe('a graceful shutdown', () => {
	test('disconnects idle clients, lets open transactions finish and refuses new connections', async () => {
		const fixture = await startFixture();
		const [idle, busy] = await Promise.all([openWireClient(await fixture.openSocket()), openWireClient(await fixture.openSocket())]);
		busy.send(serialize.query('BEGIN; INSERT INTO t (id, value) VALUES (\'x\', \'v\')'));
		await busy.waitForReady();
		fixture.blackboard.update(state => ({...state, phase: 'draining'}));
		await waitFor(() => idle.isClosed(), 'the idle client to be disconnected');
		busy.send(serialize.query('COMMIT'));
		await waitFor(() => busy.isClosed(), 'the client with a transaction to be disconnected');
		expect([idle.readErrors(), busy.readErrors(), fixture.countRows('t')]).toEqual([['57P01'], ['57P01'], 1]);
		await expect(fixture.openClient()).rejects.toBeDefined();
	});

	test('rolls back open transactions and closes their connections at the deadline', async () => {
		const fixture = await startFixture();
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.query('BEGIN; INSERT INTO t (id, value) VALUES (\'x\', \'v\')'));
		await client.waitForReady();
		await fixture.clientServer.drain(fixture.services.clock.readNow() + 50);
		await waitFor(() => fixture.clientServer.countConnections() === 0 && client.isClosed(), 'every connection to be closed');
		expect(fixture.countRows('t')).toBe(0);
	});
});

describe('transactions', () => {
	test('declared READ ONLY run on a replica that has replayed the last write of the session', async () => {
		const fixture = await startFixture();
		const client = await fixture.openClient();
		await client.query('INSERT INTO t (id, value) VALUES (\'x\', \'v\')');
		await waitFor(() => {
			fixture.probe();
			return fixture.group.members.every(member => member.database.readLastPosition().position === fixture.group.members[0]!.database.readLastPosition().position);
		}, 'the replicas to catch up');
		fixture.probe();
		await client.query('BEGIN READ ONLY');
		const result = await client.query<{inRecovery: string}>('SELECT value, pg_is_in_recovery() AS "inRecovery" FROM t');
		await client.query('COMMIT');
		expect(result.rows).toHaveLength(1);
		expect(String(result.rows[0]!.inRecovery)).toMatch(/^t/v);
	});

	test('that failed refuse every statement until they are ended, and COMMIT rolls them back', async () => {
		const fixture = await startFixture();
		const client = await fixture.openClient();
		await client.query('BEGIN');
		await expect(client.query('SELECT * FROM missing')).rejects.toMatchObject({code: '42P01'});
		await expect(client.query('INSERT INTO t (id) VALUES (\'x\')')).rejects.toMatchObject({code: '25P02'});
		const end = await client.query('COMMIT');
		expect([end.command, fixture.countRows('t')]).toEqual(['ROLLBACK', 0]);
	});

	test('in which the proxy refused a statement are rolled back at COMMIT', async () => {
		const fixture = await startFixture();
		const client = await fixture.openClient();
		await client.query('BEGIN');
		await client.query('INSERT INTO t (id) VALUES (\'x\')');
		await expect(client.query('LISTEN c')).rejects.toMatchObject({code: '0A000'});
		const end = await client.query('COMMIT');
		expect([end.command, fixture.countRows('t')]).toEqual(['ROLLBACK', 0]);
	});
});

