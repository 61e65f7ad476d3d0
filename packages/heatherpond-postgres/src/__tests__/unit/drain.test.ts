/** Requests in progress when the time for a shutdown is over. */
import {
	afterEach, describe, expect, test,
} from '@jest/globals';
import type pg from 'pg';
import {startTestGroup, waitFor, type TestGroup} from '../support/test-group.js';

const DRAIN_MS = 400;
let fixture: TestGroup;

afterEach(async () => {
	await fixture.stop();
});

/** Opens a transaction that takes the only connection to the primary. */
async function openHolder(): Promise<pg.Client> {
	const holder = await fixture.openClient();
	holder.on('error', () => undefined);
	await holder.query('CREATE TABLE t (id text PRIMARY KEY, value text)');
	await holder.query('BEGIN');
	await holder.query('INSERT INTO t (id, value) VALUES (\'held\', \'v\')');
	return holder;
}

function countRouted(): number {
	return fixture.events.filter(kind => kind === 'requestRouted').length;
}

describe('a server whose time for a shutdown is over', () => {
	// Guards against requests that wait for a connection and whose own connections are closed without an answer.
	test('answers a request that waits, as not run, and then closes its connection', async () => {
		fixture = await startTestGroup({maxConnections: 1, limits: {requestTimeoutMs: 60_000}});
		await openHolder();
		const client = await fixture.openClient();
		const ended = new Promise(resolve => {
			client.once('error', resolve);
		});
		const routedBefore = countRouted();
		const waiting = client.query('INSERT INTO t (id, value) VALUES (\'waiting\', \'v\')');
		const refused = expect(waiting).rejects.toMatchObject({code: '57014', message: 'the request was canceled before it was run'});
		await waitFor(() => countRouted() > routedBefore, 'the request to arrive');
		await fixture.clientServer.drain(fixture.services.clock.readNow() + DRAIN_MS);
		await refused;
		expect(await ended).toMatchObject({code: '57P01'});
		expect(fixture.countRows('t')).toBe(0);
		await waitFor(() => fixture.clientServer.countConnections() === 0, 'the connections to close');
	});

	test('tells the client of an open transaction why its connection is closed', async () => {
		fixture = await startTestGroup({maxConnections: 1});
		const holder = await openHolder();
		const ended = new Promise(resolve => {
			holder.once('error', resolve);
		});
		await fixture.clientServer.drain(fixture.services.clock.readNow() + DRAIN_MS);
		expect(await ended).toMatchObject({code: '57P01'});
		expect(fixture.countRows('t')).toBe(0);
	});
});
