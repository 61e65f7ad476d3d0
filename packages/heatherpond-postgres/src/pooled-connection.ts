/** State machine of a pooled connection, as a reducer. It guarantees that a connection never has two owners. */
import {fromTransition} from 'xstate';
import {checkInvariant, type Instant} from 'heatherpond-core';

/** State of a pooled connection, which determines its owner. */
export type PooledState
	/** Owned by the pool and available since an instant. */
	= | {readonly kind: 'idle'; readonly since: Instant}
	/** Owned by one request or transaction. */
		| {readonly kind: 'inUse'}
	/** Owned by the pool, which waits for the response to a ping. */
		| {readonly kind: 'pinging'}
	/** Closed, without an owner. */
		| {readonly kind: 'closed'};

/** Event in the life of a pooled connection. */
export type PooledEvent
	= | {readonly type: 'acquire'}
		| {readonly type: 'ping'}
	/** The connection was released in a usable state. */
		| {readonly type: 'return'; readonly at: Instant}
		| {readonly type: 'close'};

/**
 * Computes the state after an event.
 *
 * @throws InvariantError when the connection is acquired or pinged while it is not idle, or released while it is not in use
 */
export function applyPooledEvent(state: PooledState, event: PooledEvent): PooledState {
	if (event.type === 'close') {
		return {kind: 'closed'};
	}

	if (event.type === 'return') {
		checkInvariant(state.kind === 'inUse' || state.kind === 'pinging', 'connection_owner', `a connection in state ${state.kind} was released`);
		return {kind: 'idle', since: event.at};
	}

	checkInvariant(state.kind === 'idle', 'connection_owner', `a connection in state ${state.kind} was acquired or pinged`);
	return {kind: event.type === 'acquire' ? 'inUse' : 'pinging'};
}

/** State of a new connection: it is in use by the code that opened it until that releases it to the pool. */
export const INITIAL_STATE: PooledState = {kind: 'inUse'};

/** The reducer as XState actor logic, for model exploration and inspection. */
export const pooledLogic = fromTransition(applyPooledEvent, INITIAL_STATE);
