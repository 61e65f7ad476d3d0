/**
 * Follows a table of the store by asking for its changes at intervals. Each answer proves that what is known was complete
 * when the question was sent; a question that the store held back until there is news would prove the same at a greater
 * age. A call that stays silent is given up and asked again on a new connection.
 */
import {
	waitUntil, type Clock, type Deadline, type Instant,
} from 'heatherpond-core';
import {StoreError, type StorePort, type TablePage} from './store-port.js';

/** What an answer tells. */
export type TableNews = {
	readonly page: TablePage;
	/** Whether the page holds the whole table, so that rows which it lacks are gone. */
	readonly isWhole: boolean;
	/** As of when the page was complete: when the question was sent, or earlier. */
	readonly askedAt: Instant;
	/** When the answer had come. */
	readonly answeredAt: Instant;
};

/** How a table is followed. */
export type TableFollowerOptions = {
	readonly store: StorePort;
	readonly clock: Clock;
	readonly table: string;
	/** Reads the milliseconds between the starts of two questions. */
	readonly readIntervalMs: () => number;
	readonly applyNews: (news: TableNews) => void;
	readonly handleFailure: (reason: string) => void;
	readonly random: () => number;
	readonly signal: AbortSignal;
};

/** A running follower. */
export type TableFollower = {
	/** Asks at once, without waiting for the interval to end. */
	readonly refresh: () => void;
};

/** Milliseconds that an answer may take. */
const ANSWER_TIMEOUT_MS = 900;
/** Bounds of the pause after a failure, in milliseconds. */
const MIN_RETRY_MS = 80;
const MAX_RETRY_MS = 600;
/** Part of the interval by which questions are spread at random, so that hosts do not ask in step. */
const SPREAD_SHARE = 0.1;

/** Starts to follow a table; it ends with the signal. */
export function startTableFollower(options: TableFollowerOptions): TableFollower {
	let version = 0;
	let failures = 0;
	let wake = new AbortController();

	async function readPage(askedAt: Instant): Promise<TableNews> {
		const {store, table} = options;
		if (version === 0) {
			const page = await store.readTable(table, askedAt + ANSWER_TIMEOUT_MS);
			return {
				page, isWhole: true, askedAt: askedAt - (page.ageMs ?? 0), answeredAt: options.clock.readNow(),
			};
		}

		const page = await store.readChanges(table, version, askedAt + ANSWER_TIMEOUT_MS);
		return {
			page, isWhole: false, askedAt: askedAt - (page.ageMs ?? 0), answeredAt: options.clock.readNow(),
		};
	}

	async function runStep(): Promise<Deadline> {
		const askedAt = options.clock.readNow();
		try {
			const news = await readPage(askedAt);
			// Another host may know less than this one has read itself.
			version = Math.max(version, news.page.version);
			failures = 0;
			options.applyNews(news);
			return askedAt + (options.readIntervalMs() * (1 - (options.random() * SPREAD_SHARE)));
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

	async function runFollower(): Promise<void> {
		options.signal.addEventListener('abort', () => {
			wake.abort();
		}, {once: true});
		while (!options.signal.aborted) {
			// News that is asked for while a question is under way is asked for once more.
			wake = new AbortController();
			const next = await runStep();
			await waitUntil(options.clock, next, wake.signal);
		}
	}

	void runFollower();
	return {
		refresh() {
			wake.abort();
		},
	};
}
