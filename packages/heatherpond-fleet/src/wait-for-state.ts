/** Waits for a condition on the fleet state. */
import type {Clock, Deadline} from 'heatherpond-core';
import type {FleetBlackboard, FleetState} from './fleet-state.js';

/** Sources of the state and the time. */
export type StateSource = {readonly blackboard: FleetBlackboard; readonly clock: Clock};

/** Resolves to whether the condition is met before the deadline and before the signal aborts; never rejects. */
export async function waitForState({blackboard, clock}: StateSource, isMet: (state: FleetState) => boolean, deadline: Deadline, signal: AbortSignal): Promise<boolean> {
	if (isMet(blackboard.read()) || signal.aborted) {
		return !signal.aborted;
	}

	return new Promise<boolean>(resolve => {
		function end(result: boolean): void {
			stopListening();
			stopTimer();
			signal.removeEventListener('abort', handleAbort);
			resolve(result);
		}

		const stopListening = blackboard.registerListener(state => state, state => {
			if (isMet(state)) {
				end(true);
			}
		});
		const stopTimer = clock.registerTimer(deadline, () => {
			end(false);
		});
		function handleAbort(): void {
			end(false);
		}

		signal.addEventListener('abort', handleAbort, {once: true});
	});
}
