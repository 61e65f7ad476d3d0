/** What must hold in every state of the model. */

/** Invariants of the model. */
export const STORE_PRIMACY_INVARIANTS = {
	acknowledged: 'nothing that a replaced primary has committed is acknowledged',
	fence: 'no order carries a lower fence than one before, and no two hosts use the same',
	promoted: 'a promotion makes one database primary',
	recorded: 'what is recorded as primary leads',
} as const;
