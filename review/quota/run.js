/* eslint-disable camelcase, unicorn/no-process-exit, @stylistic/max-len -- fields are spelled as on the wire */
/** A tenant sends many times its usual while the machine that divides its limit in one zone freezes for 3.9 s; counts what is run in 5 s. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {openClient} from '../standins-3/clients.js';
import {startDatabases} from '../standins-3/databases.js';
import {createHosts} from '../standins-3/hosts.js';
import {findFreePorts, waitFor, waitUntil} from '../standins-3/net.js';
import {startPlatform} from '../standins-3/platform.js';
import {startStore} from '../standins-3/store.js';

const hasTrouble = process.env.TROUBLE !== '0';
const startedAt = Date.now();
const lines = [];

function record(text) {
	lines.push(`${((Date.now() - startedAt) / 1000).toFixed(3)} ${text}`);
}

/** Exit codes: the rule held, was broken, or the case could not run. */
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/** The tenant's limit, and what it sends: its quota is 1.6 times its usual, and it sends 7.5 times its usual. */
const RATE_PER_S = 91;
const BURST = 91;
const USUAL_PER_S = RATE_PER_S / 1.6;
const PRESSED_PER_S = USUAL_PER_S * 7.5;
/** What the rule allows in a window. */
const WINDOW_MS = 5000;
const ALLOWED = (((RATE_PER_S * WINDOW_MS / 1000) + BURST) * 1.1) + 20;
const FREEZE_AFTER_MS = 600;
const FREEZE_MS = 3900;
const PRESSED_MS = 6500;
const SESSIONS_PER_HOST = 40;
const SERVICE = 'huvo11a';
const ROUTE = 'xapu221ny95';
const KEY = 'u6wsjnbanfqasnmgkcuy';
const ZONES = {'jhb-a': 'gauteng', 'cpt-a': 'western-cape', 'dbn-a': 'kwazulu-natal'};
const MACHINES = [
	['jhb-a-1', 'jhb-a', '127.44.0.11'],
	['jhb-a-2', 'jhb-a', '127.44.0.12'],
	['jhb-a-3', 'jhb-a', '127.44.0.13'],
	['cpt-a-1', 'cpt-a', '127.44.1.11'],
	['cpt-a-2', 'cpt-a', '127.44.1.12'],
	['dbn-a-1', 'dbn-a', '127.44.2.11'],
	['dbn-a-2', 'dbn-a', '127.44.2.12'],
].map(([name, zone, ip]) => ({name: `frontend-${name}`, zone, ip}));
const FROZEN = 'frontend-jhb-a-1';

function createConfiguration() {
	return {
		version: 7,
		routes: [{
			name: 'r-1', database: ROUTE, prefix: '/', route_type: 'bounded_staleness', timeout_ms: 2000, target_latency_ms: 800, priority: 2, backend: SERVICE, attempts: 2, max_staleness_ms: 1500, anonymous: false,
		}],
		backends: [{
			name: SERVICE, health_path: '/health', max_connections: 22, protocol: 'h1', tls: false, sync_replicas: 0,
		}],
		limits: {tx_idle_ms: 3000},
		tenants: [
			{
				name: 'nypu920', api_keys: [KEY], priority: 1, rate_per_s: RATE_PER_S, burst: BURST,
			},
			...Array.from({length: 7}, (_, index) => ({
				name: `nypu${957 + (index * 37)}`, api_keys: [`key-${index}`], priority: 1, rate_per_s: 40, burst: 40,
			})),
		],
	};
}

/** Opens sessions at a host, and runs an operation on one that is free; what finds none is not sent. */
function createSessions(host, sentAt) {
	const free = [];
	let isStopped = false;

	async function open() {
		const client = await openClient({host, database: ROUTE, key: KEY});
		if (client) {
			free.push(client);
		}
	}

	return {
		openAll: async () => Promise.all(Array.from({length: SESSIONS_PER_HOST}, open)),
		async run(item) {
			const client = free.shift();
			if (!client || isStopped) {
				return;
			}

			const answer = await client.query(`READ ${item}`, 8000);
			sentAt.set(answer.id, {sentAt: answer.sentAt, isServed: answer.isServed});
			if (answer.state === 'I') {
				free.push(client);
			} else {
				client.destroy();
			}
		},
		stop() {
			isStopped = true;
			for (const client of free) {
				client.destroy();
			}
		},
	};
}

/** Sends operations at a rate, spread evenly over the zones and the hosts of each. */
async function sendAtRate(sessions, perSecond, durationMs) {
	const zones = Object.keys(ZONES).map(zone => sessions.filter(({host}) => host.zone === zone));
	const beganAt = Date.now();
	let count = 0;
	while (Date.now() < beganAt + durationMs) {
		const due = Math.floor((Date.now() - beganAt) * perSecond / 1000);
		for (; count < due; count++) {
			const zone = zones[count % zones.length];
			zone[Math.floor(count / zones.length) % zone.length].run(`item-${count % 50}`);
		}

		await waitFor(2);
	}

	return count;
}

/** Finds the window in which most operations were both sent and run. */
function findFullestWindow(ran, sentAt) {
	const first = new Map();
	for (const {id, at} of ran) {
		if (sentAt.has(id) && !first.has(id)) {
			first.set(id, {sentAt: sentAt.get(id).sentAt, ranAt: at});
		}
	}

	const all = [...first.values()].toSorted((left, right) => left.ranAt - right.ranAt);
	const windows = all.map(({sentAt: from}) => ({from, count: all.filter(other => other.sentAt >= from && other.ranAt < from + WINDOW_MS).length}));
	return windows.reduce((most, next) => next.count > most.count ? next : most, {from: 0, count: 0});
}

async function isEveryHostReady(hosts) {
	const states = await Promise.all(hosts.map(host => host.isReady()));
	return states.every(Boolean);
}

async function run(cleanUp) {
	const store = await startStore('127.44.9.1');
	const databases = await startDatabases({
		store, service: SERVICE, maxConnections: 22, record,
		members: [
			{id: 'i-7f3a91c2', address: '127.44.8.1', zone: 'jhb-a'}, {id: 'i-2b60d4e7', address: '127.44.8.2', zone: 'cpt-a'}, {id: 'i-c91e05aa', address: '127.44.8.3', zone: 'dbn-a'},
		],
	});
	const platform = await startPlatform({
		address: '127.44.9.2', promote: async (_, id) => databases.promote(id), handleCall(call) {
			record(`failover call: ${JSON.stringify(call)}`);
		},
	});
	store.writeRow('op', 'config', JSON.stringify(createConfiguration()));
	const ports = await findFreePorts(MACHINES.map(({ip}) => ip), 4);
	const starter = createHosts({
		ports, storeAddress: store.address, platformAddress: platform.address, zones: ZONES, record,
	});
	cleanUp.push(() => starter.stop(), () => platform.close(), () => databases.close(), () => store.close());
	const hosts = MACHINES.map(machine => starter.start({...machine, seeds: [MACHINES[0].ip, MACHINES[3].ip, MACHINES[5].ip]}));
	if (!await waitUntil(() => isEveryHostReady(hosts), 20_000)) {
		record('the hosts did not become ready');
		return NOT_RUN;
	}

	await waitFor(5000);
	const sentAt = new Map();
	const sessions = hosts.map(host => ({host, ...createSessions(host, sentAt)}));
	await Promise.all(sessions.map(({openAll}) => openAll()));
	await sendAtRate(sessions, USUAL_PER_S, 5000);
	record(`the tenant sends ${Math.round(PRESSED_PER_S)} operations a second from now on`);
	const pressed = sendAtRate(sessions, PRESSED_PER_S, PRESSED_MS);
	await waitFor(FREEZE_AFTER_MS);
	const frozen = hosts.find(({name}) => name === FROZEN);
	if (hasTrouble) {
		frozen.signal('SIGSTOP');
	}

	await waitFor(FREEZE_MS);
	if (hasTrouble) {
		frozen.signal('SIGCONT');
	}

	const asked = await pressed;
	await waitFor(2500);
	for (const {stop} of sessions) {
		stop();
	}

	const {from, count} = findFullestWindow(databases.ran, sentAt);
	const served = [...sentAt.values()].filter(({isServed}) => isServed).length;
	record(`asked ${asked} while pressing; answered ${sentAt.size} in all, served ${served}`);
	record(`QUOTA: ${count} operations were sent and run in the 5 s from ${((from - startedAt) / 1000).toFixed(3)}; allowed ${ALLOWED.toFixed(1)}`);
	if (served === 0) {
		return NOT_RUN;
	}

	return count > ALLOWED ? BROKEN : HELD;
}

const cleanUp = [];
let code = NOT_RUN;
try {
	code = await run(cleanUp);
} catch (error) {
	record(`the case failed: ${error.stack}`);
}

for (const end of cleanUp) {
	await end();
}

record(`exit ${code}`);
writeFileSync(new URL('record.txt', import.meta.url), `${lines.join('\n')}\n`);
process.exit(code);
