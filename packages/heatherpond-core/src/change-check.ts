/** Validates the changes that operators request against the view, before they are appended to the change log. */
import type {GroupSettings, Member} from './contract.js';
import {CoreError} from './core-error.js';
import type {FleetView, GroupRecord} from './fleet-view.js';
import type {Change} from './log-entry.js';
import {findEntry, findReservedName} from './reserved-names.js';

/** An operator's change was rejected and not applied. The message states the reason and the accepted values. */
export const ChangeRefusedError = CoreError.subclass('ChangeRefusedError', {props: {code: 'change_refused'}});

/**
 * Checks that an operator's change is valid in a view.
 *
 * @throws ChangeRefusedError when it is not
 */
export function checkChange(view: FleetView, change: Change): void {
	const reason = findChangeError(view, change);
	if (reason !== undefined) {
		throw new ChangeRefusedError(reason);
	}
}

/** Returns the reason why a change is invalid in a view, or `undefined` if it is valid. */
export function findChangeError(view: FleetView, change: Change): string | undefined {
	const reserved = findReservedName(change);
	return reserved === undefined ? findStateError(view, change) : `the name "${reserved}" is reserved; choose another one`;
}

function findStateError(view: FleetView, change: Change): string | undefined {
	switch (change.kind) {
		case 'contractApplied': {
			return findRouteError(view, change.contract.routes);
		}

		case 'contractRemoved': {
			return findEntry(view.contracts, change.team) ? undefined : `team "${change.team}" has no contract; contracts exist for: ${formatNames(view.contracts)}`;
		}

		case 'keyGiven': {
			return findKeyError(view, change);
		}

		case 'keyWithdrawn': {
			return findWithdrawalError(view, change.keyId);
		}

		case 'routeApplied': {
			return findEntry(view.groups, change.route.group) ? undefined : `route "${change.route.name}" refers to unknown group "${change.route.group}"; groups: ${formatNames(view.groups)}`;
		}

		case 'groupApplied': {
			return findGroupError(change.group, findEntry(view.groups, change.group.name));
		}

		case 'upstreamLeft':
		case 'upstreamReturned': {
			return findUpstreamError(findEntry(view.groups, change.group), change);
		}

		case 'promotionStarted':
		case 'promotionEnded':
		case 'hostRegistered':
		case 'hostRemoved': {
			return `only hosts make a change of kind ${change.kind}`;
		}
	}
}

function formatNames(records: Readonly<Record<string, unknown>>): string {
	const names = Object.keys(records).toSorted();
	return names.length === 0 ? 'none' : names.join(', ');
}

function findRouteError(view: FleetView, routes: readonly string[]): string | undefined {
	const unknown = routes.find(route => !findEntry(view.routes, route));
	return unknown === undefined ? undefined : `the contract refers to unknown route "${unknown}"; routes: ${formatNames(view.routes)}`;
}

function findKeyError(view: FleetView, change: Extract<Change, {kind: 'keyGiven'}>): string | undefined {
	if (!findEntry(view.contracts, change.team)) {
		return `team "${change.team}" has no contract; contracts exist for: ${formatNames(view.contracts)}`;
	}

	const duplicate = Object.values(view.keys).find(record => record.keyId === change.keyId);
	if (duplicate) {
		return `key id "${change.keyId}" is already in use by team "${duplicate.team}"; a key id is used once`;
	}

	return findEntry(view.keys, change.keyHash) ? `this key is already registered as "${view.keys[change.keyHash]!.keyId}"; a key is used once` : undefined;
}

function findWithdrawalError(view: FleetView, keyId: string): string | undefined {
	const record = Object.values(view.keys).find(candidate => candidate.keyId === keyId);
	if (!record) {
		return `there is no key "${keyId}"`;
	}

	return record.isWithdrawn ? `key "${keyId}" of team "${record.team}" is already withdrawn` : undefined;
}

function findDuplicate(values: readonly string[]): string | undefined {
	return values.find((value, index) => values.indexOf(value) !== index);
}

function findGroupError(group: GroupSettings, record: GroupRecord | undefined): string | undefined {
	const duplicate = findDuplicate(group.members.map(member => member.name)) ?? findDuplicate(group.members.map(formatAddress));
	if (duplicate !== undefined) {
		return `group "${group.name}" lists "${duplicate}" twice; database names and addresses must be unique`;
	}

	if (record?.primary !== undefined && !group.members.some(member => member.name === record.primary)) {
		return `group "${group.name}" would no longer contain its primary "${record.primary}"; run a switchover first`;
	}

	return undefined;
}

function formatAddress(member: Member): string {
	return `${member.host}:${member.port}`;
}

function findUpstreamError(group: GroupRecord | undefined, change: Extract<Change, {kind: 'upstreamLeft' | 'upstreamReturned'}>): string | undefined {
	if (!group) {
		return `there is no group "${change.group}"`;
	}

	const names = group.settings.members.map(member => member.name);
	if (!names.includes(change.database)) {
		return `group "${change.group}" has no database "${change.database}"; its databases: ${names.join(', ')}`;
	}

	const isLeaving = group.leaving.includes(change.database);
	if (change.kind === 'upstreamReturned') {
		return isLeaving ? undefined : `database "${change.database}" is not leaving`;
	}

	if (isLeaving) {
		return `database "${change.database}" is already leaving`;
	}

	return group.primary === change.database ? `database "${change.database}" is the primary of group "${change.group}"; run a switchover first` : undefined;
}
