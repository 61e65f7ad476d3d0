/**
 * Follows a table of the store by polling for its changes. Each response proves that the known rows were complete when the
 * request was sent. Polling is used rather than long polling, because a long-poll response would only prove that the rows
 * were complete when its much older request was sent. A request that times out is repeated on a new connection.
 */
import {
	startLoop, type Clock, type Deadline, type Instant, type Loop,
} from 'heatherpond-core';
import {findNextPoll} from './poll-schedule.js';
import {StoreError, type StorePort, type TablePage} from './store-port.js';

/** A response about a table. */
export type TableUpdate = TableSnapshot | TableChanges;

/** The whole table: rows that are absent from the page no longer exist. */
export type TableSnapshot = TableReading & {readonly kind: 'snapshot'};

/** What has changed after a version; it says nothing of other rows. */
export type TableChanges = TableReading & {readonly kind: 'changes'; readonly after: number};

type TableReading = {
	readonly page: TablePage;
	/** Instant at which the page was complete: when the request was sent, minus the age of a relayed page. */
	readonly requestedAt: Instant;
	/** When the response arrived. */
	readonly receivedAt: Instant;
};

/** Options of a table follower. */
export type TableFollowerOptions = {
	readonly store: StorePort;
	readonly clock: Clock;
	readonly table: string;
	/** Returns the milliseconds between the starts of two requests; evaluated before each wait. */
	readonly readIntervalMs: () => number;
	/** Called with every response, even if nothing has changed. */
	readonly applyUpdate: (update: TableUpdate) => void;
	/** Called with the error message of every failed request. */
	readonly handleFailure: (reason: string) => void;
	readonly random: () => number;
	/** An instant of the schedule of polls. */
	readonly phase: Instant;
	/** Resolves when the first request may be sent; by default it is sent at once. */
	readonly waitUntilStart?: () => Promise<void>;
	readonly signal: AbortSignal;
};

/** A running follower. */
export type TableFollower = {
	/** Sends a request immediately, or another one after the request in flight. */
	readonly refresh: () => void;
	/** Gives up a request that has been waiting for a while, and sends another one: the store has responded to a different request. */
	readonly restart: () => void;
	/** Gives up the request in flight, whose age is no longer known, and sends another one. */
	readonly stopRequest: () => void;
	/** Gives up the request in flight, and reads the whole table anew. */
	readonly readAnew: () => void;
};

/** Age in milliseconds up to which a request is not given up early. */
const MIN_RESTART_AGE_MS = 100;
/** Request timeout in milliseconds. */
const RESPONSE_TIMEOUT_MS = 900;
/** Bounds of the retry delay in milliseconds. */
const MIN_RETRY_MS = 80;
const MAX_RETRY_MS = 600;

/** Starts to follow a table, until the signal aborts. */
export function startTableFollower(options: TableFollowerOptions): TableFollower {
	let version = 0;
	/** The newest version of which a page has been applied; `version` starts anew when the table is read anew. */
	let newestVersion = 0;
	/** Number of requests given up, by which a response that arrives at the same time is recognized. */
	let discarded = 0;
	let failures = 0;
	let loop: Loop | undefined;
	/** The request in flight. */
	let current: {readonly sentAt: Instant; readonly giveUp: () => void} | undefined;

	async function readPage(requestedAt: Instant): Promise<TableUpdate> {
		const {store, table} = options;
		if (version === 0) {
			const page = await store.readTable(table, requestedAt + RESPONSE_TIMEOUT_MS);
			return {
				kind: 'snapshot', page, requestedAt: requestedAt - (page.ageMs ?? 0), receivedAt: options.clock.readNow(),
			};
		}

		const after = version;
		const page = await store.readChanges(table, after, requestedAt + RESPONSE_TIMEOUT_MS);
		return {
			kind: 'changes', after, page, requestedAt: requestedAt - (page.ageMs ?? 0), receivedAt: options.clock.readNow(),
		};
	}

	/** Reads a page; resolves to nothing when the request is given up early. */
	async function readPageUnlessRestarted(requestedAt: Instant): Promise<TableUpdate | undefined> {
		const restarted = new Promise<undefined>(resolve => {
			current = {
				sentAt: requestedAt, giveUp() {
					resolve(undefined);
				},
			};
		});
		return Promise.race([readPage(requestedAt), restarted]);
	}

	async function runPoll(): Promise<Deadline> {
		const requestedAt = options.clock.readNow();
		const discardedBefore = discarded;
		try {
			const update = await readPageUnlessRestarted(requestedAt);
			if (!update || discarded > discardedBefore) {
				return options.clock.readNow();
			}

			if (update.kind === 'snapshot' && update.page.version < newestVersion) {
				// Rows that have been removed since would come back.
				options.handleFailure('the page is older than what is known');
				return options.clock.readNow() + MIN_RETRY_MS;
			}

			// Changes relayed by another host may be older than what this host has read itself.
			version = Math.max(version, update.page.version);
			newestVersion = Math.max(newestVersion, version);
			failures = 0;
			options.applyUpdate(update);
			return findNextPoll(requestedAt, options.readIntervalMs(), options.phase);
		} catch (error) {
			failures++;
			options.handleFailure(error instanceof Error ? error.message : String(error));
			if (error instanceof StoreError && error.failure === 'history_lost') {
				version = 0;
				return options.clock.readNow();
			}

			const longest = Math.min(MAX_RETRY_MS, MIN_RETRY_MS * (2 ** failures));
			return options.clock.readNow() + MIN_RETRY_MS + (options.random() * (longest - MIN_RETRY_MS));
		}
	}

	function startPolling(): void {
		loop = startLoop(options.clock, runPoll, options.signal);
	}

	if (options.waitUntilStart) {
		void options.waitUntilStart().then(startPolling);
	} else {
		startPolling();
	}

	function stopRequest(): void {
		discarded++;
		current?.giveUp();
		loop?.wake();
	}

	return {
		refresh() {
			loop?.wake();
		},
		stopRequest,
		readAnew() {
			version = 0;
			stopRequest();
		},
		restart() {
			if (current && options.clock.readNow() >= current.sentAt + MIN_RESTART_AGE_MS) {
				current.giveUp();
			}

			loop?.wake();
		},
	};
}
