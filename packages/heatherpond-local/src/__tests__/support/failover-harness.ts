/** Test harness for failovers: one database group behind a few hosts, with a write ledger that is checked at the end. */
import {
	createSystemClock, waitUntil, type Durability, type GroupRecord,
} from 'heatherpond-core';
import type {Timings} from 'heatherpond-config';
import type {Logger} from 'heatherpond-observe';
import {KRINGLOOP, type DeploymentPlan} from '../../deployment-plan.js';
import {startLocalDeployment, type LocalDatabase, type LocalDeployment} from '../../local-deployment.js';
import {
	checkLedger, createLedgerTable, startWriteLedger, type LedgerCheckResult, type WriteLedger,
} from '../../write-ledger.js';

const ROUTE = 'bookings-jhb';
const TEAM = 'johannesburg';
const GROUP = 'sponsorship-jhb';
const WAIT_TIMEOUT_MS = 15_000;
/** Longer than any promotion, yet short enough for writes on unresponsive connections to fail within a test. */
const REQUEST_TIMEOUT_MS = 4000;
const WAIT_STEP_MS = 5;
/** Statements per second; more than any test sends. */
const UNLIMITED_RATE = 1_000_000;

/** Timings that keep tests short, in the same proportions as the defaults. */
export const SHORT_TIMINGS = {
	termLeaseMs: 500, suspicionMs: 250, takeoverMs: 200, stepTimeoutMs: 600, switchoverDrainMs: 1000,
};

/** Options of {@link startFailoverHarness}. */
export type FailoverOptions = {
	/** Durability of the contract. */
	readonly durability: Durability;
	/** Hosts in each failure domain; 1 by default. */
	readonly hostsPerDomain?: number;
	/** Overrides of {@link SHORT_TIMINGS}. */
	readonly timings?: Partial<Timings>;
	/** Wraps the logger of each host, for example to observe an event. */
	readonly wrapLogger?: (host: string, logger: Logger) => Logger;
};

/** A running group with writers, and the operations that tests need. */
export type FailoverHarness = {
	readonly deployment: LocalDeployment;
	readonly ledger: WriteLedger;
	readonly findGroup: () => GroupRecord;
	readonly findPrimary: () => LocalDatabase;
	/** Waits until a condition holds, and fails with the description after 15 s. */
	readonly waitFor: (description: string, condition: () => boolean) => Promise<void>;
	/** Waits until the newest view of any host has a term later than `term` and no promotion in progress. */
	readonly waitForTermAfter: (term: number) => Promise<void>;
	/** Waits until `count` writes that started after the call have been acknowledged; 10 by default. */
	readonly waitForWrites: (count?: number) => Promise<void>;
	/** Stops a host immediately, without draining, to simulate a crash. */
	readonly kill: (host: string) => void;
	/** Stops the writers and checks the ledger against the databases. */
	readonly check: () => Promise<LedgerCheckResult>;
	readonly stop: () => void;
};

/** Reduces the Kringloop plan to one group, route and team, without an effective rate limit. */
function createPlan(durability: Durability): DeploymentPlan {
	return {
		...KRINGLOOP,
		groups: KRINGLOOP.groups.filter(group => group.name === GROUP),
		routes: KRINGLOOP.routes.filter(route => route.name === ROUTE),
		contracts: KRINGLOOP.contracts.filter(contract => contract.team === TEAM).map(contract => ({
			...contract, routes: [ROUTE], durability, rate: UNLIMITED_RATE, burst: UNLIMITED_RATE,
		})),
	};
}

/** Starts the group, its hosts and the writers; resolves once writes are acknowledged. */
export async function startFailoverHarness(options: FailoverOptions): Promise<FailoverHarness> {
	const clock = createSystemClock();
	const stop = new AbortController();
	const {signal} = stop;
	const deployment = await startLocalDeployment({
		plan: createPlan(options.durability), hostsPerDomain: options.hostsPerDomain ?? 1, clock, logLevel: 'silent', hostListLagMs: 0, timings: {...SHORT_TIMINGS, ...options.timings}, limits: {requestTimeoutMs: REQUEST_TIMEOUT_MS}, wrapLogger: options.wrapLogger, signal,
	});
	await createLedgerTable({deployment, route: ROUTE, team: TEAM});
	const ledger = startWriteLedger({
		deployment, route: ROUTE, team: TEAM, writersPerHost: 1, pauseMs: 5, clock, signal,
	});

	async function waitFor(description: string, condition: () => boolean): Promise<void> {
		const deadline = clock.readNow() + WAIT_TIMEOUT_MS;
		while (!condition()) {
			if (clock.readNow() > deadline) {
				throw new Error(`timed out waiting for ${description}; group state: ${JSON.stringify(findGroup(), (_key, value: unknown) => typeof value === 'bigint' ? String(value) : value)}`);
			}

			await waitUntil(clock, clock.readNow() + WAIT_STEP_MS, signal);
		}
	}

	/** Reads the group from the view with the highest version among all hosts. */
	function findGroup(): GroupRecord {
		const views = deployment.hosts.map(host => host.blackboard.read().view).toSorted((left, right) => right.version - left.version);
		return views[0]!.groups[GROUP]!;
	}

	function findPrimary(): LocalDatabase {
		return deployment.databases.find(database => database.member.name === findGroup().primary)!;
	}

	async function waitForWrites(count = 10): Promise<void> {
		const startedAt = clock.readNow();
		await waitFor('acknowledged writes', () => ledger.readEntries().filter(entry => entry.startedAt >= startedAt && entry.outcome === 'acknowledged').length >= count);
	}

	await waitForWrites();
	return {
		deployment,
		ledger,
		findGroup,
		findPrimary,
		waitFor,
		waitForWrites,
		async waitForTermAfter(term) {
			await waitFor(`a term after ${term}`, () => findGroup().term > term && !findGroup().promotion);
		},
		async check() {
			await ledger.close();
			return checkLedger(ledger.readEntries(), deployment.databases, findPrimary());
		},
		kill(name) {
			deployment.hosts.find(host => host.identity.host === name)!.kill();
		},
		stop() {
			stop.abort();
		},
	};
}

/** Expected check result of a ledger after any failure: no write is lost, duplicated or wrongly refused. */
export const CONSISTENT_LEDGER = {lost: [], duplicated: [], executedThoughRefused: []};
