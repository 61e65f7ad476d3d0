/* eslint-disable camelcase -- fields are spelled as on the wire */
/** Stand-in of the platform's store: rows in tables, a change feed, and conditional transactions, over HTTP. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {waitFor, listen} from './net.js';

/** Time that an answer takes, in milliseconds. */
const ANSWER_MS = 4;

/** Starts the store on a loopback address. */
export async function startStore(address) {
	const tables = new Map();
	let version = 0;

	function findTable(name) {
		if (!tables.has(name)) {
			tables.set(name, new Map());
		}

		return tables.get(name);
	}

	function writeRow(table, key, value) {
		version++;
		findTable(table).set(key, {key, value: Buffer.from(value).toString('base64'), version});
	}

	function removeRow(table, key) {
		version++;
		findTable(table).set(key, {key, version, isDeleted: true});
	}

	function readVersion(table, key) {
		const row = findTable(table).get(key);
		return row && !row.isDeleted ? row.version : 0;
	}

	function formatRow(table, row) {
		const base = {
			table, part: '', key: row.key, row_version: row.version,
		};
		return row.isDeleted ? {...base, deleted: true} : {...base, value: row.value};
	}

	function answerTransaction({expect = [], puts = [], remove = []}) {
		const isMet = expect.every(row => readVersion(row.table, row.key) === row.row_version);
		if (!isMet) {
			const rows = expect.map(({table, key}) => findTable(table).get(key)).filter(Boolean).map(row => formatRow('', row));
			return {status: 412, body: {rows}};
		}

		// One transaction has one version.
		const next = version + 1;
		for (const {table, key, value} of puts) {
			findTable(table).set(key, {key, value, version: next});
		}

		for (const {table, key} of remove) {
			findTable(table).set(key, {key, version: next, isDeleted: true});
		}

		version = next;
		return {status: 200, body: {}};
	}

	function answer(request, url, text) {
		const table = url.searchParams.get('table');
		if (request.method === 'POST' && url.pathname === '/rows-tx') {
			return answerTransaction(JSON.parse(text));
		}

		if (url.pathname === '/rows-get') {
			const from = url.searchParams.get('from') ?? '';
			const rows = [...findTable(table).values()].filter(row => !row.isDeleted && row.key >= from).toSorted((left, right) => left.key < right.key ? -1 : 1);
			return {status: 200, body: {rows: rows.map(row => formatRow(table, row)), has_more: false}};
		}

		if (url.pathname === '/rows-feed') {
			const after = Number(url.searchParams.get('after'));
			const rows = [...findTable(table).values()].filter(row => row.version > after).toSorted((left, right) => left.version - right.version);
			return {status: 200, body: {rows: rows.map(row => formatRow(table, row))}};
		}

		return {status: 404, body: {}};
	}

	const server = createServer((request, response) => {
		const chunks = [];
		request.on('data', chunk => {
			chunks.push(chunk);
		});
		request.on('end', async () => {
			await waitFor(ANSWER_MS);
			const {status, body} = answer(request, new URL(request.url, 'http://store'), Buffer.concat(chunks).toString('utf8'));
			response.writeHead(status, {'content-type': 'application/json'});
			response.end(JSON.stringify({...body, row_version: version, now_ms: performance.now()}));
		});
	});
	const port = await listen(server, address);
	return {
		address: `${address}:${port}`, writeRow, removeRow,
		readRows: table => [...findTable(table).values()].filter(row => !row.isDeleted).map(({key, value}) => ({key, value: Buffer.from(value, 'base64').toString('utf8')})),
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}
