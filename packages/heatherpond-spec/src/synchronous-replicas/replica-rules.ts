/** The rules of promotions in groups with synchronous replicas, taken from the production code. Mutants replace some of them. */
import {
	findCommitHolders, findNextHolders, findReplicas, isCaughtUp, selectCandidate,
} from 'heatherpond-fleet';

/** Every rule that a mutant may disable. */
export type ReplicaRules = {
	readonly selectCandidate: typeof selectCandidate;
	/** Finds the databases that must be listed as holders, and whose logs a promotion must know. */
	readonly findCommitHolders: typeof findCommitHolders;
	readonly findNextHolders: typeof findNextHolders;
	readonly findReplicas: typeof findReplicas;
	/** Whether a departed holder may be forgotten because of this replica. */
	readonly isCaughtUp: typeof isCaughtUp;
	/** Finds the holders that are listed when a promotion begins. */
	readonly findHoldersAtBegin: typeof findCommitHolders;
	/** Whether a candidate waits until it holds what an old primary that responds holds. */
	readonly waitsForCatchUp: boolean;
};

/** The rules of the production code, unchanged. */
export const REPLICA_RULES: ReplicaRules = {
	selectCandidate, findCommitHolders, findNextHolders, findReplicas, isCaughtUp, findHoldersAtBegin: findCommitHolders, waitsForCatchUp: true,
};
