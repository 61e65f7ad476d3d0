/**
 * Stand-in of the platform: its metadata store and its failover API, each on an address of its own. Only the calls and rules of
 * PROTOCOL.md: rows with versions from one counter, conditional transactions, a feed of changes, POST /failover.
 */
/* eslint camelcase: off -- the names are those of the store */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';

const TRANSACTION_MS = 4;
const READ_MS = 2;

function wait(ms) {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

async function readBody(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

function startListening(server, host) {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen({host, port: 0}, () => {
			resolve(`${host}:${server.address().port}`);
		});
	});
}

/**
 * Starts the platform.
 *
 * @param host - loopback address to listen on
 * @param promote - carries out POST /failover; returns the HTTP status, or a promise of it
 */
export async function startPlatform({host, promote}) {
	let version = 0;
	/** Newest state of each row by table and key, removed ones included. */
	const tables = new Map();
	/** Calls to the failover API, in the order in which they arrived. */
	const failovers = [];
	const startedAt = performance.now();

	const readNow = () => Math.round(performance.now() - startedAt);
	const findTable = name => {
		if (!tables.has(name)) {
			tables.set(name, new Map());
		}

		return tables.get(name);
	};

	const formatRow = ({table, key, value, rowVersion, deleted}) => ({
		table, part: '', key, row_version: rowVersion, ...(deleted ? {deleted: true} : {value}),
	});

	function readVersion(table, key) {
		const row = findTable(table).get(key);
		return row && !row.deleted ? row.rowVersion : 0;
	}

	/** Writes a row as the operator or a database does. */
	function writeRow(table, key, text) {
		version++;
		findTable(table).set(key, {
			table, key, value: text === undefined ? undefined : Buffer.from(text).toString('base64'), rowVersion: version, deleted: text === undefined,
		});
	}

	function runTransaction({expect = [], puts = [], remove = []}) {
		if ([...puts, ...remove].some(({table}) => table === 'op' || table === 'servers')) {
			return {status: 403, body: {}};
		}

		if (expect.some(({table, key, row_version: expected}) => readVersion(table, key) !== expected)) {
			const rows = expect.map(({table, key}) => findTable(table).get(key)).filter(row => row && !row.deleted).map(formatRow);
			return {status: 412, body: {rows, row_version: version, now_ms: readNow()}};
		}

		version++;
		puts.forEach(({table, key, value}) => {
			findTable(table).set(key, {
				table, key, value, rowVersion: version, deleted: false,
			});
		});
		remove.forEach(({table, key}) => {
			findTable(table).set(key, {
				table, key, rowVersion: version, deleted: true,
			});
		});
		return {status: 200, body: {row_version: version, now_ms: readNow()}};
	}

	function readRows(query) {
		const {from = '', to, limit = '500'} = query;
		const all = [...findTable(query.table).values()]
			.filter(({key, deleted}) => !deleted && key >= from && (to === undefined || key < to))
			.toSorted((left, right) => left.key < right.key ? -1 : 1);
		const count = Math.min(500, Number(limit));
		return {
			status: 200, body: {
				rows: all.slice(0, count).map(formatRow), has_more: all.length > count, row_version: version, now_ms: readNow(),
			},
		};
	}

	async function readFeed({table, after, wait_ms: waitMs = '0'}) {
		const end = performance.now() + Number(waitMs);
		for (;;) {
			const rows = [...findTable(table).values()].filter(({rowVersion}) => rowVersion > Number(after)).toSorted((left, right) => left.rowVersion - right.rowVersion);
			if (rows.length > 0 || performance.now() >= end) {
				return {status: 200, body: {rows: rows.map(formatRow), row_version: version, now_ms: readNow()}};
			}

			await wait(10);
		}
	}

	async function handleStoreCall(request) {
		const url = new URL(request.url, 'http://store');
		const query = Object.fromEntries(url.searchParams);
		switch (`${request.method} ${url.pathname}`) {
			case 'GET /rows-get': {
				await wait(READ_MS);
				return readRows(query);
			}

			case 'GET /rows-feed': {
				await wait(READ_MS);
				return readFeed(query);
			}

			case 'POST /rows-tx': {
				const body = JSON.parse(await readBody(request));
				await wait(TRANSACTION_MS);
				return runTransaction(body);
			}

			default: {
				return {status: 404, body: {}};
			}
		}
	}

	async function handleFailover(request) {
		const {backend, id} = JSON.parse(await readBody(request));
		const call = {
			at: performance.now(), backend, id, holder: request.headers['lease-holder'], token: Number(request.headers['fencing-token']),
		};
		failovers.push(call);
		call.status = await promote(call);
		return {status: call.status, body: {}};
	}

	function createApi(handle) {
		return createServer((request, response) => {
			handle(request).then(({status, body}) => {
				response.writeHead(status, {'content-type': 'application/json'});
				response.end(JSON.stringify(body));
			}).catch(() => {
				response.destroy();
			});
		});
	}

	const store = createApi(handleStoreCall);
	const cloud = createApi(handleFailover);
	// Idle connections stay open, as those of a platform do.
	[store, cloud].forEach(server => {
		server.keepAliveTimeout = 0;
	});
	return {
		storeAddress: await startListening(store, host),
		cloudAddress: await startListening(cloud, host),
		failovers, writeRow,
		/** Reads the rows of a table as texts by key. */
		readTable: table => new Map([...findTable(table).values()].filter(({deleted}) => !deleted).map(({key, value}) => [key, Buffer.from(value, 'base64').toString('utf8')])),
		stop() {
			[store, cloud].forEach(server => {
				server.closeAllConnections();
				server.close();
			});
		},
	};
}
