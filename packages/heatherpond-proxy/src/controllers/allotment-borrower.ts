/** Borrows, renews and releases allotments as the demand of the teams on this host changes. */
import {
	applyLoanRequest, applyLoanRequestFailure, applyBorrow, applyBorrowRenewal, applyLoanRelease, countMissingUnits, countTokenUnits, findLoansToRelease, findLoansToRenew, isPeerUnresponsive, LOAN_LEASE_MS, orderByRendezvous, orderHolders, PortError,
	type AllotmentResponse, type AllotmentRequest, type Clock, type HostBlackboard, type HostRecord, type HostState, type Instant, type Loan, type LoanAsk, type LoanReturn, type PeerPort,
} from 'heatherpond-core';
import {
	createRateSubject, readNeed, type AllotmentRegistry, type TeamQuota,
} from './allotment-registry.js';

/** Dependencies of the borrower. */
export type AllotmentBorrowerOptions = {
	readonly registry: AllotmentRegistry;
	readonly blackboard: HostBlackboard;
	readonly peers: PeerPort;
	readonly clock: Clock;
	readonly createId: () => string;
	/** Called when tokens of a team may have become available. */
	readonly handleTokens: (team: string) => void;
	readonly signal: AbortSignal;
};

/** Borrowing side of the allotment protocol on one host. */
export type AllotmentBorrower = {
	/** Requests missing units from peers, renews loans that are still needed and releases the others. */
	readonly update: () => void;
	/** Decides whether every possible lender of a team recently had nothing to lend. */
	readonly isExhausted: (team: string) => boolean;
	/** Releases all loans. Resolves when every lender has responded or its request has timed out. */
	readonly releaseAll: () => Promise<void>;
};

/** Loan requests, renewals and releases that are sent to one peer in a single message. */
type RequestBatch = {
	readonly record: HostRecord;
	readonly asks: LoanAsk[];
	readonly renewals: LoanAsk[];
	readonly returns: LoanReturn[];
};

/** Backoff towards a peer that had nothing to lend to a team. */
type LenderBackoff = {readonly until: Instant; readonly waitMs: number};

const REQUEST_TIMEOUT_MS = 1000;
/** Maximum number of peers from which one team's units are requested at the same time. */
const MAX_LENDERS_PER_REQUEST = 8;
const MIN_BACKOFF_MS = 25;
const MAX_BACKOFF_MS = 400;
/** Factor by which the units requested from all lenders together exceed the missing ones. */
const OVERREQUEST_FACTOR = 1.2;

/** Creates the borrower. */
export function createAllotmentBorrower(options: AllotmentBorrowerOptions): AllotmentBorrower {
	const {registry, blackboard, clock} = options;
	const backoffs = new Map<string, LenderBackoff>();
	const renewing = new Set<string>();

	let lendersByKey = new Map<string, readonly HostRecord[]>();
	let lenderHosts: HostState['view']['hosts'] = {};

	/**
	 * Returns the other hosts that share a team's rate, those of the own failure domain first. Within a domain the order
	 * differs from borrower to borrower, which spreads the requests over the lenders.
	 */
	function orderLenders({key, contract}: TeamQuota): readonly HostRecord[] {
		const {view, identity} = blackboard.read();
		if (view.hosts !== lenderHosts) {
			lenderHosts = view.hosts;
			lendersByKey = new Map();
		}

		const {maxHolders} = createRateSubject(contract);
		const name = `${key}/${maxHolders}`;
		const known = lendersByKey.get(name);
		if (known) {
			return known;
		}

		const holders = orderHolders(view.hosts, key).slice(0, maxHolders).filter(host => host !== identity.host);
		const records = orderByRendezvous(holders, `${key}/${identity.host}`).map(host => view.hosts[host]!);
		const sameDomainFirst = [...records.filter(record => record.domain === identity.domain), ...records.filter(record => record.domain !== identity.domain)];
		lendersByKey.set(name, sameDomainFirst);
		return sameDomainFirst;
	}

	function findLenders(quota: TeamQuota): readonly HostRecord[] {
		const {peers} = blackboard.read();
		return orderLenders(quota).filter(record => !isPeerUnresponsive(peers, record.host));
	}

	function isBackingOff(team: string, host: string): boolean {
		return (backoffs.get(`${team}/${host}`)?.until ?? Number.NEGATIVE_INFINITY) > clock.readNow();
	}

	function insertLoanRequests(quota: TeamQuota, batches: RequestBatches): void {
		const now = clock.readNow();
		const missing = countMissingUnits(quota.allotment, readNeed(quota, now));
		if (missing === 0) {
			return;
		}

		const requestedUnits = Math.ceil(missing * OVERREQUEST_FACTOR);
		const minUnits = countTokenUnits(quota.allotment);
		const lenders = findLenders(quota).filter(record => !isBackingOff(quota.team, record.host) && quota.allotment.pending.every(item => item.peer !== record.host)).slice(0, Math.min(MAX_LENDERS_PER_REQUEST, Math.ceil(requestedUnits / minUnits)));
		const units = Math.max(minUnits, Math.ceil(requestedUnits / Math.max(1, lenders.length)));
		lenders.forEach(record => {
			const loanId = options.createId();
			quota.allotment = applyLoanRequest(quota.allotment, {loanId, peer: record.host, requestedAt: now});
			batches.find(record).asks.push({loanId, key: quota.key, units});
		});
	}

	function insertRenewals(quota: TeamQuota, batches: RequestBatches): void {
		const now = clock.readNow();
		findLoansToRenew(quota.allotment, readNeed(quota, now), now).filter(loan => !renewing.has(loan.loanId)).forEach(loan => {
			renewing.add(loan.loanId);
			batches.findByName(loan.peer)?.renewals.push({loanId: loan.loanId, key: quota.key, units: loan.units});
		});
	}

	function insertReleases(quota: TeamQuota, batches: RequestBatches, loans: readonly Loan[]): void {
		loans.forEach(loan => {
			const outcome = applyLoanRelease(quota.allotment, loan.loanId, clock.readNow());
			quota.allotment = outcome.allotment;
			batches.findByName(loan.peer)?.returns.push({loanId: loan.loanId, key: quota.key, tokens: outcome.tokens});
		});
	}

	function applyLoans(batch: RequestBatch, response: AllotmentResponse): void {
		response.loans.forEach(loan => {
			const quota = registry.findByKey(loan.key);
			if (quota) {
				quota.allotment = applyBorrow(quota.allotment, loan, clock.readNow());
				updateBackoff(`${quota.team}/${batch.record.host}`, loan.units > 0);
			}
		});
	}

	function updateBackoff(name: string, hasLent: boolean): void {
		const waitMs = hasLent ? 0 : Math.min(MAX_BACKOFF_MS, Math.max(MIN_BACKOFF_MS, (backoffs.get(name)?.waitMs ?? 0) * 2));
		backoffs.set(name, {until: clock.readNow() + waitMs, waitMs});
	}

	async function sendBatch(batch: RequestBatch): Promise<void> {
		const sentAt = clock.readNow();
		const {record, ...content} = batch;
		const request: AllotmentRequest = {host: blackboard.read().identity.host, ...content};
		try {
			const response = await options.peers.moveAllotments(record.peerAddress, request, {deadline: sentAt + REQUEST_TIMEOUT_MS, signal: options.signal});
			applyLoans(batch, response);
			batch.renewals.filter(item => response.renewed.includes(item.loanId)).forEach(item => {
				const quota = registry.findByKey(item.key);
				if (quota) {
					quota.allotment = applyBorrowRenewal(quota.allotment, item.loanId, LOAN_LEASE_MS, sentAt);
				}
			});
		} catch (error) {
			if (!(error instanceof PortError)) {
				throw error;
			}

			handleRequestFailure(batch);
		} finally {
			batch.renewals.forEach(item => {
				renewing.delete(item.loanId);
			});
		}

		[...new Set(batch.asks.map(ask => ask.key))].forEach(key => {
			options.handleTokens(registry.findByKey(key)?.team ?? '');
		});
	}

	function handleRequestFailure({record, asks}: RequestBatch): void {
		asks.forEach(ask => {
			const quota = registry.findByKey(ask.key);
			if (quota) {
				quota.allotment = applyLoanRequestFailure(quota.allotment, ask.loanId);
				updateBackoff(`${quota.team}/${record.host}`, false);
			}
		});
	}

	function update(): void {
		const batches = createRequestBatches(blackboard);
		registry.readQuotas().forEach(quota => {
			insertReleases(quota, batches, findLoansToRelease(quota.allotment, readNeed(quota, clock.readNow())));
			insertRenewals(quota, batches);
			insertLoanRequests(quota, batches);
		});
		batches.readAll().forEach(batch => {
			void sendBatch(batch);
		});
	}

	return {
		update,
		isExhausted(team) {
			const quota = registry.findQuota(team);
			return quota === undefined || findLenders(quota).every(record => isBackingOff(team, record.host));
		},
		async releaseAll() {
			const batches = createRequestBatches(blackboard);
			registry.readQuotas().forEach(quota => {
				insertReleases(quota, batches, quota.allotment.borrowed);
			});
			await Promise.all(batches.readAll().map(async batch => sendBatch(batch)));
		},
	};
}

/** Collects requests by peer, so that each peer receives one message. */
type RequestBatches = {
	readonly find: (record: HostRecord) => RequestBatch;
	readonly findByName: (host: string) => RequestBatch | undefined;
	readonly readAll: () => readonly RequestBatch[];
};

function createRequestBatches(blackboard: HostBlackboard): RequestBatches {
	const batches = new Map<string, RequestBatch>();
	function find(record: HostRecord): RequestBatch {
		const known = batches.get(record.host) ?? {
			record, asks: [], renewals: [], returns: [],
		};
		batches.set(record.host, known);
		return known;
	}

	return {
		find,
		findByName(host) {
			const record = blackboard.read().view.hosts[host];
			return record ? find(record) : undefined;
		},
		readAll: () => [...batches.values()],
	};
}
