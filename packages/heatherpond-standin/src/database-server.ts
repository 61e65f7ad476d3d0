/** Serves one stand-in database over the PostgreSQL wire protocol. */
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {waitUntil, type Clock} from 'heatherpond-core';
import {handleDatabaseConnection} from './database-connection.js';
import type {DatabaseGroup, GroupMember} from './database-group.js';
import {createSlots, type Slots} from './slots.js';

/** Credentials of a database user; control users may call the control functions. */
export type DatabaseUser = {readonly user: string; readonly password: string; readonly isControl: boolean};

/** Options of a database server. */
export type DatabaseServerOptions = {
	readonly group: DatabaseGroup;
	readonly member: GroupMember;
	readonly address: string;
	/** Port to listen on; 0 selects a free port. */
	readonly port: number;
	/** Maximum number of statements executed concurrently. */
	readonly slots: number;
	/** Maximum number of open connections, not counting those of control users. */
	readonly connections: number;
	readonly users: readonly DatabaseUser[];
	/** One-way latency in milliseconds between this database and a failure domain. Default: no latency. */
	readonly readLatencyMs?: (domain: string) => number;
	/** Maximum time that a statement waits for row locks, in milliseconds. Default: 2000. */
	readonly lockTimeoutMs?: number;
	readonly clock: Clock;
	readonly signal: AbortSignal;
};

/** A running database server. */
export type DatabaseServer = {
	readonly port: number;
	readonly slots: Slots;
	/** Returns the number of open connections, not counting those of control users. */
	readonly countConnections: () => number;
	/** Returns the number of SELECT statements received since the server started, not counting those of control users. */
	readonly countReads: () => number;
	/** Closes all open connections abruptly, as a crash would. */
	readonly closeConnections: () => void;
	/** Takes the database down. Committed data, the term and its grant are kept. */
	readonly stop: () => void;
	/** Brings the database up again. */
	readonly start: () => void;
	/** Stops and starts the database at once: open connections are closed, new ones work. */
	readonly restart: () => void;
};

/** Starts a server; it stops when the signal aborts. */
export async function startDatabaseServer(options: DatabaseServerOptions): Promise<DatabaseServer> {
	const slots = createSlots(options.slots);
	const sockets = new Set<Socket>();
	let clientConnections = 0;
	let reads = 0;

	/** Accepts a connection after the injected delay and serves it; refuses it while the database is down. */
	async function handleSocket(socket: Socket): Promise<void> {
		const {faults} = options.member;
		socket.setNoDelay(true);
		socket.on('error', () => {
			socket.destroy();
		});
		if (faults.isDown) {
			socket.destroy();
			return;
		}

		sockets.add(socket);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		await waitUntil(options.clock, options.clock.readNow() + faults.connectDelayMs, options.signal);
		await handleDatabaseConnection(socket, {
			...options,
			slots,
			reserveConnection,
			handleRead() {
				reads++;
			},
		});
	}

	/** Reserves one of the client connections until the socket closes; returns whether one was free. */
	function reserveConnection(socket: Socket): boolean {
		if (clientConnections >= options.connections) {
			return false;
		}

		clientConnections++;
		socket.once('close', () => {
			clientConnections--;
		});
		return true;
	}

	const server = createServer(socket => {
		void handleSocket(socket);
	});
	server.listen(options.port, options.address);
	await once(server, 'listening');
	function closeConnections(): void {
		[...sockets].forEach(socket => {
			socket.destroy();
		});
	}

	const {faults} = options.member;
	faults.registerDownListener(closeConnections);

	function stop(): void {
		faults.isDown = true;
	}

	function start(): void {
		faults.isDown = false;
	}

	options.signal.addEventListener('abort', () => {
		server.close();
		closeConnections();
	}, {once: true});
	return {
		port: (server.address() as AddressInfo).port, slots, countConnections: () => clientConnections, countReads: () => reads, closeConnections, stop, start,
		restart() {
			stop();
			start();
		},
	};
}
