/** Starts the limits: admission per team, fair queues per database, and this host's share of database connections. */
import {randomUUID} from 'node:crypto';
import {
	isRegistered, LOAN_LEASE_MS, runPeriodically, waitUntil, type AllotmentResponse, type AllotmentRequest, type DatabaseGate, type RequestGate,
} from 'heatherpond-core';
import {createAllotmentRegistry, type AllotmentRegistry} from '../controllers/allotment-registry.js';
import {createAllotmentBorrower, type AllotmentBorrower} from '../controllers/allotment-borrower.js';
import {handleAllotmentRequest} from '../controllers/allotment-lender.js';
import {createAllotmentRequestGate, type AllotmentRequestGate} from '../gates/allotment-request-gate.js';
import {createFairDatabaseGate} from '../gates/fair-database-gate.js';
import type {HostContext} from './host-context.js';

/** Gates for requests and databases, and the limit of this host's database connections. */
export type Limits = {
	readonly requestGate: RequestGate;
	readonly databaseGate: DatabaseGate;
	/** Returns the maximum number of connections from this host to a database. */
	readonly readMaxConnections: (group: string, database: string) => number;
	/** Handles an allotment request of a peer. */
	readonly handleAllotmentRequest: (request: AllotmentRequest) => AllotmentResponse;
	/** Waits until all hosts comply with this host's registration, up to a time limit. */
	readonly waitForShares: () => Promise<void>;
	/** Releases borrowed units, stops admission, and waits until no peer uses units lent by this host. */
	readonly releaseAllotments: () => Promise<void>;
};

/** Interval between two regular updates of the allotments. */
const UPDATE_INTERVAL_MS = 50;
/** Minimum interval between two updates while requests wait for tokens. */
const SHORTAGE_INTERVAL_MS = 10;

/** Maximum time that a starting host waits for its shares. */
const SHARES_TIMEOUT_MS = 2000;
const SHARES_POLL_MS = 20;
/** Maximum time that a stopping host waits for its loans to peers to end. */
const LOANS_TIMEOUT_MS = LOAN_LEASE_MS * 1.1;

/** Starts the limits. */
export function startLimits(context: HostContext): Limits {
	const {blackboard, clock, signal} = context;
	const registry = createAllotmentRegistry(blackboard, clock, context.sharing === 'alone');
	const gate: AllotmentRequestGate = createAllotmentRequestGate({
		registry, clock, handleShortage, isExhausted: team => context.sharing !== 'ledger' || borrower.isExhausted(team), recordEvent: context.recordEvent,
	});
	const borrower: AllotmentBorrower = createAllotmentBorrower({
		registry, blackboard, peers: context.peers, clock, createId: randomUUID, handleTokens: gate.handleTokens, signal,
	});
	let isUpdateScheduled = false;
	let nextUpdateAt = Number.NEGATIVE_INFINITY;

	function handleShortage(): void {
		if (context.sharing !== 'ledger' || isUpdateScheduled) {
			return;
		}

		// Deferred to a timer, so that requests arriving together lead to one update.
		isUpdateScheduled = true;
		clock.registerTimer(Math.max(clock.readNow(), nextUpdateAt), () => {
			isUpdateScheduled = false;
			nextUpdateAt = clock.readNow() + SHORTAGE_INTERVAL_MS;
			borrower.update();
		});
	}

	blackboard.registerListener(state => state.view, () => {
		registry.update();
	});
	void runPeriodically(clock, UPDATE_INTERVAL_MS, async () => {
		registry.update();
		if (context.sharing === 'ledger') {
			borrower.update();
		}
	}, signal);
	return {
		requestGate: gate,
		databaseGate: createFairDatabaseGate({blackboard, clock}),
		readMaxConnections: createConnectionLimit(context, registry),
		handleAllotmentRequest: request => handleAllotmentRequest({...context, registry}, request),
		waitForShares: async () => waitForShares(context, registry),
		async releaseAllotments() {
			await borrower.releaseAll();
			registry.stop();
			await waitForLoans(context, registry);
		},
	};
}

async function waitForShares({blackboard, identity, clock, signal}: HostContext, registry: AllotmentRegistry): Promise<void> {
	const {view} = blackboard.read();
	const mustWaitForLeases = Object.keys(view.removedHosts).length > 0;
	if (mustWaitForLeases || !isRegistered(view, identity.host, identity.incarnation)) {
		return;
	}

	const deadline = clock.readNow() + SHARES_TIMEOUT_MS;
	while (!registry.isConverged() && clock.readNow() < deadline && !signal.aborted) {
		await waitUntil(clock, clock.readNow() + SHARES_POLL_MS, signal);
		registry.update();
	}
}

async function waitForLoans({clock, signal}: HostContext, registry: AllotmentRegistry): Promise<void> {
	const deadline = clock.readNow() + LOANS_TIMEOUT_MS;
	while (!registry.hasNoOutstandingLoans() && clock.readNow() < deadline && !signal.aborted) {
		await waitUntil(clock, clock.readNow() + SHARES_POLL_MS, signal);
	}
}

function createConnectionLimit({blackboard}: HostContext, registry: AllotmentRegistry): Limits['readMaxConnections'] {
	return (group, database) => {
		const member = blackboard.read().view.groups[group]?.settings.members.find(candidate => candidate.name === database);
		// A host that has no share yet may open one connection; the database's own connection limit still applies.
		return member ? Math.max(1, registry.countUnits({key: `connections/${group}/${database}`, totalUnits: member.connections, maxHolders: member.connections})) : 0;
	};
}
