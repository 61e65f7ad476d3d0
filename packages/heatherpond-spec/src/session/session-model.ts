/**
 * The model of read-your-writes: one session that holds the token of its write; databases that lag, fail over and discard
 * the writes that a new primary does not have; and a host with a possibly outdated view and outdated log positions.
 */
import {
	decideCandidate, type DatabaseState, type DatabaseStatus, type GroupRecord, type LogPosition, type RoutingInput,
} from 'heatherpond-core';
import type {Model} from '../model.js';
import type {SessionRules} from './session-rules.js';

/** A write by the session, or by another client. */
type Write = 'own' | 'other';

type Entry = {readonly term: number; readonly write: Write};

type Database = {readonly name: string; readonly history: readonly Entry[]};

/** Terms of the group, as in the log or in the view of the host. */
type TermRecord = Pick<GroupRecord, 'term' | 'primary' | 'termStarts'>;

/** State of the model. */
export type SessionState = {
	readonly databases: readonly Database[];
	readonly log: TermRecord;
	readonly view: TermRecord;
	/** Log position that each database last reported to the host, by name of the database. */
	readonly knownPositions: Readonly<Record<string, LogPosition>>;
	/** Log position of the session's write; absent until the write is acknowledged. */
	readonly token?: LogPosition;
	readonly otherWrites: number;
	readonly violation?: string;
};

/** One step of a database, the host or a client. */
export type SessionStep
	= | {readonly kind: 'writeOwn' | 'writeOther' | 'readLog' | 'read'}
		| {readonly kind: 'replicate' | 'promote' | 'probe'; readonly database: string};

/** Bounds of the exploration. */
export type SessionScope = {readonly databases: readonly string[]; readonly maxTerm: number; readonly maxOthers: number};

/** Invariants of the session model. */
export const SESSION_INVARIANTS = {
	read: 'a read that is answered includes the write of its session',
	lost: 'only a write that did not survive is reported as lost',
} as const;

/** Creates the model for a scope and a set of rules. */
export function createSessionModel(name: string, scope: SessionScope, rules: SessionRules): Model<SessionState, SessionStep> {
	return {
		name,
		initial: createInitialState(scope),
		collectSteps: state => collectSteps(scope, state),
		applyStep: (state, step) => applyStep(rules, state, step),
		findViolation: state => state.violation,
		formatState: state => JSON.stringify(state, (_, value: unknown) => typeof value === 'bigint' ? value.toString() : value),
		formatStep: step => 'database' in step ? STEP_DESCRIPTIONS[step.kind](step.database) : STEP_DESCRIPTIONS[step.kind](''),
	};
}

const STEP_DESCRIPTIONS: Readonly<Record<SessionStep['kind'], (database: string) => string>> = {
	writeOwn: () => 'session   writes and receives the token of its write',
	writeOther: () => 'others    write',
	readLog: () => 'host      reads the log',
	read: () => 'session   reads',
	replicate: database => `${database}       replicates the history of the primary`,
	promote: database => `${database}       becomes primary`,
	probe: database => `host      reads the log position of ${database}`,
};

function createInitialState({databases}: SessionScope): SessionState {
	const terms: TermRecord = {term: 1, primary: databases[0], termStarts: [{term: 1, start: 0n}]};
	return {
		databases: databases.map(name => ({name, history: []})), log: terms, view: terms, knownPositions: {}, otherWrites: 0,
	};
}

function collectSteps(scope: SessionScope, state: SessionState): readonly SessionStep[] {
	const {log, view, token, otherWrites} = state;
	const replicas = state.databases.filter(database => database.name !== log.primary).map(database => database.name);
	return [
		...(token ? [{kind: 'read'} as const] : [{kind: 'writeOwn'} as const]),
		...(otherWrites < scope.maxOthers ? [{kind: 'writeOther'} as const] : []),
		...(view === log ? [] : [{kind: 'readLog'} as const]),
		...replicas.map(database => ({kind: 'replicate', database} as const)),
		...(log.term < scope.maxTerm ? replicas.filter(database => isCandidate(state, database)).map(database => ({kind: 'promote', database} as const)) : []),
		...scope.databases.map(database => ({kind: 'probe', database} as const)),
	];
}

function applyStep(rules: SessionRules, state: SessionState, step: SessionStep): SessionState {
	switch (step.kind) {
		case 'writeOwn': {
			const written = applyWrite(state, 'own');
			return {...written, token: readLastPosition(findDatabase(written, state.log.primary!))};
		}

		case 'writeOther': {
			return {...applyWrite(state, 'other'), otherWrites: state.otherWrites + 1};
		}

		case 'readLog': {
			return {...state, view: state.log};
		}

		case 'replicate': {
			return updateDatabase(state, step.database, findDatabase(state, state.log.primary!).history);
		}

		case 'promote': {
			return applyPromotion(state, findDatabase(state, step.database));
		}

		case 'probe': {
			return {...state, knownPositions: Object.fromEntries(Object.entries({...state.knownPositions, [step.database]: readLastPosition(findDatabase(state, step.database))}).toSorted(([left], [right]) => left < right ? -1 : 1))};
		}

		case 'read': {
			return applyRead(rules, state);
		}
	}
}

function findDatabase({databases}: SessionState, name: string): Database {
	return databases.find(database => database.name === name)!;
}

function readLastPosition({history}: Database): LogPosition {
	return {term: history.at(-1)?.term ?? 0, position: BigInt(history.length)};
}

function updateDatabase(state: SessionState, name: string, history: readonly Entry[]): SessionState {
	return {...state, databases: state.databases.map(database => database.name === name ? {name, history} : database)};
}

/** Decides whether a database may be promoted: one that holds writes lost in an earlier promotion may not. */
function isCandidate(state: SessionState, name: string): boolean {
	const status: DatabaseStatus = {
		name, role: 'replica', term: state.log.term, grantedTo: '', last: readLastPosition(findDatabase(state, name)), follows: '', dataAgeMs: 0,
	};
	return decideCandidate({members: 1, granted: [status], basis: {...state.log, openTerm: 0}}) !== undefined;
}

function applyWrite(state: SessionState, write: Write): SessionState {
	const {name, history} = findDatabase(state, state.log.primary!);
	return updateDatabase(state, name, [...history, {term: state.log.term, write}]);
}

function applyPromotion(state: SessionState, {name, history}: Database): SessionState {
	const term = state.log.term + 1;
	return {...state, log: {term, primary: name, termStarts: [...state.log.termStarts, {term, start: BigInt(history.length)}]}};
}

function createRoutingInput(state: SessionState, required: LogPosition): RoutingInput {
	const members = state.databases.map(({name}) => ({
		name, host: name, port: 1, domain: 'd', slots: 1, connections: 1,
	}));
	return {
		group: {
			...state.view, settings: {name: 'g', members, durability: 'contract'}, leaving: [],
		},
		findKnowledge: database => createDatabaseState(database, state),
		need: {
			kind: 'read', required, maxStalenessMs: 0, maxWaitMs: 0,
		},
		verifiedAt: 0,
		now: 0,
		order: (left, right) => left < right ? -1 : 1,
	};
}

function createDatabaseState(name: string, {knownPositions, view}: SessionState): DatabaseState | undefined {
	const last = knownPositions[name];
	return last && {
		group: 'g', name, readAt: 0, failures: 0, status: {
			name, role: 'replica', term: view.term, grantedTo: '', last, follows: view.primary ?? '', dataAgeMs: 0,
		},
	};
}

/** Routes a read as the host would. The response carries the log position at which the database executed the read. */
function applyRead(rules: SessionRules, state: SessionState): SessionState {
	const required = state.token!;
	const decision = rules.decideRoute(createRoutingInput(state, required));
	if (decision.kind === 'refuse') {
		const isWritePresent = findDatabase(state, state.log.primary!).history.some(entry => entry.write === 'own');
		return decision.reason === 'write_lost' && isWritePresent ? {...state, violation: SESSION_INVARIANTS.lost} : state;
	}

	const database = findDatabase(state, decision.database);
	const isReleased = rules.isResponseReleased(readLastPosition(database), required, state.view.termStarts);
	const hasOwnWrite = database.history.some(entry => entry.write === 'own');
	return isReleased && !hasOwnWrite ? {...state, violation: SESSION_INVARIANTS.read} : state;
}
