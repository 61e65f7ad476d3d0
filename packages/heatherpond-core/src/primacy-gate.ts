/** Port that holds back the acknowledgement of a write until it is proved that a primary committed it. */
import ModernError from 'modern-errors';
import type {Deadline} from './clock.js';
import type {Durability} from './contract.js';
import type {LogPosition} from './position.js';

/** A commit whose acknowledgement is withheld until it is proved. */
export type PendingCommit = {
	readonly requestId: string;
	readonly group: string;
	/** Database that reported the commit. */
	readonly database: string;
	/** Log point of the commit, as reported by the database. */
	readonly point: LogPosition;
	readonly durability: Durability;
	readonly deadline: Deadline;
	readonly signal: AbortSignal;
};

/** How the commit was proved: see `primacy-proof.ts`. */
export type ProofKind = 'lease' | 'replica';

/** No proof was obtained in time, or the database has been replaced: the outcome of the write is unknown. */
export const UnprovenError = ModernError.subclass('UnprovenError', {
	props: {reason: 'timeout' as 'timeout' | 'replaced' | 'aborted'},
});

/** Proves that a database was still the primary when its commit response arrived. */
export type PrimacyGate = {
	/**
	 * Waits for a proof obtained after the call. A proof can lapse: the caller must send the acknowledgement in the
	 * same turn of the event loop in which the promise resolves, or check `isStillProven` before sending it.
	 *
	 * @throws UnprovenError when no proof is obtained in time
	 */
	readonly waitForProof: (commit: PendingCommit) => Promise<ProofKind>;
	/**
	 * Returns whether the proof still holds; called in the turn of the event loop in which the acknowledgement is sent.
	 */
	readonly isStillProven: (commit: PendingCommit, proof: ProofKind) => boolean;
};
