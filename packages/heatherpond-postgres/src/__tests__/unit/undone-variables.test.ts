import {
	afterEach, beforeEach, describe, expect, test,
} from '@jest/globals';
import {serialize} from 'pg-protocol';
import {startObservedGroup, type ObservedGroup} from '../support/observed-group.js';
import {openWireClient} from '../support/wire-client.js';

let fixture: ObservedGroup;

beforeEach(async () => {
	fixture = await startObservedGroup();
});

afterEach(async () => {
	await fixture.stop();
});

describe('SET that a database undoes', () => {
	test('SET that an error in the same request undoes is not believed', async () => {
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.query('SET a.one TO \'before\''));
		await client.waitForReady();
		client.send(serialize.parse({text: 'SET a.one TO \'undone\''}), serialize.bind({}), serialize.execute(), serialize.parse({text: 'SELEC'}), serialize.sync());
		await client.waitForReady();
		client.send(serialize.query('SELECT pg_sleep(0)'));
		await client.waitForReady();
		expect(fixture.executed.at(-1)!.settings).toEqual({'a.one': 'before'});
	});

	test('SET before a Flush, which a later error would undo, is refused', async () => {
		const client = await openWireClient(await fixture.openSocket());
		client.send(serialize.parse({text: 'SET a.one TO \'1\''}), serialize.bind({}), serialize.execute(), serialize.flush(), serialize.sync());
		await client.waitForReady();
		expect(client.readErrors()).toEqual(['0A000']);
	});
});
