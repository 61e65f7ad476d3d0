/** Lending side of the allotment protocol: handles loan requests, renewals and returned loans of peers. */
import {
	advanceAllotment, applyLend, applyLendRenewal, applyReturnedLoan, countMissingUnits, decideLoanOffer, LOAN_LEASE_MS,
	type AllotmentResponse, type AllotmentRequest, type Clock, type HostBlackboard, type LoanAsk, type RecordEvent, type SentLoan,
} from 'heatherpond-core';
import {readNeed, type AllotmentRegistry} from './allotment-registry.js';

/** Dependencies of the lender. */
export type AllotmentLenderOptions = {
	readonly registry: AllotmentRegistry;
	readonly blackboard: HostBlackboard;
	readonly clock: Clock;
	readonly recordEvent: RecordEvent;
};

/**
 * Handles one request of a peer. Lent units are deducted before the response is sent, so that no unit can be used
 * twice.
 */
export function handleAllotmentRequest(options: AllotmentLenderOptions, request: AllotmentRequest): AllotmentResponse {
	const {registry, clock} = options;
	request.returns.forEach(item => {
		const quota = registry.findByKey(item.key);
		if (quota) {
			quota.allotment = applyReturnedLoan(quota.allotment, item.loanId, item.tokens, clock.readNow());
		}
	});
	return {
		renewed: request.renewals.filter(item => isRenewalGranted(options, item)).map(item => item.loanId),
		loans: request.asks.map(ask => createLoan(options, request.host, ask)),
	};
}

function isStopping(blackboard: HostBlackboard): boolean {
	const {phase} = blackboard.read();
	return phase === 'draining' || phase === 'stopped';
}

function isRenewalGranted({registry, blackboard, clock}: AllotmentLenderOptions, {key, loanId}: LoanAsk): boolean {
	const quota = registry.findByKey(key);
	const now = clock.readNow();
	if (!quota || isStopping(blackboard) || countMissingUnits(quota.allotment, readNeed(quota, now)) > 0) {
		return false;
	}

	const outcome = applyLendRenewal(quota.allotment, loanId, LOAN_LEASE_MS, now);
	quota.allotment = outcome.allotment;
	return outcome.isTaken;
}

function createLoan({registry, blackboard, clock, recordEvent}: AllotmentLenderOptions, peer: string, {loanId, key, units}: LoanAsk): SentLoan {
	const quota = registry.findByKey(key);
	const none: SentLoan = {
		loanId, key, units: 0, tokens: 0, leaseMs: 0,
	};
	if (!quota || isStopping(blackboard)) {
		return none;
	}

	const now = clock.readNow();
	const offer = decideLoanOffer(advanceAllotment(quota.allotment, now), readNeed(quota, now), units);
	const outcome = applyLend(quota.allotment, {loanId, peer, ...offer}, now);
	quota.allotment = outcome.allotment;
	if (outcome.units === 0) {
		return none;
	}

	recordEvent('allotmentMoved', {team: quota.team, peer, amount: outcome.units});
	return {
		loanId, key, units: outcome.units, tokens: outcome.tokens, leaseMs: offer.leaseMs,
	};
}
