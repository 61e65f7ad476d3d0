/**
 * Records the outcome that clients observed for each write, and compares it with the contents of the databases to find
 * lost, duplicated and wrongly refused writes. Used by failover tests and failover measurements.
 */
import {waitUntil, type Clock, type Instant} from 'heatherpond-core';
import pg from 'pg';
import type {LocalDatabase, LocalDeployment} from './local-deployment.js';

/** Outcome of a write as its client observed it; `unknown` means that the write may have been committed. */
export type WriteOutcome = 'acknowledged' | 'unknown' | 'refused';

/** A write recorded in the ledger, with instants of the ledger's clock. */
export type LedgerEntry = {
	readonly id: string;
	readonly host: string;
	readonly startedAt: Instant;
	readonly endedAt: Instant;
	readonly outcome: WriteOutcome;
	/** SQLSTATE of a write that was not acknowledged, or `connection` if the error had none. */
	readonly code?: string;
};

/** Result of comparing a ledger with the databases. */
export type LedgerCheckResult = {
	readonly acknowledged: number;
	readonly unknown: number;
	readonly refused: number;
	/** Ids of acknowledged writes that are missing from the primary. */
	readonly lost: readonly string[];
	/** Ids of writes that occur more than once in the primary's log. */
	readonly duplicated: readonly string[];
	/** Ids of writes that were refused as not executed but are present in some database. */
	readonly executedThoughRefused: readonly string[];
};

/** Options of {@link startWriteLedger}. */
export type LedgerOptions = {
	readonly deployment: LocalDeployment;
	readonly route: string;
	readonly team: string;
	/** Number of concurrent writers connected to each host. */
	readonly writersPerHost: number;
	/** Pause after each write of a writer, in milliseconds. */
	readonly pauseMs: number;
	readonly clock: Clock;
	readonly signal: AbortSignal;
};

/** A ledger to which its writers append until it is closed. */
export type WriteLedger = {
	readonly readEntries: () => readonly LedgerEntry[];
	/** Stops the writers and waits for their writes in flight. */
	readonly close: () => Promise<void>;
};

const LOOPBACK = '127.0.0.1';
const RECONNECT_DELAY_MS = 20;
/** SQLSTATEs which guarantee that the request was not executed. */
const NOT_RUN_CODES = new Set(['HP001', 'HP006', '25006', '53300']);

/** Creates the table into which the ledger's writers insert rows. */
export async function createLedgerTable({deployment, route, team}: Pick<LedgerOptions, 'deployment' | 'route' | 'team'>): Promise<void> {
	const client = await openClient(deployment, {host: 0, route, team});
	await client.query(`CREATE TABLE IF NOT EXISTS ${deployment.plan.table} (id text PRIMARY KEY, value text)`);
	await client.end();
}

/** Starts writers on every host; each inserts rows with unique ids and reconnects after a connection failure. */
export function startWriteLedger(options: LedgerOptions): WriteLedger {
	const {deployment, clock} = options;
	const entries: LedgerEntry[] = [];
	const stop = new AbortController();
	const signal = AbortSignal.any([stop.signal, options.signal]);

	async function runWriter(host: number, writer: number): Promise<void> {
		const name = deployment.hosts[host]!.identity.host;
		let client: pg.Client | undefined;
		for (let count = 0; !signal.aborted; count++) {
			client ??= await openClient(deployment, {host, route: options.route, team: options.team}).catch(() => undefined);
			if (client) {
				const entry = await insertRow(client, {id: `${name}-${writer}-${count}`, table: deployment.plan.table, clock});
				entries.push({...entry, host: name});
				if (!isConnectionReusable(entry)) {
					await closeClient(client);
					client = undefined;
				}
			}

			await waitUntil(clock, clock.readNow() + (client ? options.pauseMs : RECONNECT_DELAY_MS), signal);
		}

		if (client) {
			await closeClient(client);
		}
	}

	const writers = deployment.hosts.flatMap((_host, host) => Array.from({length: options.writersPerHost}, async (_value, writer) => runWriter(host, writer)));
	return {
		readEntries: () => entries,
		async close() {
			stop.abort();
			await Promise.all(writers);
		},
	};
}

/** Index of the host, route and team of a client connection. */
type ClientTarget = {readonly host: number; readonly route: string; readonly team: string};

async function openClient({hosts, keys}: LocalDeployment, {host, route, team}: ClientTarget): Promise<pg.Client> {
	const client = new pg.Client({
		host: LOOPBACK, port: hosts[host]!.callerPort, user: team, password: keys.get(team), database: route,
	});
	client.on('error', () => undefined);
	await client.connect();
	return client;
}

async function closeClient(client: pg.Client): Promise<void> {
	await client.end().catch(() => undefined);
}

/** Whether the connection can be used after this outcome: errors of the proxy itself leave it open. */
function isConnectionReusable(entry: Pick<LedgerEntry, 'outcome' | 'code'>): boolean {
	return entry.outcome === 'acknowledged' || entry.code?.startsWith('HP') === true;
}

/** Inserts one row and classifies the outcome. */
async function insertRow(client: pg.Client, {id, table, clock}: {readonly id: string; readonly table: string; readonly clock: Clock}): Promise<Omit<LedgerEntry, 'host'>> {
	const startedAt = clock.readNow();
	try {
		await client.query(`INSERT INTO ${table} (id, value) VALUES ($1, $2)`, [id, 'sold']);
		return {
			id, startedAt, endedAt: clock.readNow(), outcome: 'acknowledged',
		};
	} catch (error) {
		const code = (error as {readonly code?: string}).code ?? 'connection';
		return {
			id, startedAt, endedAt: clock.readNow(), outcome: NOT_RUN_CODES.has(code) ? 'refused' : 'unknown', code,
		};
	}
}

/** Checks a ledger against the databases of a group; lost and duplicated writes are determined from `primary`. */
export function checkLedger(entries: readonly LedgerEntry[], databases: readonly LocalDatabase[], primary: LocalDatabase): LedgerCheckResult {
	const written = findWrittenKeys(primary);
	const storedOnPrimary = new Set(written);
	const storedAnywhere = new Set(databases.flatMap(findWrittenKeys));
	const byOutcome = (outcome: WriteOutcome): readonly LedgerEntry[] => entries.filter(entry => entry.outcome === outcome);
	const refused = byOutcome('refused');
	return {
		acknowledged: byOutcome('acknowledged').length,
		unknown: byOutcome('unknown').length,
		refused: refused.length,
		lost: byOutcome('acknowledged').filter(entry => !storedOnPrimary.has(entry.id)).map(entry => entry.id),
		duplicated: written.filter((key, index) => written.indexOf(key) !== index),
		executedThoughRefused: refused.filter(entry => storedAnywhere.has(entry.id)).map(entry => entry.id),
	};
}

/** Lists the keys of all rows written in the log of a database, including repeated ones. */
function findWrittenKeys({database}: LocalDatabase): readonly string[] {
	return database.readHistory().flatMap(record => record.effects.flatMap(effect => effect.kind === 'putRow' ? [effect.key] : []));
}
