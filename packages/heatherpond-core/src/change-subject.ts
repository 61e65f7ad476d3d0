/** Names the object that a change modifies; concurrent changes of the same object may conflict. */
import type {Change} from './log-entry.js';

/** Formats the object that a change modifies as its type and name. */
export function formatChangeSubject(change: Change): string {
	switch (change.kind) {
		case 'contractApplied': {
			return `team ${change.contract.team}`;
		}

		case 'contractRemoved': {
			return `team ${change.team}`;
		}

		case 'routeApplied': {
			return `route ${change.route.name}`;
		}

		case 'groupApplied': {
			return `group ${change.group.name}`;
		}

		case 'keyGiven':
		case 'keyWithdrawn': {
			return `key ${change.keyId}`;
		}

		case 'upstreamLeft':
		case 'upstreamReturned': {
			return `database ${change.group}/${change.database}`;
		}

		case 'promotionStarted':
		case 'promotionEnded': {
			return `primary of ${change.group}`;
		}

		case 'hostRegistered':
		case 'hostRemoved': {
			return `host ${change.host}`;
		}
	}
}
