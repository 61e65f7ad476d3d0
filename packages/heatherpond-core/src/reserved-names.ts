/** Names that operators cannot give, because they stand for something else. */
import {ANONYMOUS_TEAM} from './access.js';
import type {Change} from './log-entry.js';

/** Returns the first reserved name that a change would give to a team, a route, a group or a database. */
export function findReservedName(change: Change): string | undefined {
	switch (change.kind) {
		case 'contractApplied': {
			const {team} = change.contract;
			return team === ANONYMOUS_TEAM ? team : findObjectName([team]);
		}

		case 'routeApplied': {
			return findObjectName([change.route.name]);
		}

		case 'groupApplied': {
			return findObjectName([change.group.name, ...change.group.members.map(member => member.name)]);
		}

		default: {
			return undefined;
		}
	}
}

/** Finds a name that every JavaScript object has; a record by name would hold it without an entry. */
function findObjectName(names: readonly string[]): string | undefined {
	return names.find(name => name in Object.prototype);
}

/** Finds the entry of a record by name; names that every object has are none. */
export function findEntry<Value>(records: Readonly<Record<string, Value>>, name: string): Value | undefined {
	return Object.hasOwn(records, name) ? records[name] : undefined;
}
