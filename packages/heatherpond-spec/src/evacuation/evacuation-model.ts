/**
 * The model of what cold databases get after an evacuation: an operator that evacuates a failure domain and ends that; domain
 * leaders that record both; and hosts that read the operator's rows and the records in any order, crash and start again. Every
 * running host reads, and writes what is due, at least once between two ticks of the clock. One host at least runs at each tick:
 * an evacuation that begins and ends while all hosts are down is known to nobody.
 */
import {
	applyEvacuationUpdate, EMPTY_FLEET_STATE, EVACUATION_PREFIX, type Contracts, type EvacuationRecord, type FleetState, type TableUpdate, type Upstream,
} from 'heatherpond-fleet';
import type {Model} from '../model.js';
import type {EvacuationRules} from './evacuation-rules.js';

/** What a host knows; absent while it is down. */
type HostModel = {
	/** Ticks at which it learned of the evacuation, and of the end of one. */
	readonly evacuatedSince?: number;
	readonly endedAt?: number;
	readonly record?: EvacuationRecord;
	/** Whether it has read the operator's rows again since it learned of that end. */
	readonly isEndVerified: boolean;
	/** When it last read the operator's rows, and the records; absent until it has. */
	readonly rowsReadAt?: number;
	readonly recordsReadAt?: number;
};

/** State of the model; instants are ticks. */
export type EvacuationState = {
	readonly now: number;
	readonly evacuations: number;
	/** When the evacuation was requested; absent while there is none. */
	readonly requestedAt?: number;
	/** When the last evacuation ended. */
	readonly endedAt?: number;
	readonly record?: EvacuationRecord;
	readonly hosts: Readonly<Record<string, HostModel | undefined>>;
	readonly crashes: number;
};

type HostStep = 'readRows' | 'readRecords' | 'write' | 'crash' | 'start';

/** One step of the operator, a host or the clock. */
export type EvacuationStep = {readonly kind: 'tick' | 'evacuate' | 'end'} | {readonly kind: HostStep; readonly host: string};

/** Bounds of the exploration. */
export type EvacuationScope = {readonly hosts: readonly string[]; readonly ticks: number; readonly crashes: number; readonly evacuations: number};

/** Invariants of the model. */
export const EVACUATION_INVARIANTS = {
	budget: 'while a database is cold after an evacuation, no host that serves sends there beyond its budget',
} as const;

const DOMAIN = 'domain-1';
const TICK_MS = 1000;
const WARM_UP_TICKS = 2;
const GROUP = 'group';
const CONTRACTS: Contracts = {
	version: 1, routes: new Map(), teams: new Map(), teamsByKey: new Map(), idleTransactionMs: 1000,
	groups: new Map([[GROUP, {
		group: GROUP, maxConnections: 1, coldPerSecond: 1, warmUpMs: WARM_UP_TICKS * TICK_MS,
	}]]),
};
const DATABASE: Upstream = {
	id: 'db', group: GROUP, host: 'db', port: 1, domain: DOMAIN, capacity: 1, isLeaving: false, claimsPrimary: false, isWarmingUp: false, startedAt: 0,
};
const STARTED_HOST: HostModel = {isEndVerified: false};

const STEP_DESCRIPTIONS: Readonly<Record<EvacuationStep['kind'], string>> = {
	tick: 'the clock advances by one tick',
	evacuate: 'the operator evacuates the failure domain',
	end: 'the operator ends the evacuation',
	readRows: 'reads the rows of the operator',
	readRecords: 'reads the records',
	write: 'writes the records that are due',
	crash: 'crashes',
	start: 'starts',
};

/** Creates the model for a scope and a set of rules. */
export function createEvacuationModel(name: string, scope: EvacuationScope, rules: EvacuationRules): Model<EvacuationState, EvacuationStep> {
	return {
		name,
		initial: {
			now: 0, evacuations: 0, crashes: 0, hosts: Object.fromEntries(scope.hosts.map(host => [host, {isEndVerified: false, rowsReadAt: 0, recordsReadAt: 0}])),
		},
		collectSteps: state => collectSteps(scope, rules, state),
		applyStep: (state, step) => applyStep(rules, state, step),
		findViolation: state => Object.values(state.hosts).some(host => host !== undefined && isSendingFreely(rules, state, host)) ? EVACUATION_INVARIANTS.budget : undefined,
		// Hosts differ in nothing but their names.
		formatState: ({hosts, ...state}) => JSON.stringify([state, Object.values(hosts).map(host => JSON.stringify(host) ?? '').toSorted()]),
		formatStep: step => 'host' in step ? `${step.host} ${STEP_DESCRIPTIONS[step.kind]}` : STEP_DESCRIPTIONS[step.kind],
	};
}

/** Creates the fleet state of a host, on which the rules decide. */
function createFleetState({evacuatedSince, endedAt, isEndVerified, record}: HostModel): FleetState {
	return {
		...EMPTY_FLEET_STATE,
		contracts: CONTRACTS,
		primacyVerifiedAt: 0,
		contractsVerifiedAt: isEndVerified ? Number.POSITIVE_INFINITY : Number.NEGATIVE_INFINITY,
		evacuations: new Map(evacuatedSince === undefined ? [] : [[DOMAIN, {since: evacuatedSince * TICK_MS, expiresAt: Number.POSITIVE_INFINITY}]]),
		evacuationEnds: new Map(endedAt === undefined ? [] : [[DOMAIN, endedAt * TICK_MS]]),
		evacuationRecords: new Map(record ? [[DOMAIN, record]] : []),
	};
}

function createUpdate(now: number, key: string, value: string | undefined): TableUpdate {
	return {
		kind: 'snapshot', page: {rows: value === undefined ? [] : [{key, value, version: 1}], version: 1, storeNow: now * TICK_MS}, requestedAt: now * TICK_MS, receivedAt: now * TICK_MS,
	};
}

function hasReadBoth({rowsReadAt, recordsReadAt}: HostModel): boolean {
	return rowsReadAt !== undefined && recordsReadAt !== undefined;
}

/** Whether a host has read both since the last tick. */
function isCurrent({now}: EvacuationState, {rowsReadAt, recordsReadAt}: HostModel): boolean {
	return rowsReadAt === now && recordsReadAt === now;
}

/** Whether a host sends statements without a budget though the database is cold. */
function isSendingFreely(rules: EvacuationRules, {now, requestedAt, endedAt}: EvacuationState, host: HostModel): boolean {
	const isDatabaseCold = requestedAt === undefined && endedAt !== undefined && now < endedAt + WARM_UP_TICKS;
	const isServing = hasReadBoth(host);
	return isDatabaseCold && isServing && host.evacuatedSince === undefined && !rules.isCold(createFleetState(host), DATABASE, now * TICK_MS);
}

function collectSteps(scope: EvacuationScope, rules: EvacuationRules, state: EvacuationState): readonly EvacuationStep[] {
	const {now, requestedAt, evacuations, crashes} = state;
	const running = scope.hosts.filter(host => state.hosts[host]);
	const canTick = now < scope.ticks && running.length > 0 && running.every(host => isCurrent(state, state.hosts[host]!) && findDue(rules, state, host).length === 0);
	return [
		...(canTick ? [{kind: 'tick'} as const] : []),
		...(requestedAt === undefined && evacuations < scope.evacuations ? [{kind: 'evacuate'} as const] : []),
		// An evacuation lasts longer than the time in which every host learns of it.
		...(requestedAt !== undefined && now > requestedAt + 1 ? [{kind: 'end'} as const] : []),
		...running.flatMap(host => [{kind: 'readRows', host} as const, {kind: 'readRecords', host} as const]),
		...running.filter(host => findDue(rules, state, host).length > 0).map(host => ({kind: 'write', host} as const)),
		...(crashes < scope.crashes ? running.map(host => ({kind: 'crash', host} as const)) : []),
		...scope.hosts.filter(host => !state.hosts[host]).map(host => ({kind: 'start', host} as const)),
	];
}

/** Finds what a host has to write; every host may be a domain leader. */
function findDue(rules: EvacuationRules, {now, hosts}: EvacuationState, host: string): readonly EvacuationRecord[] {
	const known = hosts[host]!;
	return hasReadBoth(known) ? rules.findDueRecords(createFleetState(known), now * TICK_MS) : [];
}

function applyStep(rules: EvacuationRules, state: EvacuationState, step: EvacuationStep): EvacuationState {
	switch (step.kind) {
		case 'tick': {
			return {...state, now: state.now + 1};
		}

		case 'evacuate': {
			return {...state, requestedAt: state.now, evacuations: state.evacuations + 1};
		}

		case 'end': {
			return {...state, requestedAt: undefined, endedAt: state.now};
		}

		case 'crash': {
			return {...updateHost(state, step.host, undefined), crashes: state.crashes + 1};
		}

		case 'start': {
			return updateHost(state, step.host, STARTED_HOST);
		}

		case 'readRows': {
			return updateHost(state, step.host, readRows(state, state.hosts[step.host]!));
		}

		case 'readRecords': {
			return updateHost(state, step.host, readRecords(rules, state, state.hosts[step.host]!));
		}

		case 'write': {
			return {...state, record: findDue(rules, state, step.host).at(0) ?? state.record};
		}
	}
}

function updateHost(state: EvacuationState, name: string, host: HostModel | undefined): EvacuationState {
	return {...state, hosts: {...state.hosts, [name]: host}};
}

/** Reads the operator's row, as the follower of the contracts does. */
function readRows({now, requestedAt}: EvacuationState, host: HostModel): HostModel {
	const before = createFleetState(host).evacuations;
	const update = createUpdate(now, DOMAIN, requestedAt === undefined ? undefined : '{}');
	const isEvacuated = applyEvacuationUpdate(before, update, key => key, Number.NEGATIVE_INFINITY).has(DOMAIN);
	const hasEnded = before.has(DOMAIN) && !isEvacuated;
	return {
		...host,
		rowsReadAt: now,
		evacuatedSince: isEvacuated ? host.evacuatedSince ?? now : undefined,
		endedAt: hasEnded ? now : host.endedAt,
		isEndVerified: !hasEnded && !isEvacuated && host.endedAt !== undefined,
	};
}

function readRecords(rules: EvacuationRules, {now, record}: EvacuationState, host: HostModel): HostModel {
	const update = createUpdate(now, `${EVACUATION_PREFIX}${DOMAIN}`, record && JSON.stringify(record));
	const next = rules.applyFleetUpdate(createFleetState(host), update);
	const endedAt = next.evacuationEnds.has(DOMAIN) ? next.evacuationEnds.get(DOMAIN)! / TICK_MS : undefined;
	return {
		...host, recordsReadAt: now, record: next.evacuationRecords.get(DOMAIN), endedAt, isEndVerified: host.isEndVerified && endedAt === host.endedAt,
	};
}

