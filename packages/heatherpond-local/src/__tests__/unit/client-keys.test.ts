import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {
	afterAll, beforeAll, describe, expect, test,
} from '@jest/globals';
import {createSystemClock, type GroupSettings} from 'heatherpond-core';
import pg from 'pg';
import {KRINGLOOP} from '../../deployment-plan.js';
import {startLocalDeployment, type LocalDeployment} from '../../local-deployment.js';

const LOOPBACK = '127.0.0.1';
const TEAM = 'durban';
const ROUTE = 'bookings-jhb';
const stop = new AbortController();
let deployment: LocalDeployment;
/** All bytes that hosts have sent to the databases of the group. */
const receivedChunks: Buffer[] = [];

/** Starts a TCP relay in front of a port, which records all bytes sent to the port; returns the port of the relay. */
async function startRecordingRelay(port: number): Promise<number> {
	const sockets = new Set<Socket>();
	const server = createServer(clientSocket => {
		const databaseSocket = connect(port, LOOPBACK);
		[clientSocket, databaseSocket].forEach(socket => {
			sockets.add(socket);
			socket.on('error', () => {
				socket.destroy();
			});
		});
		clientSocket.on('data', chunk => {
			receivedChunks.push(chunk);
		});
		clientSocket.pipe(databaseSocket).pipe(clientSocket);
	});
	server.listen(0, LOOPBACK);
	await once(server, 'listening');
	stop.signal.addEventListener('abort', () => {
		server.close();
		sockets.forEach(socket => {
			socket.destroy();
		});
	}, {once: true});
	return (server.address() as AddressInfo).port;
}

/** Routes the connections of all hosts to the first group through recording relays. */
async function applyRelays(): Promise<void> {
	const {name} = deployment.plan.groups[0]!;
	const members = deployment.databases.filter(database => database.group.name === name).map(database => database.member);
	const relayed = await Promise.all(members.map(async member => ({...member, port: await startRecordingRelay(member.port)})));
	const group: GroupSettings = {name, durability: 'contract', members: relayed};
	await deployment.waitForVersion(await deployment.appendChange({kind: 'groupApplied', group}));
}

beforeAll(async () => {
	deployment = await startLocalDeployment({
		plan: KRINGLOOP, hostsPerDomain: 1, clock: createSystemClock(), logLevel: 'silent', hostListLagMs: 0, signal: stop.signal,
	});
	await applyRelays();
});

afterAll(() => {
	stop.abort();
});

describe('traffic from hosts to databases', () => {
	test('contains the statements of a client but never its key', async () => {
		const key = deployment.keys.get(TEAM)!;
		const client = new pg.Client({
			host: LOOPBACK, port: deployment.hosts[0]!.callerPort, user: TEAM, password: key, database: ROUTE,
		});
		await client.connect();
		await client.query('CREATE TABLE items (id text PRIMARY KEY, value text)');
		await client.query('INSERT INTO items (id, value) VALUES ($1, $2)', ['circle', 'a value that only this client writes']);
		await client.query('SELECT value FROM items WHERE id = $1', ['circle']);
		await client.end();
		const text = Buffer.concat(receivedChunks).toString('latin1');
		expect(text).toContain('a value that only this client writes');
		expect(text).not.toContain(key);
	});
});
