/** Waits until a change is in force, that is, until every registered host has applied its version. */
import {AdminError} from 'heatherpond-admin';
import {
	waitUntil, type Clock, type Deadline, type HostRecord,
} from 'heatherpond-core';
import type {FleetClient} from './fleet-client.js';

/** A host that has not applied the version yet. */
export type LaggingHost = {
	readonly host: string;
	readonly domain: string;
	/** Version that the host has applied; absent if the host did not respond. */
	readonly version?: number;
};

/** Options of the wait. */
export type WaitOptions = {
	/** Version to wait for. */
	readonly version: number;
	readonly deadline: Deadline;
	readonly clock: Clock;
	readonly signal: AbortSignal;
};

const POLL_INTERVAL_MS = 100;
const STATUS_TIMEOUT_MS = 1000;

/** Waits until the version is in force or the deadline passes; returns the hosts that have not applied it. */
export async function waitUntilInForce(fleet: FleetClient, options: WaitOptions): Promise<readonly LaggingHost[]> {
	const {clock, deadline, signal} = options;
	const view = await fleet.readView();
	let pendingHosts: readonly HostRecord[] = Object.values(view.hosts);
	let lagging: readonly LaggingHost[] = [];
	while (!signal.aborted) {
		const results = await Promise.all(pendingHosts.map(async record => findLaggingHost(fleet, record, options)));
		lagging = results.filter(result => result !== undefined);
		if (lagging.length === 0 || clock.readNow() >= deadline) {
			return lagging;
		}

		const names = new Set(lagging.map(host => host.host));
		pendingHosts = pendingHosts.filter(record => names.has(record.host));
		await waitUntil(clock, Math.min(deadline, clock.readNow() + POLL_INTERVAL_MS), signal);
	}

	return lagging;
}

async function findLaggingHost(fleet: FleetClient, {host, domain, peerAddress}: HostRecord, {clock, version}: WaitOptions): Promise<LaggingHost | undefined> {
	try {
		const status = await fleet.readStatusOf(peerAddress, clock.readNow() + STATUS_TIMEOUT_MS);
		return status.version >= version ? undefined : {host, domain, version: status.version};
	} catch (error) {
		if (error instanceof AdminError) {
			return {host, domain};
		}

		throw error;
	}
}

/** Formats a lagging host as a human-readable line. */
export function formatLaggingHost({host, domain, version}: LaggingHost): string {
	return `behind: ${host} in ${domain}, ${version === undefined ? 'no answer' : `at version ${version}`}`;
}
