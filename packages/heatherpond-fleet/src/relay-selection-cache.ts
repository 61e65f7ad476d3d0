/** Keeps the selected relays of databases until the hosts or the contracts change, because every statement needs them. */
import type {Contracts} from './contracts.js';
import type {HostRecord} from './fleet-records.js';
import {orderRelaysForTeam} from './relay-selection.js';

/** Cache of selected relays. */
export type RelaySelectionCache = {
	/** Returns the relays of a database, which `select` selects when they are not known. */
	readonly findRelays: (database: string, select: () => readonly HostRecord[]) => readonly HostRecord[];
	/** Returns the relays of a database in the order of preference for a team. */
	readonly orderForTeam: (database: string, team: string, relays: readonly HostRecord[]) => readonly HostRecord[];
	/** Discards the selection if the hosts or the contracts have changed since the previous call. */
	readonly refresh: (hosts: readonly HostRecord[], contracts: Contracts | undefined) => void;
};

/** Creates an empty cache. */
export function createRelaySelectionCache(): RelaySelectionCache {
	const byDatabase = new Map<string, readonly HostRecord[]>();
	/** Relays in the order of preference, by database and team. */
	const byTeam = new Map<string, Map<string, readonly HostRecord[]>>();
	let basis = '';

	return {
		findRelays(database, select) {
			const known = byDatabase.get(database) ?? select();
			byDatabase.set(database, known);
			return known;
		},
		orderForTeam(database, team, relays) {
			const orders = byTeam.get(database) ?? new Map<string, readonly HostRecord[]>();
			const known = orders.get(team) ?? orderRelaysForTeam(relays, team);
			byTeam.set(database, orders.set(team, known));
			return known;
		},
		refresh(hosts, contracts) {
			const current = JSON.stringify([contracts?.version, ...hosts.map(({host, incarnation}) => [host, incarnation])]);
			if (current !== basis) {
				basis = current;
				byDatabase.clear();
				byTeam.clear();
			}
		},
	};
}
