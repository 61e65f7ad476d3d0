/** Registry of all specifications. */
import {ALLOTMENT_SPECIFICATION} from './allotment/allotment-specification.js';
import {SETUP_SPECIFICATION} from './connection-setup/setup-specification.js';
import {EVACUATION_SPECIFICATION} from './evacuation/evacuation-specification.js';
import type {Mutant, Specification} from './model.js';
import {PRIMACY_SPECIFICATION} from './primacy/primacy-specification.js';
import {SESSION_SPECIFICATION} from './session/session-specification.js';
import {STORE_PRIMACY_SPECIFICATION} from './store-primacy/store-primacy-specification.js';
import {REPLICA_SPECIFICATION} from './synchronous-replicas/replica-specification.js';

/** All specifications, in the order in which they are run. */
export const SPECIFICATIONS: readonly Specification[] = [
	PRIMACY_SPECIFICATION, STORE_PRIMACY_SPECIFICATION, REPLICA_SPECIFICATION, ALLOTMENT_SPECIFICATION, SESSION_SPECIFICATION, EVACUATION_SPECIFICATION, SETUP_SPECIFICATION,
];

/** Finds a mutant of any specification by its name. */
export function findMutant(name: string): Mutant | undefined {
	return SPECIFICATIONS.flatMap(specification => specification.mutants).find(mutant => mutant.name === name);
}
