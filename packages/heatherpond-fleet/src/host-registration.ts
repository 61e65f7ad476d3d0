/**
 * Maintains the registrations of hosts, so that promotions wait for their confirmations, and reads the list of registered
 * hosts. The domain leader registers all hosts of its failure domain from which it receives reports, in transactions of many
 * hosts, and notifies them; a host that is not notified in time registers itself. A host whose registration has expired
 * relies on no lease.
 */
import {
	startLoop, type Deadline, type Instant, type Loop,
} from 'heatherpond-core';
import {registerSuspensionListener} from './fleet-state.js';
import {applyRemoteDomainHosts} from './host-list.js';
import type {RegistrationUpdate} from './host-message.js';
import {STARTUP_REFRESHES, type HostRegistrationOptions, type Registration} from './host-registration-state.js';
import {findNextPoll, PEER_POLL_INTERVAL_MS} from './poll-schedule.js';
import {applyRefresh, updateRegistrations} from './registration-refresh.js';

/** Handle of the running registration of this host. */
export type HostRegistration = {
	/** Applies the notification that another host has refreshed registrations. */
	readonly applyRegistrationUpdate: (news: RegistrationUpdate) => void;
	/** Registers domain peers that have just started; peers that start at about the same time share one transaction. */
	readonly registerNewPeers: () => void;
};

/** Milliseconds between refreshes by the domain leader. */
const REFRESH_INTERVAL_MS = 2500;
/** Bounds of the delay after a failed refresh in milliseconds; it doubles with each consecutive failure. */
const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 600;
/** Remaining validity in milliseconds at which a host that was not notified of a refresh refreshes its own registration. */
const SELF_REFRESH_THRESHOLD_MS = 2200;
/** Milliseconds between the initial refreshes. */
const STARTUP_REFRESH_INTERVAL_MS = 500;
/** Milliseconds that a domain leader waits for more peers that have just started. */
const NEW_PEERS_DELAY_MS = 60;
/** Milliseconds after its start for which a host with a domain leader waits to be registered by it. */
const STARTUP_GRACE_MS = 1200;

/** Starts to refresh the registration periodically, until the signal aborts. */
export function startHostRegistration(options: HostRegistrationOptions): HostRegistration {
	const {services: {blackboard, clock}, signal} = options;
	const startedAt = clock.readNow();
	const registration: Registration = {
		...options, refreshes: 0, failures: 0, nextRefreshAt: startedAt, newPeersDueAt: Number.POSITIVE_INFINITY, listReadAt: Number.NEGATIVE_INFINITY, versions: new Map(), nextRemoteHost: 0, startedAt,
	};
	let loop: Loop | undefined;
	void options.waitUntilDiscovered().then(() => {
		loop = startLoop(clock, async () => runCheck(registration), signal);
	});
	const stopListening = registerSuspensionListener(blackboard, () => {
		registration.nextRefreshAt = clock.readNow();
		registration.listReadAt = Number.NEGATIVE_INFINITY;
		loop?.wake();
	});
	signal.addEventListener('abort', stopListening, {once: true});
	return {
		applyRegistrationUpdate({runs, farHosts, era = 0}) {
			blackboard.update(state => applyRemoteDomainHosts(state, farHosts));
			// A registration of an earlier era of the store may be lost.
			const isCurrent = era === (blackboard.read().storeEra ?? 0);
			(isCurrent ? runs : []).forEach(run => {
				const sentAt = options.findSentAt(run);
				if (sentAt !== undefined) {
					applyRefresh(options.services, sentAt);
					blackboard.update(state => ({...state, arePeersKnown: true}));
				}
			});
		},
		registerNewPeers() {
			if (options.findDomainLeader() === undefined && registration.failures === 0) {
				registration.newPeersDueAt = Math.min(registration.newPeersDueAt, clock.readNow() + NEW_PEERS_DELAY_MS);
				loop?.wake();
			}
		},
	};
}

/** Refreshes registrations if that is due; resolves to when to check again. */
async function runCheck(registration: Registration): Promise<Deadline> {
	const {services: {clock, blackboard}} = registration;
	const isDue = clock.readNow() >= readNextRefresh(registration) && isRefreshDue(registration);
	if (!blackboard.read().isStopping && isDue) {
		await runRefresh(registration);
	}

	return findNextCheck(registration);
}

/** Finds the next instant at which a refresh may be due; without a pending refresh it is checked at intervals. */
function findNextCheck(registration: Registration): Instant {
	const now = registration.services.clock.readNow();
	const nextRefreshAt = readNextRefresh(registration);
	const nextCheckAt = findNextPoll(now, PEER_POLL_INTERVAL_MS, registration.pollPhase);
	return nextRefreshAt > now ? Math.min(nextRefreshAt, nextCheckAt) : nextCheckAt;
}

function readNextRefresh({nextRefreshAt, newPeersDueAt}: Registration): Instant {
	return Math.min(nextRefreshAt, newPeersDueAt);
}

/** A host that the domain leader registers refreshes its registration itself only shortly before it expires. */
function isRefreshDue({services: {clock, blackboard}, findDomainLeader, startedAt}: Registration): boolean {
	if (findDomainLeader() === undefined) {
		return true;
	}

	const now = clock.readNow();
	const {registeredUntil, restoredAt} = blackboard.read();
	return now >= Math.max(startedAt, restoredAt) + STARTUP_GRACE_MS && registeredUntil <= now + SELF_REFRESH_THRESHOLD_MS;
}

async function runRefresh(registration: Registration): Promise<void> {
	const {services: {clock}} = registration;
	const startedAt = clock.readNow();
	registration.newPeersDueAt = Number.POSITIVE_INFINITY;
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
