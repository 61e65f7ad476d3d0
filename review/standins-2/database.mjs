/**
 * Stand-in of a service of databases: one primary and its replicas, with the wire protocol, slots, replication, `sync_replicas`
 * and promotes as PROTOCOL.md tells them. All databases run in this process; each has an address of its own.
 */
/* eslint camelcase: off -- the names are those of the registrations */
import {createServer} from 'node:net';
import {performance} from 'node:perf_hooks';

const SLOT_MS = 2;
/** Time from a commit until another database has received it. */
const NETWORK_MS = 1;
/** Time after which an old primary that can reach the new one becomes its replica. */
const DEMOTE_MS = 1000;
const QUEUE = 24;

const wait = ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

const splitFields = (text, count) => {
	const at = text.indexOf(' ');
	return count <= 1 || at === -1 ? [text] : [text.slice(0, at), ...splitFields(text.slice(at + 1), count - 1)];
};

/**
 * Starts a service.
 *
 * @param databases - id, host, zone, and the mean time until a received commit has been applied (`lagMs`)
 * @param register - called with a database and what it says of itself whenever that changes; without the latter it has left
 * @param workMs - time for which a statement occupies a slot; a function of its text
 */
export async function startService({name, databases: given, syncReplicas = 0, promoteMs = 300, slots = 3, maxConnections = 22, register, workMs = () => SLOT_MS}) {
	const databases = new Map();
	/** Everything that a database ran for a client, in order. */
	const ran = [];
	/** Ids of the statements that databases have received. */
	const received = new Set();
	const promotes = [];
	let signatures = 0;
	let connectionCount = 0;

	const formatPosition = commit => commit ? `${commit.term}.${commit.number}` : '1.0';
	const describe = database => ({
		backend: name, address: database.address, zone: database.zone, version: 'v1', capacity: slots, state: database.state, warmup_left_ms: 0,
		db_role: database.isPrimary ? 'primary' : 'replica', sequence: database.sequence++, born: database.born,
	});
	const announce = database => {
		if (!database.isDown) {
			register(database.id, describe(database));
		}
	};

	/** Reads what the log holds for an item, as far as it has been applied. */
	const readItem = (database, item) => database.log.slice(0, database.applied).findLast(({writes}) => writes.has(item))?.writes.get(item) ?? '-';

	function insertCommit(replica, commit) {
		if (replica.isDown || replica.isPrimary || replica.isPaused || replica.log.length !== commit.number - 1) {
			return false;
		}

		replica.log.push(commit);
		setTimeout(() => {
			replica.applied = Math.max(replica.applied, Math.min(commit.number, replica.log.length));
		}, replica.lagMs);
		return true;
	}

	/** Sends the log of a primary to its replicas; what one has missed comes first. */
	function sendLog(primary) {
		[...databases.values()].filter(replica => replica !== primary && !replica.isPrimary && replica.term <= primary.term).forEach(replica => {
			setTimeout(() => {
				if (primary.isDown || !primary.isPrimary) {
					return;
				}

				primary.log.slice(replica.log.length).forEach(commit => {
					insertCommit(replica, commit);
				});
				primary.waiting.forEach(check => {
					check();
				});
			}, NETWORK_MS + replica.receiveMs);
		});
	}

	/** Appends a commit; resolves when it may be acknowledged, or to false when this database does not lead any more. */
	async function applyCommit(database, id, writes) {
		const number = database.log.length + 1;
		const entry = {
			term: database.term, number, id, writes,
		};
		database.log.push(entry);
		database.applied = number;
		sendLog(database);
		if (syncReplicas === 0) {
			return true;
		}

		return new Promise(resolve => {
			function check() {
				// Draining replicas count as well.
				const holders = [...databases.values()].filter(other => other !== database && !other.isDown && other.log[number - 1] === entry).length;
				if (holders >= syncReplicas || !database.isPrimary || database.isDown) {
					database.waiting.delete(check);
					resolve(holders >= syncReplicas);
				}
			}

			database.waiting.add(check);
			check();
		});
	}

	/** Runs what occupies a slot; it waits for one in a queue of limited length. */
	async function runInSlot(database, ms, run) {
		if (database.busy >= slots + QUEUE) {
			return {error: 'BUSY'};
		}

		database.busy++;
		if (database.busy > slots) {
			await new Promise(resolve => {
				database.queue.push(resolve);
			});
		}

		try {
			await wait(ms);
			return await run();
		} finally {
			database.busy--;
			database.queue.shift()?.();
		}
	}

	function record(session, id, text, more) {
		signatures++;
		const signature = `${signatures.toString(16)}.${session.database.id}`;
		ran.push({
			at: performance.now(), database: session.database.id, connection: session.number, team: session.team, id, text, signature, ...more,
		});
		return signature;
	}

	async function runData(session, id, {access, item, data, text}) {
		const {database} = session;
		if ((access === 'WRITE' || (session.transaction && !session.transaction.isReadOnly)) && !database.isPrimary) {
			return {error: 'READONLY'};
		}

		if (access === 'READ') {
			const row = session.transaction?.writes.get(item) ?? readItem(database, item);
			return {rows: [row], signature: record(session, id, text, {row})};
		}

		if (session.transaction) {
			session.transaction.writes.set(item, data);
			return {signature: record(session, id, text)};
		}

		const signature = record(session, id, text);
		return await applyCommit(database, id, new Map([[item, data]])) ? {signature} : undefined;
	}

	async function runCommit(session, id) {
		const {transaction, database} = session;
		session.transaction = undefined;
		if (session.hasFailed || !transaction) {
			session.hasFailed = false;
			return {error: transaction ? 'ABORTED' : 'MALFORMED'};
		}

		if (transaction.writes.size > 0 && !database.isPrimary) {
			return {error: 'READONLY'};
		}

		const signature = record(session, id, 'COMMIT');
		return transaction.writes.size === 0 || await applyCommit(database, id, transaction.writes) ? {signature} : undefined;
	}

	/** Runs a statement; undefined when there is no answer to it. */
	async function runStatement(session, id, text) {
		const {database} = session;
		let statement = text;
		if (text.startsWith('AFTERLSN ')) {
			const [, position, rest] = splitFields(text, 3);
			const [term, number] = position.split('.').map(Number);
			const held = database.log[number - 1];
			if (number > 0 && (database.applied < number || held.term < term)) {
				return {error: 'LAGGING'};
			}

			statement = rest;
		}

		const [word, first, rest] = splitFields(statement, 3);
		if (session.hasFailed && word !== 'ROLLBACK' && word !== 'COMMIT') {
			return {error: 'MALFORMED'};
		}

		switch (word) {
			case 'BEGIN': {
				if (first !== 'READ' && !database.isPrimary) {
					return {error: 'READONLY'};
				}

				session.transaction = {isReadOnly: first === 'READ', writes: new Map()};
				return {signature: '-'};
			}

			case 'ROLLBACK': {
				session.transaction = undefined;
				session.hasFailed = false;
				return {signature: '-'};
			}

			case 'COMMIT': {
				return runInSlot(database, SLOT_MS, () => runCommit(session, id));
			}

			case 'READ': {
				return runInSlot(database, workMs(statement), () => runData(session, id, {access: 'READ', item: statement.slice(5), text: statement}));
			}

			case 'WRITE': {
				return runInSlot(database, workMs(statement), () => runData(session, id, {
					access: 'WRITE', item: first, data: rest, text: statement,
				}));
			}

			case 'EXECUTE': {
				const prepared = session.prepared.get(first);
				const [item, data] = splitFields(rest, 2);
				return prepared
					? runInSlot(database, workMs(statement), () => runData(session, id, {
						access: prepared, item, data, text: statement,
					}))
					: {error: 'NOSTMT'};
			}

			case 'SET': {
				session.values.set(first, rest);
				return {signature: '-'};
			}

			case 'PREPARE': {
				session.prepared.set(first, splitFields(rest, 2)[0]);
				return {signature: '-'};
			}

			case 'DEALLOC': {
				return session.prepared.delete(first) ? {signature: '-'} : {error: 'NOSTMT'};
			}

			case 'RESET': {
				session.values.clear();
				session.prepared.clear();
				return {signature: '-'};
			}

			case 'STATUS': {
				return runInSlot(database, SLOT_MS, () => ({rows: [formatStatus(database)], signature: '-'}));
			}

			case 'PAUSE': {
				database.isPaused ||= !database.isPrimary && Number(first) > database.term;
				return {rows: [formatStatus(database)], signature: '-'};
			}

			case 'RESUME': {
				database.isPaused = false;
				return {rows: [formatStatus(database)], signature: '-'};
			}

			case 'STEPDOWN': {
				if (database.isPrimary && database.term < Number(first)) {
					database.isPrimary = false;
					announce(database);
				}

				return {rows: [formatStatus(database)], signature: '-'};
			}

			default: {
				return {error: 'MALFORMED'};
			}
		}
	}

	const formatStatus = database => `${database.isPrimary ? 'primary' : 'replica'} ${database.term} ${formatPosition(database.log.at(-1))} ${database.log.at(-1)?.term ?? 1} ${database.lagMs} ${database.busy} ${database.sockets.size}`;

	async function handleLine(session, line) {
		const {database, socket} = session;
		const [word, first = '', rest = ''] = splitFields(line, 3);
		if (!session.hasStarted) {
			const [who, id] = splitFields(rest, 2);
			const isWrong = word !== 'STARTUP' || first !== name || (id !== undefined && id !== database.id);
			if (isWrong || database.sockets.size > maxConnections) {
				socket.end(`ERROR ${isWrong ? 'WRONGNODE' : 'TOOMANY'} ${database.id}\r\n`);
				return;
			}

			session.hasStarted = true;
			session.team = who;
			socket.write(`READY I ${formatPosition(database.log[database.applied - 1])}\r\n`);
			return;
		}

		if (word !== 'QUERY') {
			socket.end();
			return;
		}

		received.add(first);
		const result = await runStatement(session, first, rest);
		if (result === undefined || socket.destroyed || database.isDown) {
			socket.destroy();
			return;
		}

		if (result.error !== undefined && session.transaction && result.error !== 'BUSY') {
			session.hasFailed = true;
		}

		const state = session.hasFailed ? 'E' : (session.transaction ? 'T' : 'I');
		const outcome = result.error === undefined ? `COMPLETE ${result.signature}` : `ERROR ${result.error} ${database.id}`;
		socket.write([...(result.rows ?? []).map(row => `DATAROW ${row}`), outcome, `READY ${state} ${formatPosition(database.log[database.applied - 1])}`, ''].join('\r\n'));
	}

	async function start(database) {
		database.server = createServer({noDelay: true}, socket => {
			connectionCount++;
			const session = {
				database, socket, number: connectionCount, hasStarted: false, team: '', values: new Map(), prepared: new Map(), transaction: undefined, hasFailed: false,
			};
			let rest = '';
			let queue = Promise.resolve();
			database.sockets.add(socket);
			socket.on('error', () => {
				socket.destroy();
			});
			socket.once('close', () => {
				database.sockets.delete(socket);
			});
			socket.on('data', chunk => {
				const lines = `${rest}${chunk.toString('latin1')}`.split('\r\n');
				rest = lines.pop();
				lines.forEach(line => {
					queue = queue.then(() => socket.destroyed ? undefined : handleLine(session, line));
				});
			});
		});
		await new Promise((resolve, reject) => {
			database.server.once('error', reject);
			database.server.listen({host: database.host, port: database.port ?? 0}, resolve);
		});
		database.port = database.server.address().port;
		database.address = `${database.host}:${database.port}`;
	}

	for (const [index, {id, host, zone, lagMs = 10, receiveMs = 0}] of given.entries()) {
		const database = {
			id, host, zone, lagMs, receiveMs, isPrimary: index === 0, term: 1, log: [], applied: 0, isPaused: false, isDown: false, state: 'ready', sequence: 1, born: Date.now(), busy: 0, queue: [], sockets: new Set(), waiting: new Set(),
		};
		databases.set(id, database);
		await start(database);
		announce(database);
	}

	/** Makes a database a replica of the present primary: what the primary lacks is rolled back, what it has is sent. */
	function applyPrimary(database, primary) {
		const common = database.log.findIndex((entry, index) => primary.log[index] !== entry);
		database.log = common === -1 ? database.log : database.log.slice(0, common);
		database.applied = Math.min(database.applied, database.log.length);
		database.isPrimary = false;
		database.isPaused = false;
		database.term = primary.term;
		announce(database);
		sendLog(primary);
	}

	return {
		name, databases, ran, received, promotes,
		findPrimary: () => [...databases.values()].filter(({isPrimary, isDown}) => isPrimary && !isDown).toSorted((left, right) => right.term - left.term).at(0),
		/** Carries out POST /failover; returns the HTTP status. */
		promote({id}) {
			const chosen = databases.get(id);
			if (!chosen || chosen.isDown) {
				return 409;
			}

			const newest = Math.max(...[...databases.values()].map(({term}) => term));
			if (chosen.isPrimary && chosen.term === newest) {
				return 200;
			}

			setTimeout(() => {
				if (chosen.isDown || chosen.isPrimary) {
					return;
				}

				const term = Math.max(...[...databases.values()].map(database => database.term)) + 1;
				chosen.isPrimary = true;
				chosen.isPaused = false;
				chosen.term = term;
				chosen.applied = chosen.log.length;
				promotes.push({
					at: performance.now(), id, term, held: new Set(chosen.log.map(entry => entry.id)),
				});
				announce(chosen);
				[...databases.values()].filter(other => other !== chosen && !other.isDown).forEach(other => {
					if (other.isPrimary) {
						setTimeout(() => {
							if (!other.isDown && chosen.isPrimary) {
								applyPrimary(other, chosen);
							}
						}, DEMOTE_MS);
					} else {
						applyPrimary(other, chosen);
					}
				});
			}, promoteMs);
			return 200;
		},
		/** Ends a database at once; its entry is removed after three heartbeats of silence. */
		crash(id, heartbeatMs) {
			const database = databases.get(id);
			database.isDown = true;
			database.server.close();
			database.sockets.forEach(socket => {
				socket.destroy();
			});
			setTimeout(() => {
				if (database.isDown) {
					register(id, undefined);
				}
			}, heartbeatMs * 3);
		},
		/** A database reports that it is draining; it serves on until it ends. */
		drain(id) {
			databases.get(id).state = 'draining';
			announce(databases.get(id));
		},
		heartbeat() {
			databases.forEach(announce);
		},
		stop() {
			databases.forEach(({server, sockets}) => {
				server.close();
				sockets.forEach(socket => {
					socket.destroy();
				});
			});
		},
	};
}
