/**
 * Maintains the registrations of hosts, so that promotions wait for their confirmations, and reads the list of registered
 * hosts. The domain leader refreshes the registrations of all hosts of its failure domain from which it receives reports,
 * in one transaction, and notifies them; a host that is not notified in time refreshes its own registration. A host whose
 * registration has expired relies on no lease.
 */
import {waitUntil, type Instant} from 'heatherpond-core';
import type {FindDomainLeader} from './domain-leader.js';
import {HOSTS_TABLE, type HostRecord} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import {applyRemoteDomainHosts, applyHostContact, readHosts} from './host-list.js';
import type {RegisteredIncarnation, RegistrationUpdate} from './host-messages.js';
import {REGISTRATION_MS} from './promotion-decisions.js';
import {StoreError, type TablePage} from './store-port.js';
import type {ReceivedReport} from './usage-exchange.js';

/** Dependencies of the registration. */
export type HostRegistrationOptions = {
	readonly services: FleetServices;
	/** Finds the domain leader; nothing when this host is the leader. */
	readonly findDomainLeader: FindDomainLeader;
	/** The latest usage reports of the domain peers. */
	readonly readReceivedReports: () => readonly ReceivedReport[];
	/** Finds when this host sent a given usage report. */
	readonly findSentAt: (run: RegisteredIncarnation) => Instant | undefined;
	/** Notifies the domain peers which registrations were refreshed, and which hosts exist in other failure domains. */
	readonly sendRegistered: (news: RegistrationUpdate) => void;
	readonly signal: AbortSignal;
};

/** Handle of the running registration of this host. */
export type HostRegistration = {
	/** Applies the notification that another host has refreshed registrations. */
	readonly applyRegistrationUpdate: (news: RegistrationUpdate) => void;
};

/** Milliseconds between refreshes by the domain leader. */
const REFRESH_INTERVAL_MS = 2500;
/** Bounds of the delay after a failed refresh in milliseconds; it doubles with each consecutive failure. */
const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 600;
/** Remaining validity in milliseconds at which a host that was not notified of a refresh refreshes its own registration. */
const SELF_REFRESH_THRESHOLD_MS = 2200;
/** Milliseconds between reads of the list of hosts. */
const LIST_READ_INTERVAL_MS = 12_000;
/** Number of initial refreshes that each read the list, because hosts often start at the same time. */
const STARTUP_REFRESHES = 2;
/** Milliseconds between the initial refreshes. */
const STARTUP_REFRESH_INTERVAL_MS = 500;
/** Milliseconds between checks whether a refresh is due. */
const CHECK_INTERVAL_MS = 100;
/** Milliseconds within which the store must respond. */
const STORE_TIMEOUT_MS = 900;
/** Maximum number of hosts of other failure domains in one notification. */
const REMOTE_HOSTS_PER_MESSAGE = 20;
/** Milliseconds of the store's clock for which the row of a host that no longer refreshes its registration is retained. */
const EXPIRED_ROW_RETENTION_MS = 60_000;

type Registration = HostRegistrationOptions & {
	/** Number of successful refreshes. */
	refreshes: number;
	/** Number of consecutive failed refreshes. */
	failures: number;
	nextRefreshAt: Instant;
	listReadAt: Instant;
	/** Row versions by host, as last read or written, so that a delayed write cannot overwrite a newer registration. */
	versions: ReadonlyMap<string, number>;
	/** Index of the next host of another failure domain to include in a notification. */
	nextRemoteHost: number;
};

/** Starts to refresh the registration periodically, until the signal aborts. */
export function startHostRegistration(options: HostRegistrationOptions): HostRegistration {
	const registration: Registration = {
		...options, refreshes: 0, failures: 0, nextRefreshAt: options.services.clock.readNow(), listReadAt: Number.NEGATIVE_INFINITY, versions: new Map(), nextRemoteHost: 0,
	};
	void runRegistration(registration);
	return {
		applyRegistrationUpdate({runs, farHosts}) {
			const {blackboard, clock} = options.services;
			blackboard.update(state => applyRemoteDomainHosts(state, farHosts));
			// After a suspension the send times of earlier reports are invalid; the host has to register itself.
			const isRegistered = blackboard.read().registeredUntil > clock.readNow();
			runs.forEach(run => {
				const sentAt = options.findSentAt(run);
				if (isRegistered && sentAt !== undefined) {
					applyRefresh(options.services, sentAt);
				}
			});
		},
	};
}

async function runRegistration(registration: Registration): Promise<void> {
	const {services: {clock, blackboard}, signal} = registration;
	while (!signal.aborted) {
		if (!blackboard.read().isStopping && isRefreshDue(registration)) {
			await runRefresh(registration);
		}

		await waitUntil(clock, Math.max(clock.readNow() + CHECK_INTERVAL_MS, registration.nextRefreshAt), signal);
	}
}

/** A host that the domain leader registers refreshes its registration itself only shortly before it expires. */
function isRefreshDue({services: {clock, blackboard}, findDomainLeader, refreshes}: Registration): boolean {
	const isStarting = refreshes < STARTUP_REFRESHES;
	const {registeredUntil, hasUnknownHosts, primacyVerifiedAt} = blackboard.read();
	const isLate = registeredUntil <= clock.readNow() + SELF_REFRESH_THRESHOLD_MS;
	return isStarting || isLate || hasUnknownHosts || !Number.isFinite(primacyVerifiedAt) || findDomainLeader() === undefined;
}

async function runRefresh(registration: Registration): Promise<void> {
	const {services: {clock}} = registration;
	const startedAt = clock.readNow();
	const isRefreshed = await updateRegistrations(registration);
	registration.refreshes += isRefreshed ? 1 : 0;
	registration.failures = isRefreshed ? 0 : registration.failures + 1;
	registration.nextRefreshAt = startedAt + readRefreshDelay(registration);
}

function readRefreshDelay({refreshes, failures}: Registration): number {
	if (failures > 0) {
		return Math.min(MAX_RETRY_MS, MIN_RETRY_MS * (2 ** (failures - 1)));
	}

	return refreshes < STARTUP_REFRESHES ? STARTUP_REFRESH_INTERVAL_MS : REFRESH_INTERVAL_MS;
}

/** Removes the registration, so that promotions no longer wait for this host. The host must have stopped relying on leases. */
export async function removeRegistration({store, clock, identity, writeEvent}: FleetServices): Promise<void> {
	try {
		const page = await store.readTable(HOSTS_TABLE, clock.readNow() + STORE_TIMEOUT_MS);
		const row = {table: HOSTS_TABLE, key: identity.host};
		// A new incarnation of this host may register between this read and the write.
		const version = page.rows.find(({key}) => key === identity.host)?.version;
		if (version !== undefined && readHosts(page).get(identity.host)?.incarnation === identity.incarnation) {
			await store.writeRows({expected: [{...row, version}], puts: [], removed: [row]}, clock.readNow() + STORE_TIMEOUT_MS);
		}
	} catch (error) {
		// The registration expires on its own.
		writeEvent('unregister_failed', {reason: String(error)});
	}
}

async function updateRegistrations(registration: Registration): Promise<boolean> {
	const {services, findDomainLeader, sendRegistered} = registration;
	const {clock, store, identity, blackboard, writeEvent} = services;
	const {host, incarnation, domain, address, port} = identity;
	try {
		const sentAt = clock.readNow();
		const page = isListDue(registration) ? await readList(registration) : undefined;
		const hosts = page ? readHosts(page) : blackboard.read().hosts;
		const offset = page ? page.storeNow - sentAt : blackboard.read().storeClockOffset;
		const record: HostRecord = {
			host, incarnation, domain, address, port, refreshedAt: Math.floor(sentAt + offset),
		};
		const peers = findDomainLeader() === undefined ? findPeersToRefresh(registration, hosts) : [];
		const peerRecords = peers.map(({known, heard}) => ({...known, refreshedAt: Math.floor(heard.receivedAt + offset)}));
		const expired = [...hosts.values()].filter(other => other.refreshedAt + EXPIRED_ROW_RETENTION_MS < sentAt + offset && other.host !== host);
		const records = [record, ...peerRecords];
		const result = await store.writeRows({
			expected: records.map(put => ({table: HOSTS_TABLE, key: put.host, version: registration.versions.get(put.host) ?? 0})),
			puts: records.map(put => ({table: HOSTS_TABLE, key: put.host, value: JSON.stringify(put)})),
			removed: expired.map(other => ({table: HOSTS_TABLE, key: other.host})),
		}, clock.readNow() + STORE_TIMEOUT_MS);
		if (result.kind === 'conflict') {
			registration.listReadAt = Number.NEGATIVE_INFINITY;
		} else {
			registration.versions = new Map([...registration.versions, ...records.map(put => [put.host, result.version] as const)]);
			blackboard.update(state => ({...state, hosts: new Map([...hosts, ...records.map(put => [put.host, put] as const)]), hasUnknownHosts: false}));
			applyRefresh(services, sentAt);
			if (peers.length > 0) {
				sendRegistered({runs: peers.map(({heard: {report}}) => ({incarnation: report.incarnation, sequence: report.sequence})), farHosts: selectRemoteHosts(registration, hosts)});
			}
		}

		return result.kind === 'done';
	} catch (error) {
		if (!(error instanceof StoreError)) {
			throw error;
		}

		writeEvent('register_failed', {reason: error.message});
		return false;
	}
}

/** A host that the domain leader registers does not know the current row versions and reads the list before each refresh. */
function isListDue({services: {clock, blackboard}, findDomainLeader, refreshes, listReadAt}: Registration): boolean {
	const {hasUnknownHosts, hosts, primacyVerifiedAt} = blackboard.read();
	return refreshes < STARTUP_REFRESHES || findDomainLeader() !== undefined || hasUnknownHosts || hosts.size === 0 || !Number.isFinite(primacyVerifiedAt)
		|| clock.readNow() >= listReadAt + LIST_READ_INTERVAL_MS;
}

async function readList(registration: Registration): Promise<TablePage> {
	const {clock, store} = registration.services;
	const sentAt = clock.readNow();
	const page = await store.readTable(HOSTS_TABLE, sentAt + STORE_TIMEOUT_MS);
	registration.listReadAt = sentAt;
	registration.versions = new Map(page.rows.map(({key, version}) => [key, version]));
	return page;
}

/** Finds the domain peers that send reports and have registered their current incarnation. */
function findPeersToRefresh({readReceivedReports}: Registration, hosts: ReadonlyMap<string, HostRecord>): ReadonlyArray<{readonly known: HostRecord; readonly heard: ReceivedReport}> {
	return readReceivedReports().flatMap(heard => {
		const known = hosts.get(heard.report.host);
		return known?.incarnation === heard.report.incarnation ? [{known, heard}] : [];
	});
}

/** Selects the next hosts of other failure domains in rotation, so that notifications cover all of them over time. */
function selectRemoteHosts(registration: Registration, hosts: ReadonlyMap<string, HostRecord>): HostRecord[] {
	const remoteHosts = [...hosts.values()].filter(({domain}) => domain !== registration.services.identity.domain);
	const firstIndex = registration.nextRemoteHost < remoteHosts.length ? registration.nextRemoteHost : 0;
	registration.nextRemoteHost = firstIndex + REMOTE_HOSTS_PER_MESSAGE;
	return remoteHosts.slice(firstIndex, firstIndex + REMOTE_HOSTS_PER_MESSAGE);
}

/** Extends the registration of this host after the store has accepted a refresh that was requested at `refreshedAt`. */
function applyRefresh({blackboard, clock, writeEvent, refreshFleet, identity}: FleetServices, refreshedAt: Instant): void {
	const now = clock.readNow();
	const isFirst = blackboard.read().registeredUntil <= now;
	blackboard.update(state => ({
		...applyHostContact(state, identity.host, refreshedAt),
		registeredUntil: Math.max(state.registeredUntil, refreshedAt + REGISTRATION_MS),
		registeredAt: isFirst ? now : state.registeredAt,
	}));
	if (isFirst) {
		writeEvent('host_registered', {host: identity.host, incarnation: identity.incarnation, hosts: blackboard.read().hosts.size});
		refreshFleet();
	}
}
