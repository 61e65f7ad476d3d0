/** State and steps of the model of connection setup. */
import type {PooledConnection, PreparedStatement} from 'heatherpond-session';
import {EMPTY_DATABASE_SESSION, type DatabaseSession, type NameCollision} from './setup-database.js';

/** What the proxy has acknowledged to a client. */
export type ClientState = {
	readonly variables: Readonly<Record<string, string>>;
	/** Index of the prepared statement in the scope, by the client's name. */
	readonly statements: Readonly<Record<string, number>>;
};

/** A pooled connection: what the proxy has recorded, what its database keeps, and the client whose transaction is open on it. */
export type ConnectionState = {readonly pooled: PooledConnection; readonly database: DatabaseSession; readonly holder?: string};

/** State of the model. */
export type SetupState = {
	readonly clients: Readonly<Record<string, ClientState>>;
	readonly connections: readonly ConnectionState[];
	/** Number of setup commands that have failed. */
	readonly faults: number;
	readonly violation?: string;
};

/** What becomes of a setup command: it completes, is refused without a run, or fails after a run and may have taken effect. */
export type CommandOutcome = 'completes' | 'isRefused' | 'failsWithEffect' | 'failsWithoutEffect';

/** What becomes of the setup commands of a step; their responses may all be lost. */
export type SetupOutcome = readonly CommandOutcome[] | 'lost';

/** One step of a client. */
export type SetupStep
	= | {readonly kind: 'set'; readonly client: string; readonly name: string; readonly value: string; readonly outcome: SetupOutcome}
		| {readonly kind: 'prepare'; readonly client: string; readonly name: string; readonly statement: number}
		| {readonly kind: 'deallocate'; readonly client: string; readonly name: string}
	/** Runs a prepared statement, or without a name any other. */
		| {
			readonly kind: 'run'; readonly client: string; readonly connection: number; readonly name?: string;
			readonly needsLivenessCheck: boolean; readonly opensTransaction: boolean; readonly outcome: SetupOutcome;
		}
		| {readonly kind: 'endTransaction' | 'reconnect'; readonly client: string};

/** Bounds of the exploration. */
export type SetupScope = {
	readonly clients: readonly string[];
	readonly connections: number;
	readonly variables: readonly string[];
	readonly values: readonly string[];
	readonly names: readonly string[];
	readonly statements: readonly PreparedStatement[];
	readonly maxFaults: number;
	readonly collision: NameCollision;
};

/** Invariants of the model. */
export const SETUP_INVARIANTS = {
	known: 'a statement whose preparation was acknowledged is known to the database that runs it',
	shape: 'an executed statement has the shape that its client prepared',
	arguments: 'an executed statement has the arguments that its client sent',
	values: 'a statement runs with the variables that were acknowledged to its client, and no others',
	transaction: 'no connection is reset while a transaction is open on it',
} as const;

export const EMPTY_CLIENT: ClientState = {variables: {}, statements: {}};

/** Creates a connection that has just been opened. */
export function createConnection(): ConnectionState {
	return {
		database: EMPTY_DATABASE_SESSION,
		pooled: {
			upstream: {
				database: 'db', team: 'team', exchange: async () => [], isOpen: () => true, destroy: () => undefined, registerCloseListener: () => undefined,
			},
			variables: new Map(), statements: new Map(), statementLength: 0, isSetupKnown: true, preparedCount: 0, idleSince: 0,
		},
	};
}

/** Copies a connection, so that the rules can change the copy. */
export function createPooledCopy(connection: PooledConnection): PooledConnection {
	return Object.fromEntries(Object.entries(connection).map(([key, value]) => [key, createCopy(value)])) as PooledConnection;
}

function createCopy<Value>(value: Value): Value | Map<unknown, unknown> | Set<unknown> {
	if (value instanceof Map) {
		return new Map(value);
	}

	return value instanceof Set ? new Set(value) : value;
}

export function updateClient(state: SetupState, name: string, client: ClientState): SetupState {
	return {...state, clients: {...state.clients, [name]: client}};
}

export function updateConnection(state: SetupState, index: number, connection: ConnectionState): SetupState {
	return {...state, connections: state.connections.with(index, connection)};
}

/** Finds the connection on which the transaction of a client is open; -1 if there is none. */
export function findHeldConnection({connections}: SetupState, client: string): number {
	return connections.findIndex(({holder}) => holder === client);
}

/** Ends the transaction of a client, if one is open. */
export function releaseConnection(state: SetupState, client: string): SetupState {
	return {...state, connections: state.connections.map(connection => connection.holder === client ? {...connection, holder: undefined} : connection)};
}
