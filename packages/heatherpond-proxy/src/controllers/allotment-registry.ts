/**
 * Registry of a host's allotments: its entitlement according to the log, the units and tokens it holds, and the demand
 * of each team.
 */
import {
	advanceAllotment, applyDemand, applyEntitlement, applyViewToWindow, countUnits, countWindowShare, createAllotment, createViewWindow, decideConvergedWindow, SHARE_LEASE_MS, isSameOrSuccessor, LOAN_LEASE_MS, NO_DEMAND, readPeerConfirmedInstant, readDemand,
	type Allotment, type AllotmentNeed, type Clock, type Contract, type Demand, type Entitlement, type HostBlackboard, type HostState, type Instant, type SharedQuota, type ViewWindow,
} from 'heatherpond-core';

/** State of one team's quota on this host. */
export type TeamQuota = {
	readonly team: string;
	readonly key: string;
	contract: Contract;
	allotment: Allotment;
	demand: Demand;
	/** Total cost of the requests that are currently waiting for tokens. */
	waiting: number;
};

/**
 * Team quotas of one host. Quotas are mutable; their `allotment` is only ever replaced by the result of a core
 * allotment function.
 */
export type AllotmentRegistry = {
	/** Finds the quota of a team. */
	readonly findQuota: (team: string) => TeamQuota | undefined;
	/** Finds the quota that a key of the allotment protocol refers to. */
	readonly findByKey: (key: string) => TeamQuota | undefined;
	readonly readQuotas: () => readonly TeamQuota[];
	/** Recomputes every quota from the current view, the freshness stamp and the versions that peers have confirmed. */
	readonly update: () => void;
	/** Whether all hosts are known to compute shares from the same registrations as this host. */
	readonly isConverged: () => boolean;
	/** Stops using this host's own shares. Loans to peers remain valid until their leases expire. */
	readonly stop: () => void;
	/** Whether no peer can still be using units that this host lent. */
	readonly hasNoOutstandingLoans: () => boolean;
	/** Returns the number of units of a shared quota that this host is entitled to. */
	readonly countUnits: (subject: SharedQuota) => number;
};

/** Time after which loans granted by an earlier incarnation at the same address have expired. */
const PREDECESSOR_LOAN_EXPIRY_MS = (LOAN_LEASE_MS * 1.05) + 100;

/** Number of units into which a team's rate and burst are divided. */
export const RATE_UNITS = 10_000;
/** Maximum number of hosts that share one rate, and the minimum burst, in tokens, that each of them must receive. */
const MAX_RATE_HOLDERS = 16;
const MIN_HOLDER_BURST = 2;

/** Describes a contract's rate and burst as a quota to be shared among hosts. */
export function createRateSubject(contract: Contract): SharedQuota {
	const maxHolders = Math.min(MAX_RATE_HOLDERS, Math.max(1, Math.floor(contract.burst / MIN_HOLDER_BURST)));
	return {key: `rate/${contract.team}`, totalUnits: RATE_UNITS, maxHolders};
}

/** Returns the current token need of a team on this host: recent demand and waiting requests. */
export function readNeed(quota: TeamQuota, now: Instant): AllotmentNeed {
	return {demand: readDemand(quota.demand, now), waiting: quota.waiting};
}

/** Adds the cost of a request to the measured demand of its team. */
export function countDemand(quota: TeamQuota, cost: number, now: Instant): void {
	quota.demand = applyDemand(quota.demand, cost, now);
}

/**
 * Creates the registry of a host. `hasFullRate` entitles the host to every rate in full; benchmarks use it as a
 * baseline.
 */
export function createAllotmentRegistry(blackboard: HostBlackboard, clock: Clock, hasFullRate = false): AllotmentRegistry {
	const quotas = new Map<string, TeamQuota>();
	const shares = new Map<string, number>();
	let window: ViewWindow = [];
	let sharesUsableAt: Instant = Number.NEGATIVE_INFINITY;
	let isStopped = false;

	function updateWindow(state: HostState, now: Instant): void {
		const {view, identity, peers} = state;
		if (window.length === 0 && hasPredecessor(state)) {
			sharesUsableAt = now + PREDECESSOR_LOAN_EXPIRY_MS;
		}

		const current = window.length === 0 ? createViewWindow(view, identity, now) : applyViewToWindow(window, view, now);
		const converged = decideConvergedWindow({
			window: current, peers, holder: identity, now,
		});
		if (converged !== window) {
			window = converged;
			shares.clear();
		}
	}

	function readCachedShare(subject: SharedQuota): number {
		const name = `${subject.key}/${subject.maxHolders}/${subject.totalUnits}`;
		const known = shares.get(name) ?? countWindowShare(window, subject, blackboard.read().identity);
		shares.set(name, known);
		return known;
	}

	function createEntitlement(contract: Contract, baseUntil: Instant): Entitlement {
		return {
			totalUnits: RATE_UNITS, rate: contract.rate, burst: contract.burst, base: hasFullRate ? RATE_UNITS : readCachedShare(createRateSubject(contract)), baseUntil,
		};
	}

	function updateQuota(contract: Contract, baseUntil: Instant, now: Instant): void {
		const {team} = contract;
		const entitlement = createEntitlement(contract, baseUntil);
		const known = quotas.get(team);
		if (known) {
			known.contract = contract;
			known.allotment = applyEntitlement(known.allotment, entitlement, now);
			return;
		}

		quotas.set(team, {
			team, key: createRateSubject(contract).key, contract, allotment: createAllotment(entitlement, now), demand: NO_DEMAND, waiting: 0,
		});
	}

	function update(): void {
		const now = clock.readNow();
		const state = blackboard.read();
		if (state.view.version === 0) {
			return;
		}

		updateWindow(state, now);
		const baseUntil = isStopped || now < sharesUsableAt ? Number.NEGATIVE_INFINITY : readBaseUntil(state, now);
		const {contracts} = state.view;
		[...quotas.keys()].filter(team => contracts[team] === undefined).forEach(team => {
			quotas.delete(team);
		});
		Object.values(contracts).forEach(contract => {
			updateQuota(contract, baseUntil, now);
		});
		updateLedgerVersion();
	}

	/**
	 * Publishes the view version this host complies with, that is, one under which it has lent no more units than it is
	 * entitled to.
	 */
	function updateLedgerVersion(): void {
		const {view, ledgerVersion} = blackboard.read();
		const isCompliant = [...quotas.values()].every(({allotment}) => countUnits(allotment.lent) <= allotment.base);
		if (isCompliant && ledgerVersion !== view.version) {
			blackboard.update(state => ({...state, ledgerVersion: view.version}));
		}
	}

	return {
		findQuota: team => quotas.get(team),
		findByKey: key => quotas.get(key.slice(key.indexOf('/') + 1)),
		readQuotas: () => [...quotas.values()],
		update,
		stop() {
			isStopped = true;
			update();
		},
		hasNoOutstandingLoans: () => [...quotas.values()].every(({allotment}) => advanceAllotment(allotment, clock.readNow()).lent.length === 0),
		isConverged: () => window.length === 1,
		countUnits: subject => window.length === 0 ? 0 : readCachedShare(subject),
	};
}

/** Decides whether an earlier incarnation at this host's address may have granted loans that are still in use. */
function hasPredecessor({view, identity}: HostState): boolean {
	return [...Object.values(view.hosts), ...Object.values(view.removedHosts)].some(record => record.peerAddress === identity.peerAddress && record.incarnation !== identity.incarnation);
}

/**
 * Returns when the lease on this host's own shares expires. The lease is extended each time the view is verified as
 * current.
 */
function readBaseUntil({view, stamp, identity, peers}: HostState, now: Instant): Instant {
	if (!isSameOrSuccessor(view.hosts[identity.host], identity)) {
		return Number.NEGATIVE_INFINITY;
	}

	const confirmedAt = readPeerConfirmedInstant({
		view, host: identity.host, incarnation: identity.incarnation, peerAddress: identity.peerAddress, peers, now,
	});
	return Math.max(stamp.verifiedAt, confirmedAt) + SHARE_LEASE_MS;
}
