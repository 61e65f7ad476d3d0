/* eslint-disable camelcase, no-restricted-syntax, complexity, @stylistic/max-len -- fields are spelled as on the wire */
/**
 * Stand-in of one service: a primary and its replicas, which speak the wire, register themselves in the store, and send commits on.
 * A transaction whose client is idle stays open until its connection ends.
 */
import {createServer} from 'node:net';
import {listen, registerLines, waitFor} from './net.js';

const HEARTBEAT_MS = 1200;
/** Time that a replica is behind, and that a statement takes, in milliseconds. */
const REPLICATION_MS = 20;
const STATEMENT_MS = 3;
const PROMOTION_MS = 300;
/** Time after which an old primary follows a new one that it can reach, in milliseconds. */
const FOLLOW_MS = 1000;

/** Starts a service; `members` are the ids and addresses of its databases, of which the first one is primary. */
export async function startDatabases({store, service, maxConnections, members, slots = 3, record}) {
	const databases = new Map();
	/** Statements that clients sent and databases ran: id, text, database, term, and whether it was the primary. */
	const ran = [];
	/** When which database began to lead. */
	const promotions = [];
	let term = 1;

	function formatPosition({log}) {
		const last = log.at(-1);
		return last ? `${last.term}.${last.number}` : '-';
	}

	function writeRegistration(database) {
		if (database.isEnded) {
			return;
		}

		database.sequence++;
		store.writeRow('servers', database.id, JSON.stringify({
			backend: service, address: `${database.address}:${database.port}`, zone: database.zone, version: 'v1', capacity: slots,
			state: database.isDraining ? 'draining' : 'ready', warmup_left_ms: 0, db_role: database.isPrimary ? 'primary' : 'replica', sequence: database.sequence, born: database.born,
		}));
	}

	function receive(database, entry) {
		if (!database.isEnded && !database.log.some(({term: other, number}) => other === entry.term && number === entry.number)) {
			database.log.push(entry);
			for (const [item, data] of entry.writes) {
				database.items.set(item, data);
			}
		}
	}

	function commit(database, writes) {
		const entry = {term: database.term, number: database.log.length + 1, writes};
		receive(database, entry);
		for (const replica of databases.values()) {
			if (replica !== database && !replica.isPrimary && replica.term === database.term) {
				setTimeout(() => {
					if (replica.term === entry.term) {
						receive(replica, entry);
					}
				}, REPLICATION_MS);
			}
		}
	}

	/** Makes a database a replica of a new primary, whose log it takes; what it had beyond that is rolled back. */
	function followPrimary(database, next) {
		if (!next.isPrimary || database.term > next.term) {
			return;
		}

		if (database.isPrimary) {
			record(`${database.id}, primary of term ${database.term}, follows ${next.id} of term ${next.term}`);
		}

		database.isPrimary = false;
		database.term = next.term;
		database.log = [...next.log];
		database.items = new Map(next.items);
		writeRegistration(database);
	}

	function hasPosition({log}, text) {
		const [wantedTerm, wantedNumber] = text.split('.').map(Number);
		const last = log.at(-1) ?? {term: 0, number: 0};
		return last.term > wantedTerm || (last.term === wantedTerm && last.number >= wantedNumber);
	}

	function signature(database) {
		database.signatures++;
		return `${database.id}.${database.signatures}`;
	}

	/** Runs one statement; returns its lines without READY. */
	function runStatement(database, session, {id, text}) {
		const [, position, rest] = /^AFTERLSN (\S+) (.*)$/v.exec(text) ?? [undefined, undefined, text];
		if (position && !hasPosition(database, position)) {
			return [`ERROR LAGGING ${database.id}`];
		}

		const [word, first, second] = rest.split(' ');
		const isClient = id !== '-';
		if (isClient) {
			ran.push({
				at: Date.now(), id, text: rest, database: database.id, term: database.term, isPrimary: database.isPrimary, team: session.team, isInTransaction: session.transaction !== undefined,
			});
		}

		switch (word) {
			case 'BEGIN': {
				if (first !== 'READ' && !database.isPrimary) {
					return [`ERROR READONLY ${database.id}`];
				}

				session.transaction = {isReadOnly: first === 'READ', writes: []};
				return ['COMPLETE -'];
			}

			case 'READ': {
				return [`DATAROW ${database.items.get(first) ?? '-'}`, `COMPLETE ${signature(database)}`];
			}

			case 'WRITE': {
				if (!database.isPrimary) {
					return [`ERROR READONLY ${database.id}`];
				}

				const data = rest.slice(`WRITE ${first} `.length);
				if (session.transaction) {
					session.transaction.writes.push([first, data]);
				} else {
					commit(database, [[first, data]]);
				}

				return [`COMPLETE ${signature(database)}`];
			}

			case 'COMMIT': {
				const writes = session.transaction?.writes ?? [];
				session.transaction = undefined;
				if (writes.length > 0 && !database.isPrimary) {
					return [`ERROR READONLY ${database.id}`];
				}

				if (writes.length > 0) {
					commit(database, writes);
				}

				return [`COMPLETE ${signature(database)}`];
			}

			case 'ROLLBACK': {
				session.transaction = undefined;
				return ['COMPLETE -'];
			}

			case 'STATUS':
			case 'STEPDOWN': {
				if (word === 'STEPDOWN' && database.isPrimary && database.term < Number(first)) {
					database.isPrimary = false;
					writeRegistration(database);
				}

				return [`DATAROW ${database.isPrimary ? 'primary' : 'replica'} ${database.term} ${formatPosition(database) === '-' ? '1.0' : formatPosition(database)} ${database.term} 0 0 ${database.sessions.size}`, 'COMPLETE -'];
			}

			case 'RESET':
			case 'SET':
			case 'PREPARE':
			case 'DEALLOC': {
				return ['COMPLETE -'];
			}

			default: {
				return [`ERROR MALFORMED ${second ?? ''}`];
			}
		}
	}

	function serve(database, socket) {
		const session = {team: '', transaction: undefined, isStarted: false};
		let previous = Promise.resolve();
		socket.setNoDelay(true);
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('close', () => {
			database.sessions.delete(session);
		});

		async function handle(line) {
			if (database.isDark) {
				return;
			}

			const [word, first, ...others] = line.split(' ');
			if (word === 'STARTUP') {
				const [team, id] = others;
				if (first !== service || (id !== undefined && id !== database.id)) {
					socket.end(`ERROR WRONGNODE ${database.id}\r\n`);
					return;
				}

				if (database.sessions.size >= maxConnections) {
					record(`database ${database.id} refused a connection: TOOMANY`);
					socket.end(`ERROR TOOMANY ${database.id}\r\n`);
					return;
				}

				session.team = team;
				database.sessions.add(session);
				await waitFor(STATEMENT_MS);
				socket.write(`READY I ${formatPosition(database)}\r\n`);
			} else if (word === 'QUERY') {
				await waitFor(STATEMENT_MS);
				const lines = runStatement(database, session, {id: first, text: others.join(' ')});
				if (!socket.destroyed) {
					socket.write([...lines, `READY ${session.transaction ? 'T' : 'I'} ${formatPosition(database)}`].map(text => `${text}\r\n`).join(''));
				}
			} else {
				socket.end();
			}
		}

		registerLines(socket, line => {
			previous = previous.then(async () => handle(line));
		});
	}

	/** Starts a database with the log of the primary, if there is one, and registers it. */
	async function startDatabase({id, address, zone}) {
		const leader = [...databases.values()].toSorted((left, right) => right.log.length - left.log.length).at(0);
		const database = {
			id, address, zone, port: 0, isPrimary: databases.size === 0, term, log: [...leader?.log ?? []], items: new Map(leader?.items), sessions: new Set(), sequence: 0, signatures: 0, born: Date.now(), isDraining: false, isDark: false, isEnded: false, server: undefined,
		};
		database.server = createServer(socket => {
			serve(database, socket);
		});
		database.port = await listen(database.server, address);
		databases.set(id, database);
		writeRegistration(database);
	}

	for (const member of members) {
		await startDatabase(member);
	}

	const timer = setInterval(() => {
		for (const database of databases.values()) {
			writeRegistration(database);
		}
	}, HEARTBEAT_MS);

	return {
		databases, ran, promotions,
		/** Makes a database the primary of the next term, as the platform does. */
		async promote(id) {
			const next = databases.get(id);
			if (next.isPrimary) {
				return;
			}

			await waitFor(PROMOTION_MS);
			term++;
			next.isPrimary = true;
			next.term = term;
			promotions.push({at: Date.now(), id, term});
			record(`${id} leads in term ${term}`);
			writeRegistration(next);
			for (const other of databases.values()) {
				if (other !== next) {
					setTimeout(() => {
						followPrimary(other, next);
					}, other.isPrimary ? FOLLOW_MS : 0);
				}
			}
		},
		findPrimary: () => [...databases.values()].find(({isPrimary}) => isPrimary),
		countTransactions: ({sessions}) => [...sessions].filter(({transaction}) => transaction).length,
		startDatabase, writeRegistration,
		/** A database that is to be replaced reports that it is draining; it goes on serving. */
		startDraining(database) {
			record(`${database.id} reports that it is draining`);
			database.isDraining = true;
			writeRegistration(database);
		},
		close() {
			clearInterval(timer);
			for (const {server} of databases.values()) {
				server.close();
			}
		},
	};
}
