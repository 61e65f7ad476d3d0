/**
 * Keeps the hosts registered, so that promotions wait for their confirmations, and reads which other hosts are. The host
 * that reads the store for its failure domain refreshes the registrations of all hosts that it hears, in one transaction,
 * and tells them; a host that is not told in time refreshes its own. A host whose registration has not been refreshed in
 * time relies on no lease.
 */
import {waitUntil, type Instant} from 'heatherpond-core';
import type {FindReader} from './domain-reader.js';
import {HOSTS_TABLE, type HostRecord} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import {applyFarHosts, applyHeardHost, readHosts} from './host-list.js';
import type {RegisteredRun, RegistrationNews} from './host-messages.js';
import {REGISTRATION_MS} from './promotion-choices.js';
import {StoreError, type TablePage} from './store-port.js';
import type {HeardReport} from './usage-exchange.js';

/** What the registration of a failure domain needs. */
export type HostRegistrationOptions = {
	readonly services: FleetServices;
	readonly findReader: FindReader;
	/** The last reports of the other hosts of the failure domain that are heard. */
	readonly readHeardReports: () => readonly HeardReport[];
	/** Finds when this host sent a report of its own. */
	readonly findSentAt: (run: RegisteredRun) => Instant | undefined;
	/** Tells the hosts of the failure domain whose registrations were refreshed, and which hosts there are elsewhere. */
	readonly sendRegistered: (news: RegistrationNews) => void;
	readonly signal: AbortSignal;
};

/** The registration of one host. */
export type HostRegistration = {
	/** Takes note that another host has refreshed registrations. */
	readonly applyRegistered: (news: RegistrationNews) => void;
};

/** Milliseconds between two refreshes by the host that refreshes for its failure domain. */
const REFRESH_MS = 2500;
/** Bounds of the pause after a refresh that failed, in milliseconds; it doubles with each one. */
const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 600;
/** Milliseconds that a registration still has when a host that was not told of a newer one refreshes its own. */
const OWN_REFRESH_LEFT_MS = 2200;
/** Milliseconds after which the list of other hosts is read again. */
const READ_AGAIN_MS = 12_000;
/** First refreshes, which read the list each time, and milliseconds between them: hosts often start together. */
const STARTING_REFRESHES = 2;
const STARTING_MS = 500;
/** Milliseconds between two looks at whether a refresh is due. */
const STEP_MS = 100;
/** Milliseconds within which the store must answer. */
const CALL_TIMEOUT_MS = 900;
/** Hosts of other failure domains that are told at once. */
const FAR_HOSTS_TOLD = 20;
/** Milliseconds for which rows of hosts that are gone are kept, by the store's clock. */
const KEEP_GONE_MS = 60_000;

type Registration = HostRegistrationOptions & {
	refreshes: number;
	/** Refreshes that have failed one after the other. */
	failures: number;
	nextRefreshAt: Instant;
	listReadAt: Instant;
	/** Versions of the rows by host, as last read or written; a call that is carried out late must not undo a newer one. */
	versions: ReadonlyMap<string, number>;
	/** Hosts of other failure domains that the own one was told of since the first. */
	farHostsTold: number;
};

/** Registers the host again and again until the signal aborts. */
export function startHostRegistration(options: HostRegistrationOptions): HostRegistration {
	const registration: Registration = {
		...options, refreshes: 0, failures: 0, nextRefreshAt: options.services.clock.readNow(), listReadAt: Number.NEGATIVE_INFINITY, versions: new Map(), farHostsTold: 0,
	};
	void runRegistration(registration);
	return {
		applyRegistered({runs, farHosts}) {
			const {blackboard, clock} = options.services;
			blackboard.update(state => applyFarHosts(state, farHosts));
			// After a suspension the instants of earlier reports mean nothing; the host has to register itself.
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

		await waitUntil(clock, Math.max(clock.readNow() + STEP_MS, registration.nextRefreshAt), signal);
	}
}

/** A host that is registered by another waits for it as long as it can. */
function isRefreshDue({services: {clock, blackboard}, findReader, refreshes}: Registration): boolean {
	const isStarting = refreshes < STARTING_REFRESHES;
	const {registeredUntil, hasUnknownHosts, primacyVerifiedAt} = blackboard.read();
	const isLate = registeredUntil <= clock.readNow() + OWN_REFRESH_LEFT_MS;
	return isStarting || isLate || hasUnknownHosts || !Number.isFinite(primacyVerifiedAt) || findReader() === undefined;
}

async function runRefresh(registration: Registration): Promise<void> {
	const {services: {clock}} = registration;
	const startedAt = clock.readNow();
	const isRefreshed = await updateRegistrations(registration);
	registration.refreshes += isRefreshed ? 1 : 0;
	registration.failures = isRefreshed ? 0 : registration.failures + 1;
	registration.nextRefreshAt = startedAt + readPause(registration);
}

function readPause({refreshes, failures}: Registration): number {
	if (failures > 0) {
		return Math.min(MAX_RETRY_MS, MIN_RETRY_MS * (2 ** (failures - 1)));
	}

	return refreshes < STARTING_REFRESHES ? STARTING_MS : REFRESH_MS;
}

/** Takes the host off the list; promotions no longer wait for it. It must not rely on leases any more. */
export async function removeRegistration({store, clock, identity, writeEvent}: FleetServices): Promise<void> {
	try {
		const page = await store.readTable(HOSTS_TABLE, clock.readNow() + CALL_TIMEOUT_MS);
		const row = {table: HOSTS_TABLE, key: identity.host};
		// Another run of this host may have registered itself before the call is carried out.
		const version = page.rows.find(({key}) => key === identity.host)?.version;
		if (version !== undefined && readHosts(page).get(identity.host)?.incarnation === identity.incarnation) {
			await store.writeRows({expected: [{...row, version}], puts: [], removed: [row]}, clock.readNow() + CALL_TIMEOUT_MS);
		}
	} catch (error) {
		// The row is forgotten by its age.
		writeEvent('unregister_failed', {reason: String(error)});
	}
}

async function updateRegistrations(registration: Registration): Promise<boolean> {
	const {services, findReader, sendRegistered} = registration;
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
		const mates = findReader() === undefined ? findMatesToRefresh(registration, hosts) : [];
		const mateRecords = mates.map(({known, heard}) => ({...known, refreshedAt: Math.floor(heard.heardAt + offset)}));
		const gone = [...hosts.values()].filter(other => other.refreshedAt + KEEP_GONE_MS < sentAt + offset && other.host !== host);
		const records = [record, ...mateRecords];
		const end = await store.writeRows({
			expected: records.map(put => ({table: HOSTS_TABLE, key: put.host, version: registration.versions.get(put.host) ?? 0})),
			puts: records.map(put => ({table: HOSTS_TABLE, key: put.host, value: JSON.stringify(put)})),
			removed: gone.map(other => ({table: HOSTS_TABLE, key: other.host})),
		}, clock.readNow() + CALL_TIMEOUT_MS);
		if (end.kind === 'conflict') {
			registration.listReadAt = Number.NEGATIVE_INFINITY;
		} else {
			registration.versions = new Map([...registration.versions, ...records.map(put => [put.host, end.version] as const)]);
			blackboard.update(state => ({...state, hosts: new Map([...hosts, ...records.map(put => [put.host, put] as const)]), hasUnknownHosts: false}));
			applyRefresh(services, sentAt);
			if (mates.length > 0) {
				sendRegistered({runs: mates.map(({heard: {report}}) => ({incarnation: report.incarnation, sequence: report.sequence})), farHosts: takeFarHosts(registration, hosts)});
			}
		}

		return end.kind === 'done';
	} catch (error) {
		if (!(error instanceof StoreError)) {
			throw error;
		}

		writeEvent('register_failed', {reason: error.message});
		return false;
	}
}

/** A host that does not refresh its registration again and again knows the versions of none. */
function isListDue({services: {clock, blackboard}, findReader, refreshes, listReadAt}: Registration): boolean {
	const {hasUnknownHosts, hosts, primacyVerifiedAt} = blackboard.read();
	return refreshes < STARTING_REFRESHES || findReader() !== undefined || hasUnknownHosts || hosts.size === 0 || !Number.isFinite(primacyVerifiedAt)
		|| clock.readNow() >= listReadAt + READ_AGAIN_MS;
}

async function readList(registration: Registration): Promise<TablePage> {
	const {clock, store} = registration.services;
	const sentAt = clock.readNow();
	const page = await store.readTable(HOSTS_TABLE, sentAt + CALL_TIMEOUT_MS);
	registration.listReadAt = sentAt;
	registration.versions = new Map(page.rows.map(({key, version}) => [key, version]));
	return page;
}

/** Finds the hosts of the failure domain that are heard, as they have registered themselves when they started. */
function findMatesToRefresh({readHeardReports}: Registration, hosts: ReadonlyMap<string, HostRecord>): ReadonlyArray<{readonly known: HostRecord; readonly heard: HeardReport}> {
	return readHeardReports().flatMap(heard => {
		const known = hosts.get(heard.report.host);
		return known?.incarnation === heard.report.incarnation ? [{known, heard}] : [];
	});
}

/** Takes the next few hosts of other failure domains, so that all are told in turn. */
function takeFarHosts(registration: Registration, hosts: ReadonlyMap<string, HostRecord>): HostRecord[] {
	const far = [...hosts.values()].filter(({domain}) => domain !== registration.services.identity.domain);
	const start = registration.farHostsTold < far.length ? registration.farHostsTold : 0;
	registration.farHostsTold = start + FAR_HOSTS_TOLD;
	return far.slice(start, start + FAR_HOSTS_TOLD);
}

/** Takes note that the host's registration was refreshed as of an instant, and that the store has accepted it. */
function applyRefresh({blackboard, clock, writeEvent, refreshFleet, identity}: FleetServices, refreshedAt: Instant): void {
	const now = clock.readNow();
	const isFirst = blackboard.read().registeredUntil <= now;
	blackboard.update(state => ({
		...applyHeardHost(state, identity.host, refreshedAt),
		registeredUntil: Math.max(state.registeredUntil, refreshedAt + REGISTRATION_MS),
		registeredAt: isFirst ? now : state.registeredAt,
	}));
	if (isFirst) {
		writeEvent('host_registered', {host: identity.host, incarnation: identity.incarnation, hosts: blackboard.read().hosts.size});
		refreshFleet();
	}
}
