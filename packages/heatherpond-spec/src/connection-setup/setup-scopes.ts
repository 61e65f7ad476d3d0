/** Bounds of the explorations of connection setup. */
import type {SetupScope} from './setup-state.js';

/** Statements whose texts, written into a name, would be read as other statements. */
const STATEMENTS: SetupScope['statements'] = [
	{access: 'write', shape: 'q'},
	{access: 'write', shape: 'q write t'},
	{access: 'read', shape: 'q'},
];

/** One connection that two clients use in turn. */
export const SHARED_SCOPE: SetupScope = {
	clients: ['client-1', 'client-2'], connections: 1, variables: ['zone'], values: ['a'], names: ['s'], statements: STATEMENTS, maxFaults: 2, collision: 'replaces',
};

/** As before, with a database that keeps the first statement under a name. */
export const KEEPING_SCOPE: SetupScope = {...SHARED_SCOPE, statements: STATEMENTS.slice(0, 2), collision: 'keeps'};

/** Variables that change, and that only some clients have. */
export const VARIABLES_SCOPE: SetupScope = {
	...SHARED_SCOPE, variables: ['zone', 'mode'], values: ['a', 'b  c'], names: [], statements: [],
};

/** Two connections, between which clients change. */
export const TWO_CONNECTIONS_SCOPE: SetupScope = {
	...SHARED_SCOPE, connections: 2, statements: STATEMENTS.slice(0, 2), maxFaults: 1,
};

/** Larger scopes, by name. */
export const LARGE_SCOPES: ReadonlyArray<readonly [string, SetupScope]> = [
	['two values', {...SHARED_SCOPE, values: ['a', 'b  c']}],
	['three faults', {...SHARED_SCOPE, maxFaults: 3}],
	['two names', {...SHARED_SCOPE, names: ['s', 't'], statements: STATEMENTS.slice(0, 2)}],
];
