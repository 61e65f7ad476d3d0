/** Wait of one commit for its proof of primacy. */
import {
	UnprovenError, type Clock, type PendingCommit, type ProofKind,
} from 'heatherpond-core';

/** Proof of a commit, `replaced` if there can be none any more, or `undefined` while undecided. */
export type ProofVerdict = ProofKind | 'replaced' | undefined;

/** Wait that ends with a proof, once a proof has become impossible, or at the deadline of the commit. */
export type ProofWaiter = {
	/** Ends the wait if the verdict can be decided now. */
	readonly evaluate: () => void;
	/** Resolves with the kind of proof, or rejects with an `UnprovenError`. */
	readonly result: Promise<ProofKind>;
};

/** Options of a waiter. */
export type ProofWaiterOptions = {
	readonly commit: PendingCommit;
	readonly clock: Clock;
	readonly decideVerdict: () => ProofVerdict;
	/** Called once when the wait ends. */
	readonly onEnd: (waiter: ProofWaiter) => void;
};

/** Starts a wait. */
export function startProofWaiter({commit, clock, decideVerdict, onEnd}: ProofWaiterOptions): ProofWaiter {
	let settle: {readonly resolve: (proof: ProofKind) => void; readonly reject: (error: Error) => void} | undefined;
	const result = new Promise<ProofKind>((resolve, reject) => {
		settle = {resolve, reject};
	});
	const stopTimer = clock.registerTimer(commit.deadline, () => {
		endUnproven('timeout');
	});
	const waiter: ProofWaiter = {
		result,
		evaluate() {
			const verdict = settle && decideVerdict();
			if (verdict === 'replaced') {
				endUnproven('replaced');
			} else if (verdict) {
				end()?.resolve(verdict);
			}
		},
	};

	/** Ends the wait and returns its settle functions, or `undefined` if it has already ended. */
	function end(): typeof settle {
		const current = settle;
		settle = undefined;
		stopTimer();
		commit.signal.removeEventListener('abort', handleAbort);
		if (current) {
			onEnd(waiter);
		}

		return current;
	}

	function endUnproven(reason: 'timeout' | 'replaced' | 'aborted'): void {
		end()?.reject(new UnprovenError('the database was not proved to be the primary of its group', {props: {reason}}));
	}

	function handleAbort(): void {
		endUnproven('aborted');
	}

	commit.signal.addEventListener('abort', handleAbort, {once: true});
	if (commit.signal.aborted) {
		handleAbort();
	}

	return waiter;
}
