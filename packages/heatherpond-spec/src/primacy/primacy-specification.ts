/** The specification of primacy with its invariants, scopes and mutants. */
import type {ScopeSize, Specification} from '../model.js';
import {createPrimacyModel} from './primacy-model.js';
import {PRIMACY_MUTANTS} from './primacy-mutants.js';
import {PRIMACY_RULES} from './primacy-rules.js';
import {
	LEASE_SCOPE, RACE_SCOPE, RELAY_SCOPE, REMOVAL_SCOPE, STORELESS_SCOPE, UNREGISTERED_HOST_SCOPE,
} from './primacy-scopes.js';
import type {PrimacyScope} from './primacy-state.js';

const DEFAULT_SCOPES: readonly PrimacyScope[] = [LEASE_SCOPE, RELAY_SCOPE, REMOVAL_SCOPE, UNREGISTERED_HOST_SCOPE, RACE_SCOPE, STORELESS_SCOPE];

const LARGE_SCOPES: readonly PrimacyScope[] = [
	{...LEASE_SCOPE, maxTicks: 2, removable: ['h2']},
	{...RELAY_SCOPE, hasFallback: true, hasInitialWrite: false},
	{...UNREGISTERED_HOST_SCOPE, maxTicks: 1, writers: ['h3']},
	{
		...RACE_SCOPE, registered: ['h1', 'h2'], hasFallback: true, hasInitialWrite: false,
	},
	{...STORELESS_SCOPE, writes: 2},
];

function collectScopes(size: ScopeSize): readonly PrimacyScope[] {
	return size === 'default' ? DEFAULT_SCOPES : [...DEFAULT_SCOPES, ...LARGE_SCOPES.map(scope => ({...scope, name: `${scope.name}, large`}))];
}

/** Primacy: which primary may acknowledge a write. */
export const PRIMACY_SPECIFICATION: Specification = {
	name: 'primacy',
	invariants: [
		'no write is acknowledged by a primary that has been replaced',
		'a write acknowledged with a replica proof is in every later primary',
		'a term has one primary',
		'the view of a host never goes back',
		'an entry that a host has applied stays in the log',
		'a request runs at most once',
		'a write that was reported lost stays lost',
	],
	createModels: size => collectScopes(size).map(scope => createPrimacyModel(scope, PRIMACY_RULES)),
	mutants: PRIMACY_MUTANTS,
};
