/**
 * Finds the failure domain of a host that has just started. The host introduces itself to a few known hosts, the seeds, which
 * name hosts of its domain, so that it can follow the leader of its domain without reading the store. Discovery only saves
 * calls to the store: a host that finds nobody reads the list of hosts from there.
 */
import {
	waitUntil, type Clock, type Deadline, type Instant,
} from 'heatherpond-core';
import type {HostIdentity} from './fleet-services.js';
import type {HostContact} from './host-message.js';

/** Address at which a seed receives datagrams. */
export type SeedAddress = {readonly address: string; readonly port: number};

/** Discovery of the hosts of a failure domain. */
export type HostDiscovery = {
	/** Resolves when the leader of the domain has been found or the search has been given up. */
	readonly waitUntilDone: () => Promise<void>;
	readonly isDone: () => boolean;
	/** Checks at once whether the leader has been found, instead of at the next interval. */
	readonly refresh: () => void;
	/** Handles the introduction of another host; returns hosts of its domain. */
	readonly handleIntroduction: (host: HostContact) => readonly HostContact[];
};

/** Dependencies of the discovery. */
export type HostDiscoveryOptions = {
	readonly clock: Clock;
	readonly identity: HostIdentity;
	readonly seeds: readonly SeedAddress[];
	/** Sends the introduction of this host to a seed. */
	readonly sendIntroduction: (seed: SeedAddress) => void;
	/** Whether this host has found the leader of its domain. */
	readonly hasLeader: () => boolean;
	/** Finds the leader of a domain, as far as it is known here. */
	readonly findLeaderOf: (domain: string) => HostContact | undefined;
	/** Reads the hosts that are known here. */
	readonly readHosts: () => readonly HostContact[];
	readonly signal: AbortSignal;
};

/** Milliseconds between two introductions to the seeds. */
const INTRODUCTION_INTERVAL_MS = 50;
/** Milliseconds after which the search is given up: a few round trips between distant failure domains. */
const SEARCH_TIMEOUT_MS = 150;
/** Milliseconds for which hosts that have introduced themselves are named to others. */
const INTRODUCTION_RETENTION_MS = 5000;
/** Maximum number of hosts named in a response; the first ones by name include the leader of a domain that has just started. */
const MAX_NAMED_HOSTS = 4;

type IntroducedHost = {readonly contact: HostContact; readonly until: Instant};

/** Starts the discovery; without seeds it is done at once. */
export function startHostDiscovery(options: HostDiscoveryOptions): HostDiscovery {
	const {clock, identity, findLeaderOf, readHosts, signal} = options;
	const introduced = new Map<string, IntroducedHost>();
	const seeds = options.seeds.filter(({address}) => address !== identity.address);
	let isDone = seeds.length === 0;
	let wake = new AbortController();

	async function runSearch(deadline: Deadline): Promise<void> {
		while (!signal.aborted && !options.hasLeader() && clock.readNow() < deadline) {
			wake = new AbortController();
			seeds.forEach(options.sendIntroduction);
			await waitUntil(clock, Math.min(deadline, clock.readNow() + INTRODUCTION_INTERVAL_MS), wake.signal);
		}

		isDone = true;
	}

	signal.addEventListener('abort', () => {
		wake.abort();
	}, {once: true});
	const search = isDone ? Promise.resolve() : runSearch(clock.readNow() + SEARCH_TIMEOUT_MS);

	return {
		waitUntilDone: async () => search,
		isDone: () => isDone,
		refresh() {
			if (!isDone && options.hasLeader()) {
				wake.abort();
			}
		},
		handleIntroduction(host) {
			const now = clock.readNow();
			introduced.set(host.host, {contact: host, until: now + INTRODUCTION_RETENTION_MS});
			[...introduced].filter(([, {until}]) => until <= now).forEach(([name]) => {
				introduced.delete(name);
			});
			const others = [identity, ...readHosts(), ...[...introduced.values()].map(({contact}) => contact)]
				.filter(other => other.domain === host.domain && other.host !== host.host)
				.toSorted((left, right) => left.host < right.host ? -1 : 1);
			const leader = findLeaderOf(host.domain);
			return selectDistinct(leader ? [leader, ...others] : others).slice(0, MAX_NAMED_HOSTS).map(createContact);
		},
	};
}

function selectDistinct(hosts: readonly HostContact[]): readonly HostContact[] {
	return [...new Map(hosts.toReversed().map(contact => [contact.host, contact] as const)).values()].toReversed();
}

function createContact({host, incarnation, domain, address, port}: HostContact): HostContact {
	return {
		host, incarnation, domain, address, port,
	};
}
