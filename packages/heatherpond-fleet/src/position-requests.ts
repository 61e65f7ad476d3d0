/**
 * Asks primaries for their log position. The load in mind is reads that may not be run at the primary, because it is outside
 * their home regions: they need a position of it before a replica may run them, and in a quiet group no response tells one.
 */
import type {Clock, Deadline} from 'heatherpond-core';
import type {PositionTracker, WriteEvent} from 'heatherpond-session';
import type {DatabaseControlPort} from './database-control-port.js';
import type {FleetBlackboard} from './fleet-state.js';
import {findPrimary, isProven} from './primacy.js';
import {isAcceptingWork} from './upstream.js';

/** Asks the primary of a group; resolves when its position is known or the request has failed. */
export type RequestPosition = (group: string, deadline: Deadline) => Promise<void>;

/** Dependencies of the requests. */
export type PositionRequestsOptions = {
	readonly clock: Clock;
	readonly blackboard: FleetBlackboard;
	readonly databases: DatabaseControlPort;
	readonly positions: PositionTracker;
	readonly writeEvent: WriteEvent;
};

/** Creates the requests; statements that need the position of the same group at the same time share one. */
export function createPositionRequests({clock, blackboard, databases, positions, writeEvent}: PositionRequestsOptions): RequestPosition {
	const pending = new Map<string, Promise<void>>();

	async function requestOnce(group: string, deadline: Deadline): Promise<void> {
		const requestedAt = clock.readNow();
		const primary = findPrimary(blackboard.read(), group, requestedAt);
		const upstream = primary && blackboard.read().upstreams.get(primary.database);
		// Nothing at all may be sent to an evacuated database.
		if (!primary || !upstream || !isAcceptingWork(upstream)) {
			return;
		}

		try {
			const {isPrimary, term, point} = await databases.requestStatus(upstream, deadline);
			if (isPrimary && term === primary.term && isProven(blackboard.read(), primary, clock.readNow())) {
				positions.recordPrimaryPosition(group, term, point, requestedAt);
			}
		} catch (error) {
			writeEvent('position_request_failed', {group, database: upstream.id, reason: String(error)});
		}
	}

	return async (group, deadline) => {
		const request = pending.get(group) ?? requestOnce(group, deadline).finally(() => {
			pending.delete(group);
		});
		pending.set(group, request);
		return request;
	};
}
