/** The change log of the model: an immutable linked list of entries, each with the fleet view that results from it. */
import {
	applyLogEntry, EMPTY_FLEET_VIEW, type Change, type FleetView, type GroupRecord,
} from 'heatherpond-core';

/** A log entry, linked to the entries before it. */
export type LogNode = {
	readonly view: FleetView;
	/** Identifies the log up to and including this entry. */
	readonly text: string;
	readonly change?: Change;
	readonly previous?: LogNode;
};

/** Name of the only group in the model. */
export const GROUP = 'g';

/** Creates an empty log. */
export function createEmptyLog(): LogNode {
	return {view: EMPTY_FLEET_VIEW, text: ''};
}

const nodes = new WeakMap<LogNode, Map<string, LogNode>>();

/** Appends an entry. Equal logs share one object, so that they can be compared by reference. */
export function appendNode(previous: LogNode, change: Change): LogNode {
	const key = JSON.stringify(change, (_, value: unknown) => typeof value === 'bigint' ? value.toString() : value);
	const followers = nodes.get(previous) ?? new Map<string, LogNode>();
	nodes.set(previous, followers);
	const known = followers.get(key);
	if (known) {
		return known;
	}

	const version = previous.view.version + 1;
	const entry = {
		version, operationId: key, author: 'spec', writtenAt: '', change,
	};
	const node: LogNode = {
		view: applyLogEntry(previous.view, entry), text: `${previous.text}${formatChange(change)}`, change, previous,
	};
	followers.set(key, node);
	return node;
}

/** Formats a change as part of the log's text. Entries of the initial log are the same in every run, and are left out. */
function formatChange(change: Change): string {
	if (change.kind === 'promotionStarted') {
		return `/${change.term}${change.promoter}`;
	}

	if (change.kind === 'promotionEnded') {
		return `/${change.term}${change.primary}@${change.start}`;
	}

	return change.kind === 'hostRemoved' ? `/-${change.host}` : '';
}

/** Decides whether the log up to `node` is a prefix of the log up to `head`, or the same. */
export function isPrefixOf(node: LogNode, head: LogNode): boolean {
	return node === head || (head.previous !== undefined && isPrefixOf(node, head.previous));
}

/** Reads the group from the view of a log. */
export function readGroup(node: LogNode): GroupRecord {
	return node.view.groups[GROUP]!;
}
