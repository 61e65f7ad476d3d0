/** In-memory store for tests and development, with conditional writes, history truncation and fault injection. */
import {Buffer} from 'node:buffer';
import type {Clock, Instant} from 'heatherpond-core';
import {MAX_ROW_KEY_BYTES} from './row-keys.js';
import {
	createStoreError, type RowChange, type StorePort, type StoreTransaction, type TransactionResult,
} from './store-port.js';
import {createVersionedStore, type EraPage, type EraStorePort} from './versioned-store.js';

/** Fault of a call. */
export type StoreFault
	/** The call is rejected without any effect. */
	= | 'unavailable'
	/** The call has no effect, and no response arrives. */
		| 'silent'
	/** The call takes effect, but no response arrives. */
		| 'answer_lost';

/** Decides which fault to inject into a call, if any. */
export type StoreFaultInjector = (call: {readonly caller: string; readonly kind: 'read' | 'write'; readonly transaction?: StoreTransaction}) => StoreFault | undefined;

/** An in-memory store with controls for tests. */
export type MemoryStore = {
	/** Creates a port for the named caller. */
	readonly createPort: (caller: string) => StorePort;
	/** Creates a port with plain row versions and the era, as a server sends them. */
	readonly createEraPort: (caller: string) => EraStorePort;
	/** Replaces the fault injector; by default no call fails. */
	readonly setFaults: (decide: StoreFaultInjector) => void;
	/** Discards the change history; the rows remain. */
	readonly dropHistory: () => void;
	/** Copies all rows. */
	readonly createCopy: () => StoreCopy;
	/** Replaces all rows by those of a copy: versions go back and are given out again, and a new era begins. */
	readonly restoreCopy: (copy: StoreCopy) => void;
	/** Returns the value of a row, if it exists. */
	readonly readRow: (table: string, key: string) => string | undefined;
	/** Writes or removes a row directly, as another client of the store would. */
	readonly writeRow: (table: string, key: string, value: string | undefined) => void;
};

/** Options of the store. */
export type MemoryStoreOptions = {
	readonly clock: Clock;
	/** Round trip time of a call in milliseconds. */
	readonly latencyMs: number;
};

/** Milliseconds by which the store's clock differs from the clock of the hosts. */
const CLOCK_OFFSET_MS = 500_000;

/** The rows of the store at one moment. */
export type StoreCopy = {readonly tables: ReadonlyMap<string, Table>; readonly version: number};

type Table = Map<string, {readonly version: number; readonly value: string | undefined}>;

/** Creates an empty store. */
export function createMemoryStore({clock, latencyMs}: MemoryStoreOptions): MemoryStore {
	let tables = new Map<string, Table>();
	let version = 1;
	let era = 0;
	let oldestVersion = 0;
	let injectFault: StoreFaultInjector = () => undefined;

	function findTable(name: string): Table {
		const table = tables.get(name) ?? new Map<string, {readonly version: number; readonly value: string | undefined}>();
		tables.set(name, table);
		return table;
	}

	function createPage(rows: readonly RowChange[]): EraPage {
		return {
			rows, version, storeNow: clock.readNow() + CLOCK_OFFSET_MS, era,
		};
	}

	function readRows(table: string, after: number): readonly RowChange[] {
		return [...findTable(table)]
			.filter(([, row]) => row.version > after)
			.toSorted(([, left], [, right]) => left.version - right.version)
			.map(([key, row]) => ({key, version: row.version, value: row.value}));
	}

	function applyTransaction({expected, puts, removed}: StoreTransaction): TransactionResult {
		if ([...expected, ...puts, ...removed].some(({key}) => Buffer.byteLength(key) > MAX_ROW_KEY_BYTES)) {
			throw createStoreError('a row key exceeds the maximum length', 'refused');
		}

		const isMet = expected.every(row => {
			const known = findTable(row.table).get(row.key);
			return (known?.value === undefined ? 0 : known.version) === row.version;
		});
		if (!isMet) {
			return {kind: 'conflict'};
		}

		version++;
		puts.forEach(({table, key, value}) => {
			findTable(table).set(key, {version, value});
		});
		removed.forEach(({table, key}) => {
			findTable(table).set(key, {version, value: undefined});
		});
		return {kind: 'done', version, storeNow: clock.readNow() + CLOCK_OFFSET_MS};
	}

	async function waitUntil(instant: Instant): Promise<void> {
		await new Promise<void>(resolve => {
			clock.registerTimer(instant, resolve);
		});
	}

	async function call<Response>(caller: string, deadline: Instant, run: () => Response, transaction?: StoreTransaction): Promise<Response> {
		const fault = injectFault({caller, kind: transaction ? 'write' : 'read', transaction});
		await waitUntil(clock.readNow() + (latencyMs / 2));
		if (fault === 'unavailable') {
			throw createStoreError('store unavailable: call rejected', 'unavailable');
		}

		const response = fault === 'silent' ? undefined : run();
		if (fault !== undefined || clock.readNow() + (latencyMs / 2) > deadline) {
			await waitUntil(deadline);
			throw createStoreError('store did not respond before the deadline', 'silent');
		}

		await waitUntil(clock.readNow() + (latencyMs / 2));
		return response!;
	}

	function createEraPort(caller: string): EraStorePort {
		return {
			readTable: async (table, deadline) => call(caller, deadline, () => createPage(readRows(table, 0).filter(({value}) => value !== undefined))),
			readChanges: async (table, after, deadline) => call(caller, deadline, () => {
				if (after < oldestVersion || after > version) {
					throw createStoreError('change history since the requested version is not available', 'history_lost');
				}

				return createPage(readRows(table, after));
			}),
			writeRows: async (transaction, deadline) => call(caller, deadline, () => ({...applyTransaction(transaction), era}), transaction),
		};
	}

	function createTableCopies(source: ReadonlyMap<string, Table>): Map<string, Table> {
		return new Map([...source].map(([name, table]) => [name, new Map(table)]));
	}

	return {
		createPort: caller => createVersionedStore(createEraPort(caller)),
		createEraPort,
		createCopy: () => ({tables: createTableCopies(tables), version}),
		restoreCopy(copy) {
			tables = createTableCopies(copy.tables);
			version = copy.version;
			oldestVersion = 0;
			era++;
		},
		setFaults(decide) {
			injectFault = decide;
		},
		dropHistory() {
			oldestVersion = version;
		},
		readRow: (table, key) => findTable(table).get(key)?.value,
		writeRow(table, key, value) {
			version++;
			findTable(table).set(key, {version, value});
		},
	};
}
