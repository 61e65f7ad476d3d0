/**
 * The specification of primacy on the platform's store: hosts that rely on a primary for the length of a lease, promotions
 * that are written down first and can be taken over after any step, a duty with a fence, orders that are lost or carried
 * out late, hosts that stand still (no step of theirs comes) or start anew.
 */
import {
	findPrimary, type DutyRecord, type PrimacyRecord, type Versioned,
} from 'heatherpond-fleet';
import type {Model} from '../model.js';
import type {StorePrimacyRules} from './store-primacy-rules.js';
import {
	createFleetState, createHostList, GROUP, readIdentity, updateHost, type ModelHost, type PromotionRun, type StorePrimacyState,
} from './store-primacy-state.js';

/** One step of a host, the platform or time. */
export type StorePrimacyStep
	= | {readonly kind: 'tick'}
		| {readonly kind: HostStep; readonly host: string}
		| {readonly kind: 'name'; readonly host: string; readonly database: string}
		| {readonly kind: 'perform'; readonly order: number};

type HostStep = 'verify' | 'register' | 'write' | 'commit' | 'acknowledge' | 'confirm' | 'begin' | 'takeOver' | 'clear' | 'order' | 'record' | 'crash';

/** Bounds of the exploration. */
export type StorePrimacyScope = {
	readonly hosts: readonly string[];
	readonly databases: readonly string[];
	readonly ticks: number;
	readonly crashes: number;
	/** Hosts that take writes; the others only promote. */
	readonly writers: readonly string[];
	/** Whether registrations are refreshed; they outlast a short run. */
	readonly registers: boolean;
};

/** Invariants. */
export const STORE_PRIMACY_INVARIANTS = {
	acknowledged: 'nothing that a replaced primary has committed is acknowledged',
	fence: 'no order carries a lower fence than one before, and no two hosts use the same',
	promoted: 'a promotion makes one database primary',
	recorded: 'what is recorded as primary leads',
} as const;

/** Milliseconds of one step of time; leases, duties and registrations end between two. */
const TICK_MS = 2200;
/** Milliseconds before the end of the duty after which no order is sent, as in the product. */
const ORDER_MARGIN_MS = 800;

/** Creates the specification. */
export function createStorePrimacyModel(name: string, scope: StorePrimacyScope, rules: StorePrimacyRules): Model<StorePrimacyState, StorePrimacyStep> {
	return {
		name,
		initial: createInitialState(scope, rules),
		collectSteps: state => collectSteps(scope, rules, state),
		applyStep: (state, step) => applyStep(rules, state, step),
		findViolation: state => state.violation,
		formatState: state => JSON.stringify(state),
		formatStep,
	};
}

function createInitialState({hosts, databases}: StorePrimacyScope, {registrationMs}: StorePrimacyRules): StorePrimacyState {
	const record: Versioned<PrimacyRecord> = {record: {group: GROUP, term: 1, primary: databases[0]}, version: 1};
	const host: ModelHost = {
		incarnation: 1, record, leaseVerifiedAt: 0, registeredUntil: registrationMs, registeredAt: -1, seenAt: 0,
	};
	return {
		now: 0, version: 1, record, orders: [], leader: databases[0]!, term: 1, promoted: {}, stale: [], lastFence: 0, fenceHolders: {}, crashes: 0, confirmations: {},
		hosts: Object.fromEntries(hosts.map(name => [name, host])),
		registrations: Object.fromEntries(hosts.map(name => [name, 0])),
	};
}

function formatStep(step: StorePrimacyStep): string {
	switch (step.kind) {
		case 'tick': {
			return 'time passes';
		}

		case 'name': {
			return `${step.host} writes down that ${step.database} is to take over`;
		}

		case 'perform': {
			return `the platform carries out order ${step.order}`;
		}

		default: {
			return `${step.host} ${step.kind}`;
		}
	}
}

function collectSteps(scope: StorePrimacyScope, rules: StorePrimacyRules, state: StorePrimacyState): readonly StorePrimacyStep[] {
	return [
		...(state.now < scope.ticks * TICK_MS ? [{kind: 'tick'} as const] : []),
		...scope.hosts.flatMap(host => collectHostSteps(scope, rules, state, host)),
		...state.orders.map((_, order) => ({kind: 'perform', order} as const)),
	];
}

function collectHostSteps(scope: StorePrimacyScope, rules: StorePrimacyRules, state: StorePrimacyState, name: string): readonly StorePrimacyStep[] {
	const host = state.hosts[name]!;
	const fleet = createFleetState(host);
	const {record: {promotion}} = host.record;
	const {run, work} = host;
	const isWriter = scope.writers.includes(name);
	const kinds: ReadonlyArray<readonly [boolean, HostStep]> = [
		[host.record.version !== state.record.version || (isWriter && host.leaseVerifiedAt < state.now), 'verify'],
		[scope.registers && host.registeredUntil < state.now + rules.registrationMs, 'register'],
		[isWriter && !work && findPrimary(fleet, GROUP, state.now) !== undefined, 'write'],
		[work?.commit === 'none' && (work.database === state.leader || state.stale.includes(work.database)), 'commit'],
		[work !== undefined && work.commit !== 'none' && rules.isProven(fleet, {group: GROUP, ...work}, state.now), 'acknowledge'],
		[promotion !== undefined && host.confirmed !== promotion.id, 'confirm'],
		[state.crashes < scope.crashes, 'crash'],
		...collectPromoterKinds(rules, state, name),
	];
	const names = run?.phase === 'clear' ? findCandidates(scope, rules, state, run) : [];
	return [
		...kinds.filter(([isPossible]) => isPossible).map(([, kind]) => ({kind, host: name})),
		...names.map(database => ({kind: 'name', host: name, database} as const)),
	];
}

function collectPromoterKinds(rules: StorePrimacyRules, state: StorePrimacyState, name: string): ReadonlyArray<readonly [boolean, HostStep]> {
	const host = state.hosts[name]!;
	const fleet = createFleetState(host);
	const identity = readIdentity(name, host);
	const {run, record: {record: {promotion, term}}} = host;
	const mayStart = !run && host.registeredUntil > state.now && Number.isFinite(host.leaseVerifiedAt) && rules.isDutyFree(fleet, identity, state.now);
	return [
		[mayStart && promotion === undefined && term === 1, 'begin'],
		[mayStart && promotion !== undefined, 'takeOver'],
		[run?.phase === 'waiting' && isClear(rules, state, run), 'clear'],
		[run?.phase === 'named' && state.now < rules.readDutyDeadline(fleet, identity) - ORDER_MARGIN_MS, 'order'],
		[run?.phase === 'ordered' && state.leader === run.candidate, 'record'],
	];
}

/** Whether nobody relies on the old primary any more, as far as the run can tell. */
function isClear(rules: StorePrimacyRules, state: StorePrimacyState, run: PromotionRun): boolean {
	const live = rules.findLiveHosts(createHostList(state), state.now);
	return live.every(host => state.confirmations[host] === run.promotion) || state.now >= run.begunAt + rules.waitMs;
}

function findCandidates({databases}: StorePrimacyScope, rules: StorePrimacyRules, state: StorePrimacyState, {version}: PromotionRun): readonly string[] {
	const named = state.record.version === version ? rules.findNamed(state.record.record) : undefined;
	return named === undefined ? databases.filter(database => database !== state.record.record.primary) : [named];
}

function applyStep(rules: StorePrimacyRules, state: StorePrimacyState, step: StorePrimacyStep): StorePrimacyState {
	switch (step.kind) {
		case 'tick': {
			return {...state, now: state.now + TICK_MS};
		}

		case 'perform': {
			return applyOrder(state, step.order);
		}

		case 'name': {
			return applyName(rules, state, step.host, step.database);
		}

		default: {
			return applyHostStep(rules, state, step);
		}
	}
}

function applyOrder(state: StorePrimacyState, index: number): StorePrimacyState {
	const {database, promotion} = state.orders[index]!;
	const orders = state.orders.filter((_, other) => other !== index);
	if (database === state.leader) {
		return {...state, orders};
	}

	const promoted = [...new Set([...state.promoted[promotion] ?? [], database])];
	return {
		...state, orders, leader: database, term: state.term + 1, stale: [...state.stale.filter(other => other !== database), state.leader],
		promoted: {...state.promoted, [promotion]: promoted},
		violation: promoted.length > 1 ? STORE_PRIMACY_INVARIANTS.promoted : state.violation,
	};
}

function applyHostStep(rules: StorePrimacyRules, state: StorePrimacyState, {kind, host: name}: Extract<StorePrimacyStep, {readonly kind: HostStep}>): StorePrimacyState {
	const host = state.hosts[name]!;
	const {now} = state;
	switch (kind) {
		case 'verify': {
			return applyVerification(rules, state, name);
		}

		case 'register': {
			const isFirst = host.registeredUntil <= now;
			const registered = {...state, registrations: {...state.registrations, [name]: now}};
			return updateHost(registered, name, {registeredUntil: now + rules.registrationMs, registeredAt: isFirst ? now : host.registeredAt});
		}

		case 'write': {
			const {primary, term} = host.record.record;
			return updateHost(state, name, {work: {database: primary!, term, commit: 'none'}});
		}

		case 'commit': {
			return updateHost(state, name, {work: {...host.work!, commit: host.work!.database === state.leader ? 'good' : 'stale'}});
		}

		case 'acknowledge': {
			const acknowledged = updateHost(state, name, {work: undefined});
			return host.work!.commit === 'stale' ? {...acknowledged, violation: STORE_PRIMACY_INVARIANTS.acknowledged} : acknowledged;
		}

		case 'confirm': {
			const {id} = host.record.record.promotion!;
			return updateHost({...state, confirmations: {...state.confirmations, [name]: id}}, name, {confirmed: id, work: undefined});
		}

		case 'begin':
		case 'takeOver': {
			return applyIntent(rules, state, name);
		}

		case 'clear': {
			return updateHost(state, name, {run: {...host.run!, phase: 'clear'}});
		}

		case 'order': {
			return applySentOrder(state, name);
		}

		case 'record': {
			return applyRecord(rules, state, name);
		}

		case 'crash': {
			return updateHost({...state, crashes: state.crashes + 1}, name, {
				incarnation: host.incarnation + 1, leaseVerifiedAt: Number.NEGATIVE_INFINITY, registeredUntil: Number.NEGATIVE_INFINITY, registeredAt: Number.POSITIVE_INFINITY,
				confirmed: undefined, work: undefined, run: undefined, seenAt: now,
			});
		}
	}
}

function applyVerification(rules: StorePrimacyRules, state: StorePrimacyState, name: string): StorePrimacyState {
	const host = state.hosts[name]!;
	const {record} = state.record;
	const isNew = record.promotion !== undefined && host.record.record.promotion?.id !== record.promotion.id;
	return updateHost(state, name, {
		record: state.record,
		duty: state.duty,
		leaseVerifiedAt: rules.isLeaseRenewedBy(record) ? state.now : host.leaseVerifiedAt,
		seenAt: isNew ? state.now : host.seenAt,
		confirmed: record.promotion?.id === host.confirmed ? host.confirmed : undefined,
	});
}

type Rows = {readonly record: PrimacyRecord; readonly expected: number; readonly duty?: DutyRecord; readonly expectedDuty?: number};

/** Writes rows under their conditions; nothing when one is not met. */
function applyTransaction(rules: StorePrimacyRules, state: StorePrimacyState, {record, expected, duty, expectedDuty}: Rows): StorePrimacyState | undefined {
	const isMet = state.record.version === expected && (duty === undefined || (state.duty?.version ?? 0) === expectedDuty);
	if (rules.hasConditions && !isMet) {
		return undefined;
	}

	const version = state.version + 1;
	return {
		...state, version, record: {record, version}, duty: duty ? {record: duty, version} : state.duty,
	};
}

/** Takes the duty and writes that the promotion is under way. */
function applyIntent(rules: StorePrimacyRules, state: StorePrimacyState, name: string): StorePrimacyState {
	const host = state.hosts[name]!;
	const {record, version: expected} = host.record;
	const promotion = record.promotion ?? {id: `${name}${host.incarnation}-${expected}`, isPlanned: false, reason: 'silent'};
	const duty = rules.createDuty(createFleetState(host), readIdentity(name, host), state.now);
	const written = applyTransaction(rules, state, {
		record: {...record, promotion}, expected, duty, expectedDuty: host.duty?.version ?? 0,
	});
	if (!written) {
		return state;
	}

	return updateHost(written, name, {
		record: written.record, duty: written.duty, seenAt: record.promotion ? host.seenAt : state.now,
		run: {
			phase: 'waiting', promotion: promotion.id, begunAt: record.promotion ? host.seenAt : state.now, fence: duty.fence, version: written.version,
		},
	});
}

function applyName(rules: StorePrimacyRules, state: StorePrimacyState, name: string, database: string): StorePrimacyState {
	const {run, record: {record}} = state.hosts[name]!;
	const written = applyTransaction(rules, state, {record: {...record, promotion: {...record.promotion!, candidate: database}}, expected: run!.version});
	return written
		? updateHost(written, name, {
			record: written.record, run: {
				...run!, phase: 'named', candidate: database, version: written.version,
			},
		})
		: updateHost(state, name, {run: undefined});
}

function applySentOrder(state: StorePrimacyState, name: string): StorePrimacyState {
	const {run} = state.hosts[name]!;
	const {fence, promotion, candidate} = run!;
	const holder = state.fenceHolders[fence] ?? name;
	const isRight = fence >= state.lastFence && holder === name;
	return updateHost({
		...state,
		orders: [...state.orders, {database: candidate!, promotion}],
		lastFence: Math.max(fence, state.lastFence),
		fenceHolders: {...state.fenceHolders, [fence]: holder},
		violation: isRight ? state.violation : STORE_PRIMACY_INVARIANTS.fence,
	}, name, {run: {...run!, phase: 'ordered'}});
}

function applyRecord(rules: StorePrimacyRules, state: StorePrimacyState, name: string): StorePrimacyState {
	const {run} = state.hosts[name]!;
	const record: PrimacyRecord = {group: GROUP, term: state.term, primary: run!.candidate};
	const written = applyTransaction(rules, state, {record, expected: run!.version});
	return written ? updateHost(written, name, {record: written.record, run: undefined}) : updateHost(state, name, {run: undefined});
}
