/** Materialized view of the change log, computed entry by entry. */
import * as z from 'zod';
import {
	contractSchema, groupSettingsSchema, routeSchema, type GroupSettings,
} from './contract.js';
import {checkInvariant} from './core-error.js';
import type {Change, LogEntry} from './log-entry.js';
import {termStartSchema} from './position.js';

/** An API key according to the log; the key itself is never stored, only its hash. */
export const keyRecordSchema = z.strictObject({
	keyId: z.string(),
	team: z.string(),
	keyHash: z.string(),
	isWithdrawn: z.boolean(),
});

export type KeyRecord = z.infer<typeof keyRecordSchema>;

/** A promotion that has started and not ended. */
export const promotionRecordSchema = z.strictObject({
	term: z.number().int().nonnegative(),
	promoter: z.string(),
	/** Version of the entry that started it. */
	version: z.number().int().positive(),
});

export type PromotionRecord = z.infer<typeof promotionRecordSchema>;

/** A database group according to the log. */
export const groupRecordSchema = z.strictObject({
	settings: groupSettingsSchema,
	/** Term of `primary`; 0 before the first promotion has ended. */
	term: z.number().int().nonnegative(),
	/** Name of the primary; absent before the first promotion has ended. */
	primary: z.string().optional(),
	/** Starts of all terms, oldest first. */
	termStarts: z.array(termStartSchema),
	promotion: promotionRecordSchema.optional(),
	/** Databases that receive no new requests. */
	leaving: z.array(z.string()),
});

export type GroupRecord = z.infer<typeof groupRecordSchema>;

/** A host registered in the log. */
export const hostRecordSchema = z.strictObject({
	host: z.string(),
	incarnation: z.string(),
	domain: z.string(),
	/** `address:port` at which peers and operators reach it. */
	peerAddress: z.string(),
	/** Version of the entry that registered it. */
	version: z.number().int().positive(),
});

export type HostRecord = z.infer<typeof hostRecordSchema>;

/**
 * A host that was removed by another one. It may go on using its leases until they expire, counted from when the entry
 * `removedVersion` was appended.
 */
export const removedHostSchema = hostRecordSchema.extend({removedVersion: z.number().int().positive()});

export type RemovedHost = z.infer<typeof removedHostSchema>;

/** State of the fleet after the log entry `version`. */
export const fleetViewSchema = z.strictObject({
	version: z.number().int().nonnegative(),
	contracts: z.record(z.string(), contractSchema),
	/** By key hash. */
	keys: z.record(z.string(), keyRecordSchema),
	routes: z.record(z.string(), routeSchema),
	groups: z.record(z.string(), groupRecordSchema),
	hosts: z.record(z.string(), hostRecordSchema),
	/**
	 * By incarnation: the most recently removed hosts that did not deregister themselves and whose addresses have not
	 * been reused.
	 */
	removedHosts: z.record(z.string(), removedHostSchema).default({}),
});

export type FleetView = z.infer<typeof fleetViewSchema>;

/** Largest number of removed hosts kept in the view. */
const MAX_REMOVED_HOSTS = 512;

/** View before the first entry. */
export const EMPTY_FLEET_VIEW: FleetView = {
	version: 0, contracts: {}, keys: {}, routes: {}, groups: {}, hosts: {}, removedHosts: {},
};

/**
 * Applies the next entry of the log.
 *
 * @throws InvariantError when the entry is out of order
 */
export function applyLogEntry(view: FleetView, entry: LogEntry): FleetView {
	checkInvariant(entry.version === view.version + 1, 'log_order', `log entry ${entry.version} cannot be applied to a view at version ${view.version}`);
	return {...applyChange(view, entry), version: entry.version};
}

function applyChange(view: FleetView, entry: LogEntry): FleetView {
	const {change, version} = entry;
	switch (change.kind) {
		case 'contractApplied': {
			return {...view, contracts: {...view.contracts, [change.contract.team]: change.contract}};
		}

		case 'contractRemoved': {
			const {[change.team]: removed, ...contracts} = view.contracts;
			// If the contract is applied again later, it needs new keys.
			return {...view, contracts, keys: applyWithdrawal(view.keys, record => record.team === change.team)};
		}

		case 'keyGiven': {
			const record: KeyRecord = {
				keyId: change.keyId, team: change.team, keyHash: change.keyHash, isWithdrawn: false,
			};
			return {...view, keys: {...view.keys, [change.keyHash]: record}};
		}

		case 'keyWithdrawn': {
			return {...view, keys: applyWithdrawal(view.keys, record => record.keyId === change.keyId)};
		}

		case 'routeApplied': {
			return {...view, routes: {...view.routes, [change.route.name]: change.route}};
		}

		case 'hostRegistered': {
			return applyRegistration(view, change, version);
		}

		case 'hostRemoved': {
			const {[change.host]: removed, ...hosts} = view.hosts;
			if (removed?.incarnation !== change.incarnation) {
				return view;
			}

			const isDeregistration = entry.author === change.host;
			return {...view, hosts, removedHosts: isDeregistration ? view.removedHosts : insertRemovedHost(view.removedHosts, removed, version)};
		}

		case 'groupApplied':
		case 'promotionStarted':
		case 'promotionEnded':
		case 'upstreamLeft':
		case 'upstreamReturned': {
			return {...view, groups: applyGroupChange(view.groups, change, version)};
		}
	}
}

type Registration = Extract<Change, {kind: 'hostRegistered'}>;

function applyRegistration(view: FleetView, {host, incarnation, domain, peerAddress}: Registration, version: number): FleetView {
	const record: HostRecord = {
		host, incarnation, domain, peerAddress, version,
	};
	const replaced = view.hosts[host];
	const removed = replaced && replaced.incarnation !== incarnation ? insertRemovedHost(view.removedHosts, replaced, version) : view.removedHosts;
	// A process that was registered at this address before has ended.
	const kept = Object.entries(removed).filter(([name, other]) => name !== incarnation && other.peerAddress !== peerAddress);
	return {...view, hosts: {...view.hosts, [host]: record}, removedHosts: Object.fromEntries(kept)};
}

function insertRemovedHost(removedHosts: FleetView['removedHosts'], record: HostRecord, removedVersion: number): FleetView['removedHosts'] {
	const all = [...Object.values(removedHosts), {...record, removedVersion}].slice(-MAX_REMOVED_HOSTS);
	return Object.fromEntries(all.map(host => [host.incarnation, host]));
}

/** Withdraws the matching keys; returns the same object if none changes. */
function applyWithdrawal(keys: FleetView['keys'], isMatching: (record: KeyRecord) => boolean): FleetView['keys'] {
	const withdrawn = Object.entries(keys).filter(([, record]) => !record.isWithdrawn && isMatching(record));
	return withdrawn.length === 0 ? keys : {...keys, ...Object.fromEntries(withdrawn.map(([hash, record]) => [hash, {...record, isWithdrawn: true}]))};
}

type GroupChange = Extract<Change, {kind: 'groupApplied' | 'promotionStarted' | 'promotionEnded' | 'upstreamLeft' | 'upstreamReturned'}>;

function applyGroupChange(groups: FleetView['groups'], change: GroupChange, version: number): FleetView['groups'] {
	const name = change.kind === 'groupApplied' ? change.group.name : change.group;
	const record = groups[name];
	if (change.kind === 'groupApplied') {
		const created: GroupRecord = {
			settings: change.group, term: 0, termStarts: [], leaving: [],
		};
		return {...groups, [name]: record ? applyGroupSettings(record, change.group) : created};
	}

	return record ? {...groups, [name]: applyChangeToGroup(record, change, version)} : groups;
}

/** Applies new settings; databases that are no longer members are dropped from `leaving`. */
function applyGroupSettings(group: GroupRecord, settings: GroupSettings): GroupRecord {
	const names = new Set(settings.members.map(member => member.name));
	return {...group, settings, leaving: group.leaving.filter(name => names.has(name))};
}

function applyChangeToGroup(group: GroupRecord, change: Exclude<GroupChange, {kind: 'groupApplied'}>, version: number): GroupRecord {
	switch (change.kind) {
		case 'promotionStarted': {
			const isNewer = change.term > Math.max(group.term, group.promotion?.term ?? 0);
			return isNewer ? {...group, promotion: {term: change.term, promoter: change.promoter, version}} : group;
		}

		case 'promotionEnded': {
			if (change.term <= group.term) {
				return group;
			}

			return {
				...group,
				term: change.term,
				primary: change.primary,
				termStarts: [...group.termStarts, {term: change.term, start: change.start}],
				promotion: group.promotion && group.promotion.term > change.term ? group.promotion : undefined,
			};
		}

		case 'upstreamLeft': {
			return group.leaving.includes(change.database) ? group : {...group, leaving: [...group.leaving, change.database]};
		}

		case 'upstreamReturned': {
			return {...group, leaving: group.leaving.filter(name => name !== change.database)};
		}
	}
}
