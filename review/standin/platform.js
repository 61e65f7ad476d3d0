/* eslint-disable camelcase -- Field names of the platform. */
/** Stand-in of the platform: the metadata store and the failover call, as PROTOCOL.md describes them. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {wait} from './wait.js';

/** Time that a transaction of the store takes, and its history, in milliseconds. */
const TX_LATENCY_MS = 4;
const HISTORY_MS = 20_000;
/** Most rows in one answer. */
const PAGE_ROWS = 500;
/** Tables that only the operator and the databases write. */
const FOREIGN_TABLES = new Set(['op', 'servers']);

/** Starts the platform on an address; `promote` carries out a failover and returns whether the database runs. */
export function startPlatform({ip, record, promote}) {
	const tables = new Map();
	const hooks = {handleAnswered: () => undefined};
	const servers = [];
	const failovers = [];
	let history = [];
	let version = 0;
	let tail = Promise.resolve();

	function findTable(name) {
		if (!tables.has(name)) {
			tables.set(name, new Map());
		}

		return tables.get(name);
	}

	/** Applies one transaction: all rows get the same version. */
	function applyChanges(puts, removed) {
		version++;
		const at = performance.now();
		puts.forEach(({table, key, value}) => {
			findTable(table).set(key, {value, version});
			history.push({
				table, key, value, version, at,
			});
		});
		removed.filter(({table, key}) => findTable(table).delete(key)).forEach(({table, key}) => {
			history.push({
				table, key, version, at,
			});
		});
		history = history.filter(({at: changedAt}) => changedAt > at - HISTORY_MS);
	}

	function createAnswer(body) {
		return {status: 200, body: {...body, row_version: version, now_ms: Math.floor(performance.now())}};
	}

	function readRows(query) {
		const [from, to] = [query.get('from'), query.get('to')];
		const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS));
		const rows = [...findTable(query.get('table'))]
			.filter(([key]) => (from === null || key >= from) && (to === null || key < to))
			.toSorted(([left], [right]) => left < right ? -1 : 1)
			.map(([key, row]) => ({
				table: query.get('table'), part: '', key, value: row.value, row_version: row.version,
			}));
		return createAnswer({rows: rows.slice(0, limit), has_more: rows.length > limit});
	}

	function readFeed(query) {
		const after = Number(query.get('after'));
		const oldest = history.at(0)?.version ?? version + 1;
		if (after > 0 && after + 1 < oldest && after < version) {
			return {status: 410, body: {}};
		}

		const newest = new Map(history.filter(({table, version: changed}) => table === query.get('table') && changed > after).map(change => [change.key, change]));
		return createAnswer({
			rows: [...newest.values()].toSorted((left, right) => left.version - right.version).map(({table, key, value, version: changed}) => ({
				table, part: '', key, row_version: changed, ...(value === undefined ? {deleted: true} : {value}),
			})),
		});
	}

	/** Transactions take their time one after the other. */
	async function runTransaction({expect = [], puts = [], remove = []}) {
		const before = tail;
		const turn = before.then(async () => wait(TX_LATENCY_MS));
		tail = turn;
		await turn;
		if ([...puts, ...remove].some(({table}) => FOREIGN_TABLES.has(table))) {
			return {status: 403, body: {}};
		}

		const holds = expect.every(({table, key, row_version: expected}) => (findTable(table).get(key)?.version ?? 0) === expected);
		if (!holds) {
			return {
				status: 412, body: {
					rows: expect.map(({table, key}) => ({
						table, part: '', key, row_version: findTable(table).get(key)?.version ?? 0, value: findTable(table).get(key)?.value,
					})),
				},
			};
		}

		applyChanges(puts, remove);
		return createAnswer({});
	}

	async function handleStoreCall(request) {
		const url = new URL(request.url, 'http://store');
		switch (url.pathname) {
			case '/rows-get': {
				await wait(TX_LATENCY_MS);
				return readRows(url.searchParams);
			}

			case '/rows-feed': {
				await wait(TX_LATENCY_MS);
				return readFeed(url.searchParams);
			}

			case '/rows-tx': {
				return runTransaction(JSON.parse(await readBody(request)));
			}

			default: {
				return {status: 404, body: {}};
			}
		}
	}

	async function handleFailover(request, from) {
		const {backend, id} = JSON.parse(await readBody(request));
		const call = {
			backend, id, holder: request.headers['lease-holder'], fence: Number(request.headers['fencing-token']), from, at: performance.now(),
		};
		failovers.push(call);
		record(`platform: POST /failover for ${backend} names ${id}, sent by ${from}, Lease-Holder ${call.holder}, Fencing-Token ${call.fence}`);
		return {status: promote(backend, id) ? 200 : 409, body: {}};
	}

	async function openServer(handle, handleAnswered) {
		const {server, port} = await startHttpServer(ip, handle, handleAnswered);
		servers.push(server);
		return `${ip}:${port}`;
	}

	return {
		hooks, failovers,
		/** Opens addresses of the store and of the failover call for one host, so that its calls can be told from others. */
		async openAddresses(host) {
			return {
				store: await openServer(handleStoreCall, request => {
					hooks.handleAnswered({host, url: request.url});
				}),
				failover: await openServer(async request => handleFailover(request, host), () => undefined),
			};
		},
		/** Writes a row as the operator or a database. */
		writeRow(table, key, value) {
			applyChanges([{table, key, value: Buffer.from(JSON.stringify(value)).toString('base64')}], []);
		},
		removeRow(table, key) {
			applyChanges([], [{table, key}]);
		},
		stop() {
			servers.forEach(server => {
				server.closeAllConnections();
				server.close();
			});
		},
	};
}

async function readBody(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

async function startHttpServer(ip, handle, handleAnswered) {
	const server = createServer(async (request, response) => {
		try {
			const {status, body} = await handle(request);
			response.writeHead(status, {'content-type': 'application/json'});
			response.end(JSON.stringify(body));
			handleAnswered(request);
		} catch (error) {
			response.destroy(error);
		}
	});
	server.keepAliveTimeout = 60_000;
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen({host: ip, port: 0}, resolve);
	});
	return {server, port: server.address().port};
}
