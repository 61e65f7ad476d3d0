/** Steps of the databases: replication, which also turns a former primary into a replica. */
import type {StepHandlers} from './step-handlers.js';
import {findByName, updateMember} from './update-state.js';

/** Handler of the replication step. */
export const MEMBER_STEPS: StepHandlers<'replicate'> = {
	replicate(_, state, step) {
		const from = findByName(state.members, step.from);
		const to = findByName(state.members, step.to);
		return updateMember(state, step.to, {
			term: Math.max(to.term, from.primaryTerm), grantedTo: to.term < from.primaryTerm ? '' : to.grantedTo, primaryTerm: 0, follows: step.from, history: from.history,
		});
	},
};
