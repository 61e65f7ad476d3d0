import {afterEach, expect, test} from '@jest/globals';
import {groupStandinSettingsSchema, platformStandinSettingsSchema} from 'heatherpond-config';
import {createSystemClock} from 'heatherpond-core';
import {createLogger} from 'heatherpond-observe';
import {openPlatform} from 'heatherpond-changelog';
import pg from 'pg';
import {startGroupProcess, startPlatformProcess, type StandinContext} from '../../standin-process.js';

const clock = createSystemClock();
let stop = new AbortController();
let lines: string[] = [];

afterEach(() => {
	stop.abort();
	stop = new AbortController();
	lines = [];
});

function createTools(): StandinContext {
	const logger = createLogger({
		host: 'standin', domain: 'test', level: 'info', writeLine(line) {
			lines.push(line);
		},
	});
	return {clock, logger, signal: stop.signal};
}

test('the platform process serves at the address that it logs', async () => {
	await startPlatformProcess(platformStandinSettingsSchema.parse({listen: '127.0.0.1:0'}), createTools());
	const address = /address=(?<address>\S+)/v.exec(lines[0]!)!.groups!.address!;
	const platform = openPlatform({
		address, domain: 'jhb-a', clock, signal: stop.signal,
	});
	expect(await platform.readEntries(0, {deadline: clock.readNow() + 5000, signal: stop.signal})).toEqual({entries: [], isComplete: true});
});

test('the group process serves all databases with the configured latency, the first one as primary', async () => {
	await startGroupProcess(groupStandinSettingsSchema.parse({
		name: 'bookings',
		database: {user: 'data', password: 'secret'},
		control: {user: 'control', password: 'secret'},
		member: [{name: 'one', listen: '127.0.0.1:0', domain: 'jhb-a'}, {name: 'two', listen: '127.0.0.1:0', domain: 'cpt-a'}],
		latency: [{between: ['jhb-a', 'cpt-a'], oneWayMs: 5}],
	}), createTools());
	const ports = lines.map(line => Number(/port=(?<port>\d+)/v.exec(line)!.groups!.port));
	const roles = await Promise.all(ports.map(async port => {
		const client = new pg.Client({
			host: '127.0.0.1', port, user: 'control', password: 'secret', database: 'any', application_name: 'jhb-a/host',
		});
		await client.connect();
		const result = await client.query<{heatherpond_status: string}>('SELECT heatherpond_status()');
		await client.end();
		return (JSON.parse(result.rows[0]!.heatherpond_status) as {role: string}).role;
	}));
	expect(roles).toEqual(['primary', 'replica']);
});
