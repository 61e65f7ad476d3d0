/** Waits of a request that end when the state of this host changes. */
import {findPrimary, type Deadline, type HostState} from 'heatherpond-core';
import type {ClientContext} from './client-context.js';
import type {RunningRequest} from './running-request.js';

/** Selects the part of the host state whose change ends a wait. */
export type StateSelector = (state: HostState) => unknown;

/** Parts of the host state that routing depends on. */
export const ROUTING_STATE: readonly StateSelector[] = [state => state.view, state => state.databases];

/** Conditions that end a wait. */
export type ChangeWaitOptions = {readonly deadline: Deadline; readonly selectors: readonly StateSelector[]};

/** Waits until one of the parts changes, the deadline expires or the request is canceled. */
export async function waitForChange({services}: ClientContext, {cancellation}: RunningRequest, {deadline, selectors}: ChangeWaitOptions): Promise<void> {
	const {signal} = cancellation;
	if (signal.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		function endWait(): void {
			teardowns.forEach(teardown => {
				teardown();
			});
			signal.removeEventListener('abort', endWait);
			resolve();
		}

		const teardowns = [
			services.clock.registerTimer(deadline, endWait),
			...selectors.map(part => services.blackboard.registerListener(part, endWait)),
		];
		signal.addEventListener('abort', endWait, {once: true});
	});
}

/** Waits for the retry delay; a change of the group, such as the end of a promotion, ends the wait early. */
export async function waitForNextAttempt(context: ClientContext, running: RunningRequest, due: Deadline): Promise<void> {
	const {group} = running.route;
	await waitForChange(context, running, {deadline: Math.min(running.deadline, due), selectors: [state => state.view.groups[group]]});
}

/**
 * Waits until the group has a primary or term other than the one that refused a write; resolves to false if the
 * request times out or is canceled before.
 */
export async function waitForOtherPrimary(context: ClientContext, running: RunningRequest, refused: {readonly database: string; readonly term: number}): Promise<boolean> {
	const {services} = context;
	while (services.clock.readNow() < running.deadline && !running.cancellation.isCanceled()) {
		const group = services.blackboard.read().view.groups[running.route.group];
		if (group && (group.term > refused.term || (findPrimary(group) ?? refused.database) !== refused.database)) {
			return true;
		}

		await waitForChange(context, running, {deadline: running.deadline, selectors: [state => state.view.groups[running.route.group]]});
	}

	return false;
}
