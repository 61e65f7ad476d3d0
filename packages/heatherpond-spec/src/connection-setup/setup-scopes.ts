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
	clients: ['client-1', 'client-2'], connections: 1, variables: ['zone'], values: ['a'], names: ['s'], statements: STATEMENTS.slice(0, 2), maxFaults: 2, collision: 'replaces',
};

/** As before, with statements that differ in their access only. */
export const ACCESS_SCOPE: SetupScope = {...SHARED_SCOPE, statements: STATEMENTS, maxFaults: 1};

/** As before, with a database that keeps the first statement under a name. */
export const KEEPING_SCOPE: SetupScope = {...SHARED_SCOPE, collision: 'keeps'};

/** Variables that change, and that only some clients have. */
export const VARIABLES_SCOPE: SetupScope = {
	...SHARED_SCOPE, variables: ['zone', 'mode'], values: ['a', 'b  c'], names: [], statements: [],
};

/** Two connections, between which clients change. */
export const TWO_CONNECTIONS_SCOPE: SetupScope = {
	...SHARED_SCOPE, connections: 2, statements: STATEMENTS.slice(0, 1), maxFaults: 1,
};

/** Length of a statement of which a connection has room for one, in characters. */
const LONG_STATEMENT_LENGTH = 10_000;

/** Statements for which a connection is reset, since it has no room for both. */
export const LONG_SCOPE: SetupScope = {
	...SHARED_SCOPE, statements: ['q', 'q write t'].map(text => ({access: 'write', shape: text.padEnd(LONG_STATEMENT_LENGTH, '.')})),
};

/** Larger scopes, by name. */
export const LARGE_SCOPES: ReadonlyArray<readonly [string, SetupScope]> = [
	['two values', {...SHARED_SCOPE, values: ['a', 'b  c']}],
	['two connections, two statements', {...SHARED_SCOPE, connections: 2, maxFaults: 1}],
	['three statements', {...SHARED_SCOPE, statements: STATEMENTS}],
	['three faults', {...SHARED_SCOPE, maxFaults: 3}],
	['two names', {...SHARED_SCOPE, names: ['s', 't']}],
];
