/** The rules of evacuations, taken from the production code. Mutants replace some of them. */
import {
	applyFleetUpdate, findDueRecords, isCold, type EvacuationRecord, type FleetState, type TableUpdate,
} from 'heatherpond-fleet';

/** Every rule that a mutant may disable. */
export type EvacuationRules = {
	/** Finds the records that a domain leader has to write. */
	readonly findDueRecords: (state: FleetState, now: number) => readonly EvacuationRecord[];
	/** Applies the rows that hosts write. */
	readonly applyFleetUpdate: (state: FleetState, update: TableUpdate) => FleetState;
	/** Whether a database gets its budget only. */
	readonly isCold: typeof isCold;
};

/** The rules of the production code, unchanged. */
export const EVACUATION_RULES: EvacuationRules = {findDueRecords, applyFleetUpdate, isCold};
