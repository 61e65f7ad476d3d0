import {Buffer} from 'node:buffer';
import {
	afterAll, beforeAll, describe, expect, test,
} from '@jest/globals';
import {createMessage, encodeText, FRONTEND} from 'heatherpond-wire';
import {serialize} from 'pg-protocol';
import {startTestGroup, type TestGroup} from '../support/test-group.js';
import {openWireClient} from '../support/wire-client.js';

let fixture: TestGroup;

beforeAll(async () => {
	fixture = await startTestGroup({maxConnections: 1});
	const client = await fixture.openClient();
	await client.query('CREATE TABLE t (id text PRIMARY KEY)');
	await client.query('INSERT INTO t (id) VALUES (\'kept\')');
	await client.end();
});

afterAll(async () => {
	await fixture.stop();
});

const INVALID_UTF8 = Buffer.of(0xFF, 0);
const NO_TYPES = Buffer.alloc(2);

describe('texts in messages of clients', () => {
	test('a statement name that is not UTF-8 does not cut off the start of the query text', async () => {
		const client = await openWireClient(await fixture.openSocket());
		client.send(
			createMessage(FRONTEND.parse, INVALID_UTF8, encodeText('x DELETE FROM t'), NO_TYPES),
			createMessage(FRONTEND.bind, encodeText(''), INVALID_UTF8, Buffer.alloc(6)),
			serialize.execute(),
			serialize.sync(),
		);
		await client.waitForReady();
		expect(fixture.countRows('t')).toBe(1);
		expect(client.readErrors()).toEqual(['22021']);
		client.send(serialize.query('SELECT 1'));
		expect(await client.waitForReady()).toBe('TDCZ');
	});

	test('two statement names that are not UTF-8 do not become the same name', async () => {
		const client = await openWireClient(await fixture.openSocket());
		client.send(createMessage(FRONTEND.parse, INVALID_UTF8, encodeText('SELECT 1'), NO_TYPES), serialize.sync());
		await client.waitForReady();
		client.send(createMessage(FRONTEND.bind, encodeText(''), Buffer.of(0xFE, 0), Buffer.alloc(6)), serialize.execute(), serialize.sync());
		await client.waitForReady();
		expect(client.readErrors()).toEqual(['22021', '22021']);
	});

	test.each([
		['Query', createMessage(FRONTEND.query, encodeText('SELECT 1'), encodeText('DELETE FROM t'))],
		['Parse', createMessage(FRONTEND.parse, encodeText(''), encodeText('SELECT 1'), NO_TYPES, encodeText('DELETE FROM t'))],
		['Describe', createMessage(FRONTEND.describe, encodeText('S'), encodeText('DELETE FROM t'))],
		['Execute', createMessage(FRONTEND.execute, encodeText(''), Buffer.alloc(4), encodeText('x'))],
		['Flush', createMessage(FRONTEND.flush, encodeText('DELETE FROM t'))],
		['Sync', createMessage(FRONTEND.sync, encodeText('DELETE FROM t'))],
	])('bytes after the last field of %s end the connection and reach no database', async (_name, message) => {
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.parse({text: 'SELECT 2'}), serialize.bind({}), message, serialize.sync());
		expect(await client.waitForReady()).toMatch(/E$/v);
		expect(client.readErrors()).toEqual(['08P01']);
		expect(fixture.countRows('t')).toBe(1);
	});

	test.each([
		['more values than it declares', Buffer.concat([Buffer.alloc(4), encodeText('v'), Buffer.alloc(2)])],
		['fewer values than it declares', Buffer.of(0, 0, 0, 2, 0, 0, 0, 0, 0, 0)],
		['a value that is longer than the message', Buffer.of(0, 0, 0, 1, 0, 0, 0, 9, 0, 0)],
	])('Bind with %s is an error, after which the connection is used again', async (_name, rest) => {
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.parse({name: 's', text: 'SELECT $1'}), createMessage(FRONTEND.bind, encodeText(''), encodeText('s'), rest), serialize.execute(), serialize.sync());
		expect(await client.waitForReady()).toBe('1EZ');
		client.send(serialize.parse({name: 's', text: 'SELECT $1'}), serialize.bind({statement: 's', values: ['v']}), serialize.execute(), serialize.sync());
		await client.waitForReady();
		client.send(serialize.bind({statement: 's', values: ['v']}), serialize.execute(), serialize.sync());
		await client.waitForReady();
		expect(client.readErrors()).toEqual(['08P01', '42P05']);
	});

	test('names of one mebibyte are an error, and other clients are served', async () => {
		const client = await openWireClient(await fixture.openSocket());
		client.send(createMessage(FRONTEND.parse, encodeText('n'.repeat(1_048_576)), encodeText('SELECT 1'), NO_TYPES), serialize.sync());
		await client.waitForReady();
		expect(client.readErrors()).toEqual(['08P01']);
		const other = await fixture.openClient();
		await other.query('SELECT 1');
		await other.end();
	});
});
