/**
 * Decides which hosts hold the connections to a database when there are too few for each host to have its own. A
 * connection speaks for one team; with a connection or less for each host nearly every statement would open one. A few
 * hosts near the database hold them instead, each for some of the teams, and the others send their statements there.
 */
import {orderByRendezvous} from 'heatherpond-core';
import type {HostRecord} from './fleet-records.js';

/** A host as far as the choice needs it. */
export type RelayHost = Pick<HostRecord, 'host' | 'domain'>;

/** What the choice is made from. */
export type RelayCriteria<Host extends RelayHost> = {
	readonly database: string;
	/** Failure domain of the database. */
	readonly domain: string;
	/** Connections that all hosts together may have open. */
	readonly maxConnections: number;
	/** Every host that is registered, this one included. */
	readonly hosts: readonly Host[];
	readonly readRegion: (domain: string) => string;
};

/** Connections that a host must have for itself at the least, or it sends its statements to others. */
const MIN_CONNECTIONS_PER_HOST = 2;
/** Connections that a host which holds them for others has at the least. */
const MIN_CONNECTIONS_PER_RELAY = 10;

/** Decides whether few hosts hold the connections for all. */
export function needsRelays({maxConnections, hosts}: Pick<RelayCriteria<RelayHost>, 'maxConnections' | 'hosts'>): boolean {
	return Math.floor(maxConnections / Math.max(1, hosts.length)) < MIN_CONNECTIONS_PER_HOST;
}

/** Finds the hosts that hold the connections to a database, those in its failure domain if there are any. */
export function selectRelays<Host extends RelayHost>({database, domain, maxConnections, hosts, readRegion}: RelayCriteria<Host>): readonly Host[] {
	const near = hosts.filter(host => host.domain === domain);
	const regional = near.length > 0 ? near : hosts.filter(host => readRegion(host.domain) === readRegion(domain));
	const eligible = regional.length > 0 ? regional : hosts;
	const count = Math.max(1, Math.floor(maxConnections / MIN_CONNECTIONS_PER_RELAY));
	return orderHosts(eligible, database).slice(0, count);
}

/** Orders the hosts that hold connections for a team: the first one serves it, the next ones as long as that one fails. */
export function orderRelaysForTeam<Host extends RelayHost>(relays: readonly Host[], team: string): readonly Host[] {
	return orderHosts(relays, team);
}

function orderHosts<Host extends RelayHost>(hosts: readonly Host[], subject: string): readonly Host[] {
	const byName = new Map(hosts.map(host => [host.host, host]));
	return orderByRendezvous([...byName.keys()], subject).map(name => byName.get(name)!);
}
