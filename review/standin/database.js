/** Stand-in of one database service: databases that speak the line protocol of PROTOCOL.md, with replication and failover. */
import {createServer} from 'node:net';
import {performance} from 'node:perf_hooks';
import {wait} from './wait.js';

/** Time after which a primary that was replaced learns of it, in milliseconds. */
const DEMOTION_MS = 1000;
/** Time that a new connection occupies a slot, in milliseconds. */
const HANDSHAKE_MS = 12;
/** Slots of a database, and statements that wait for one before it answers BUSY. */
const SLOTS = 3;
const QUEUE = 24;

/** Starts the databases of a service, the first one as primary; `handleRun` hears of every statement that runs. */
export async function startService({name, ids, ip, maxConnections, lagMs, promoteMs, readWorkMs, record, handleRun}) {
	const databases = new Map();
	const roleListeners = [];
	let connections = 0;
	let transactions = 0;
	let signatures = 0;

	function findPrimary() {
		return [...databases.values()].filter(({isPrimary, isDown}) => isPrimary && !isDown).toSorted((left, right) => right.term - left.term).at(0);
	}

	function formatPosition({log}) {
		const last = log.at(-1);
		return last ? `${last.term}.${last.number}` : '1.0';
	}

	function hasPosition({log}, position) {
		const [term, number] = position.split('.').map(Number);
		const last = log.at(-1) ?? {term: 1, number: 0};
		return last.term > term ? last.number >= number : last.term === term && last.number >= number;
	}

	/** Appends a commit and sends it to the replicas. */
	function applyCommit(database, id, writes) {
		const commit = {
			term: database.term, number: (database.log.at(-1)?.number ?? 0) + 1, id, writes,
		};
		database.log.push(commit);
		[...databases.values()].filter(replica => replica !== database && !replica.isPrimary).forEach(replica => {
			setTimeout(() => {
				const isNext = !database.isDown && !replica.isDown && !replica.isPrimary && replica.term === commit.term && replica.log.length + 1 === commit.number;
				if (isNext) {
					replica.log.push(commit);
				} else if (!replica.isPrimary && !replica.isDown && !database.isDown && replica.term === commit.term && replica.log.length < commit.number) {
					replica.log = database.log.slice(0, commit.number);
				}
			}, lagMs);
		});
	}

	/** Waits for a slot; resolves to the function that frees it, or to nothing when too many wait. */
	async function acquireSlot(database) {
		if (database.running < SLOTS) {
			database.running++;
		} else if (database.waiting.length >= QUEUE) {
			return undefined;
		} else {
			await new Promise(resolve => {
				database.waiting.push(resolve);
			});
		}

		return () => {
			const next = database.waiting.shift();
			if (next) {
				next();
			} else {
				database.running--;
			}
		};
	}

	function createSignature(database) {
		signatures++;
		return `${database.id}.${signatures.toString(16)}`;
	}

	/** Whether a database that fails part of its requests fails this one. */
	function isGrey({greyShare}) {
		return greyShare > 0 && Math.random() < greyShare;
	}

	/** Runs a read, write or commit, which takes a slot. */
	async function runInSlot(session, kind, run) {
		const {database} = session;
		if (isGrey(database)) {
			await wait(1);
			return {error: database.greyCode};
		}

		const free = await acquireSlot(database);
		if (!free) {
			return {error: 'BUSY'};
		}

		try {
			await wait(readWorkMs(kind));
			return session.isClosed ? {error: 'BUSY'} : run();
		} finally {
			free();
		}
	}

	function executeData(session, {id, text, access, item, data}) {
		const {database, transaction} = session;
		const isPlain = transaction && !transaction.isReadOnly;
		if (!database.isPrimary && (access === 'WRITE' || isPlain)) {
			return {error: 'READONLY'};
		}

		handleRun({
			database: database.id, connection: session.connection, tenant: session.tenant, id, text, access, transaction: transaction?.number, at: performance.now(),
		});
		if (access === 'READ') {
			return {rows: [transaction?.writes.get(item) ?? database.log.findLast(({writes}) => writes.has(item))?.writes.get(item) ?? '-'], signature: createSignature(database)};
		}

		if (transaction) {
			transaction.writes.set(item, data);
			transaction.ids.push(id);
		} else {
			applyCommit(database, id, new Map([[item, data]]));
			handleRun({
				database: database.id, connection: session.connection, tenant: session.tenant, id, kept: [id], at: performance.now(),
			});
		}

		return {signature: createSignature(database)};
	}

	function executeCommit(session, id, transaction) {
		const {database} = session;
		session.transaction = undefined;
		if (transaction.writes.size > 0) {
			if (!database.isPrimary) {
				return {error: 'READONLY'};
			}

			applyCommit(database, id, transaction.writes);
		}

		handleRun({
			database: database.id, connection: session.connection, tenant: session.tenant, id, text: 'COMMIT', access: 'COMMIT', transaction: transaction.number, kept: transaction.ids, at: performance.now(),
		});
		return {signature: createSignature(database)};
	}

	async function executeText(session, id, text) {
		const {database} = session;
		const [word, first = '', ...rest] = text.split(' ');
		switch (word) {
			case 'AFTERLSN': {
				return hasPosition(database, first) ? executeText(session, id, rest.join(' ')) : {error: 'LAGGING'};
			}

			case 'BEGIN': {
				if (session.transaction) {
					return {error: 'MALFORMED'};
				}

				if (!database.isPrimary && first !== 'READ') {
					return {error: 'READONLY'};
				}

				transactions++;
				session.transaction = {
					number: `${name}/${transactions}`, isReadOnly: first === 'READ', writes: new Map(), ids: [],
				};
				return {signature: '-'};
			}

			case 'ROLLBACK': {
				session.transaction = undefined;
				session.hasFailed = false;
				return {signature: '-'};
			}

			case 'COMMIT': {
				const {transaction} = session;
				return transaction ? runInSlot(session, 'commit', () => executeCommit(session, id, transaction)) : {error: 'MALFORMED'};
			}

			case 'READ':
			case 'WRITE': {
				return runInSlot(session, word.toLowerCase(), () => executeData(session, {
					id, text, access: word, item: first, data: rest.join(' '),
				}));
			}

			case 'EXECUTE': {
				const access = session.prepared.get(first);
				return access
					? runInSlot(session, access.toLowerCase(), () => executeData(session, {
						id, text, access, item: rest[0] ?? '', data: rest.slice(1).join(' '),
					}))
					: {error: 'NOSTMT'};
			}

			case 'PREPARE': {
				if (database.isSetupGrey && isGrey(database)) {
					return {error: database.greyCode};
				}

				session.prepared.set(first, rest[0]);
				return {signature: '-'};
			}

			case 'SET': {
				session.values.set(first, rest.join(' '));
				return {signature: '-'};
			}

			case 'DEALLOC': {
				session.prepared.delete(first);
				return {signature: '-'};
			}

			case 'RESET': {
				session.values.clear();
				session.prepared.clear();
				return {signature: '-'};
			}

			case 'STEPDOWN': {
				if (database.isPrimary && database.term < Number(first)) {
					database.isPrimary = false;
					notifyRoles();
				}

				return createStatus(database);
			}

			case 'STATUS': {
				return createStatus(database);
			}

			default: {
				return {error: 'MALFORMED'};
			}
		}
	}

	function createStatus(database) {
		const open = database.sessions.size;
		return {rows: [`${database.isPrimary ? 'primary' : 'replica'} ${database.term} ${formatPosition(database)} 0 0 ${database.running} ${open}`], signature: '-'};
	}

	function notifyRoles() {
		roleListeners.forEach(listener => {
			listener();
		});
	}

	async function handleStartup(session, [service, tenant, id]) {
		const {database, socket} = session;
		session.tenant = tenant;
		if (service !== name || (id !== undefined && id !== database.id)) {
			socket.end(`ERROR WRONGNODE ${database.id}\r\n`);
			return;
		}

		if (database.sessions.size > maxConnections) {
			socket.end(`ERROR TOOMANY ${database.id}\r\n`);
			return;
		}

		const free = await acquireSlot(database);
		await wait(HANDSHAKE_MS);
		free?.();
		socket.write(`READY I ${formatPosition(database)}\r\n`);
	}

	async function handleLine(session, line) {
		const {database, socket} = session;
		const [word, id = '', ...rest] = line.split(' ');
		if (word === 'STARTUP') {
			await handleStartup(session, [id, ...rest]);
			return;
		}

		if (word === 'TERMINATE') {
			socket.end();
			return;
		}

		const text = rest.join(' ');
		const isAllowed = !session.hasFailed || text === 'COMMIT' || text === 'ROLLBACK';
		const hadFailed = session.hasFailed;
		let result = isAllowed ? await executeText(session, id, hadFailed ? 'ROLLBACK' : text) : {error: 'MALFORMED'};
		if (hadFailed && text === 'COMMIT') {
			result = {error: 'ABORTED'};
		}

		if (database.isDown || session.isClosed) {
			return;
		}

		// BUSY and LAGGING say that nothing has run, so a transaction stays open after them.
		session.hasFailed ||= result.error !== undefined && result.error !== 'BUSY' && session.transaction !== undefined;
		const state = session.hasFailed ? 'E' : (session.transaction ? 'T' : 'I');
		const body = result.error === undefined ? `${(result.rows ?? []).map(row => `DATAROW ${row}\r\n`).join('')}COMPLETE ${result.signature}\r\n` : `ERROR ${result.error} ${database.id}\r\n`;
		socket.write(`${body}READY ${state} ${formatPosition(database)}\r\n`, 'latin1');
	}

	/** Handles the lines of a connection one after the other. */
	async function handleLines(session) {
		if (session.isBusy) {
			return;
		}

		session.isBusy = true;
		while (session.lines.length > 0 && !session.isClosed && !session.database.isDown) {
			await handleLine(session, session.lines.shift());
		}

		session.isBusy = false;
	}

	function startSession(database, socket) {
		connections++;
		const session = {
			database, socket, connection: connections, tenant: '', values: new Map(), prepared: new Map(), transaction: undefined, hasFailed: false, lines: [], isBusy: false, isClosed: false,
		};
		let parts = [];
		database.sessions.add(session);
		socket.setNoDelay(true);
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('close', () => {
			session.isClosed = true;
			session.transaction = undefined;
			database.sessions.delete(session);
		});
		socket.on('data', chunk => {
			const text = chunk.toString('latin1');
			if (!text.includes('\n')) {
				parts.push(text);
				return;
			}

			const lines = [...parts, text].join('').split('\r\n');
			parts = [lines.pop()];
			session.lines.push(...lines);
			handleLines(session);
		});
	}

	async function startDatabase(id, index) {
		const database = {
			id, isPrimary: index === 0, isDown: false, term: 1, log: [], running: 0, waiting: [], sessions: new Set(), greyShare: 0, greyCode: 'FAILED', isSetupGrey: false, address: '', server: undefined,
		};
		databases.set(id, database);
		database.server = createServer(socket => {
			if (database.isDown) {
				socket.on('error', () => undefined);
				return;
			}

			startSession(database, socket);
		});
		await new Promise((resolve, reject) => {
			database.server.once('error', reject);
			database.server.listen({host: ip, port: 0}, resolve);
		});
		database.address = `${ip}:${database.server.address().port}`;
	}

	/** Makes a replica follow a primary; what that one lacks is rolled back. */
	function applyTerm(database, {term, log}) {
		database.isPrimary = false;
		database.term = term;
		database.log = [...log];
	}

	function applyPromotion(chosen) {
		const term = Math.max(...[...databases.values()].map(database => database.term)) + 1;
		chosen.isPrimary = true;
		chosen.term = term;
		record(`database ${chosen.id} leads term ${term} from ${formatPosition(chosen)}`);
		[...databases.values()].filter(database => database !== chosen && !database.isDown).forEach(database => {
			if (database.isPrimary) {
				setTimeout(() => {
					const current = findPrimary();
					if (database.isPrimary && database !== current) {
						applyTerm(database, current);
						notifyRoles();
					}
				}, DEMOTION_MS);
			} else {
				applyTerm(database, chosen);
			}
		});
		notifyRoles();
	}

	await Promise.all(ids.map(startDatabase));
	return {
		name, databases,
		registerRoleListener(listener) {
			roleListeners.push(listener);
		},
		/** Carries out a failover; returns whether the named database runs. */
		promote(id) {
			const chosen = databases.get(id);
			if (!chosen || chosen.isDown) {
				return false;
			}

			if (!chosen.isPrimary) {
				setTimeout(applyPromotion, promoteMs, chosen);
			}

			return true;
		},
		/** The database goes dark: its connections stay open, and nothing is answered any more. */
		stopAnswering(id) {
			databases.get(id).isDown = true;
			record(`database ${id} goes dark`);
		},
		stop() {
			[...databases.values()].forEach(({server, sessions}) => {
				sessions.forEach(({socket}) => {
					socket.destroy();
				});
				server.close();
			});
		},
	};
}
