/**
 * Selects relays: the hosts that pool the connections to a database whose connection limit is too low for every host to have
 * a pool. A connection is authenticated as one team, so with about one connection per host nearly every statement would have
 * to open a new one. Instead a few hosts near the database pool the connections, each for some of the teams, and the other
 * hosts send their statements through them.
 */
import {orderByRendezvous} from 'heatherpond-core';
import type {HostRecord} from './fleet-records.js';

/** The properties of a host that the selection depends on. */
export type RelayHost = Pick<HostRecord, 'host' | 'domain'>;

/** Inputs of the selection. */
export type RelayCriteria<Host extends RelayHost> = {
	readonly database: string;
	/** Failure domain of the database. */
	readonly domain: string;
	/** Number of connections that all hosts together may have open. */
	readonly connections: number;
	/** All registered hosts, this one included. */
	readonly hosts: readonly Host[];
	/** Reads the region of a failure domain. */
	readonly readRegion: (domain: string) => string;
};

/** Number of connections per host below which relays are used: one for each team, but no more than the upper bound. */
const MIN_CONNECTIONS_PER_HOST = 2;
const MAX_CONNECTIONS_PER_HOST = 8;
/** Minimum number of connections per relay, unless there are only as few relays as are needed for one of them to fail. */
const MIN_CONNECTIONS_PER_RELAY = 10;
const MIN_RELAYS = 2;

/**
 * Whether the connection limit is too low for every host to keep a connection for each team. A host with fewer connections
 * than teams closes and opens them all the time, and an opening takes a slot of the database and two more round trips.
 */
export function isRelayRequired({connections, hosts, teams}: Pick<RelayCriteria<RelayHost>, 'connections' | 'hosts'> & {readonly teams: number}): boolean {
	const required = Math.max(MIN_CONNECTIONS_PER_HOST, Math.min(MAX_CONNECTIONS_PER_HOST, teams));
	return Math.floor(connections / Math.max(1, hosts.length)) < required;
}

/** Selects the relays of a database, preferably in its failure domain, otherwise in its region. */
export function selectRelays<Host extends RelayHost>({database, domain, connections, hosts, readRegion}: RelayCriteria<Host>): readonly Host[] {
	const near = hosts.filter(host => host.domain === domain);
	const regional = near.length > 0 ? near : hosts.filter(host => readRegion(host.domain) === readRegion(domain));
	const eligible = regional.length > 0 ? regional : hosts;
	const count = Math.max(Math.min(MIN_RELAYS, connections), Math.floor(connections / MIN_CONNECTIONS_PER_RELAY));
	return orderHosts(eligible, database).slice(0, count);
}

/** Orders relays by preference for a team: the first one serves the team, the next ones are fallbacks. */
export function orderRelaysForTeam<Host extends RelayHost>(relays: readonly Host[], team: string): readonly Host[] {
	return orderHosts(relays, team);
}

function orderHosts<Host extends RelayHost>(hosts: readonly Host[], subject: string): readonly Host[] {
	const byName = new Map(hosts.map(host => [host.host, host]));
	return orderByRendezvous([...byName.keys()], subject).map(name => byName.get(name)!);
}
