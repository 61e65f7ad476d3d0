/**
 * Blackboard: an observable store of one immutable state through which controllers communicate. State changes only
 * through `update`; listeners run after the new state is in place.
 */
import type {Teardown} from './clock.js';

/** Holds one immutable state, and notifies listeners of changes to parts of it. */
export type Blackboard<State> = {
	/** Returns the current state, which is never mutated. */
	readonly read: () => State;
	/** Replaces the state with the result of `change`. Listeners are not notified if that is the same object. */
	readonly update: (change: (state: State) => State) => void;
	/** Calls `listener` after every update that changed the result of `select`, compared by identity. */
	readonly registerListener: <Part>(select: (state: State) => Part, listener: (part: Part, previous: Part) => void) => Teardown;
};

type Listener<State> = (state: State, previous: State) => void;

/** Creates a blackboard with the given initial state. */
export function createBlackboard<State>(initial: State): Blackboard<State> {
	let state = initial;
	const listeners = new Set<Listener<State>>();

	return {
		read: () => state,
		update(change) {
			const previous = state;
			state = change(previous);
			if (state !== previous) {
				const current = state;
				[...listeners].forEach(listener => {
					listener(current, previous);
				});
			}
		},
		registerListener(select, listener) {
			function handleUpdate(current: State, previous: State): void {
				const part = select(current);
				const previousPart = select(previous);
				if (part !== previousPart) {
					listener(part, previousPart);
				}
			}

			listeners.add(handleUpdate);
			return () => {
				listeners.delete(handleUpdate);
			};
		},
	};
}
