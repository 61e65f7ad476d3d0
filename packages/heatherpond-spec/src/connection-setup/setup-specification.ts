/** The specification of connection setup with its invariants, scopes and mutants. */
import type {Specification} from '../model.js';
import {createSetupModel} from './setup-model.js';
import {SETUP_MUTANTS} from './setup-mutants.js';
import {SETUP_RULES} from './setup-rules.js';
import {
	ACCESS_SCOPE, KEEPING_SCOPE, LARGE_SCOPES, LONG_SCOPE, SHARED_SCOPE, TWO_CONNECTIONS_SCOPE, VARIABLES_SCOPE,
} from './setup-scopes.js';
import {SETUP_INVARIANTS, type SetupScope} from './setup-state.js';

const DEFAULT_SCOPES: ReadonlyArray<readonly [string, SetupScope]> = [
	['one connection', SHARED_SCOPE],
	['access', ACCESS_SCOPE],
	['names kept', KEEPING_SCOPE],
	['two variables', VARIABLES_SCOPE],
	['two connections', TWO_CONNECTIONS_SCOPE],
	['long statements', LONG_SCOPE],
];

/** Connection setup: statements run as their clients prepared them, with their variables, whatever becomes of setup commands. */
export const SETUP_SPECIFICATION: Specification = {
	name: 'connection setup',
	invariants: Object.values(SETUP_INVARIANTS),
	createModels: size => [...DEFAULT_SCOPES, ...(size === 'large' ? LARGE_SCOPES : [])].map(([name, scope]) => createSetupModel(`connection setup, ${name}`, scope, SETUP_RULES)),
	mutants: SETUP_MUTANTS,
};
