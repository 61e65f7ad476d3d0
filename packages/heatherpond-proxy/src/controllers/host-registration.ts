/** Keeps this host registered in the log and in the platform's host list, and removes registrations of dead hosts. */
import {
	decideReportInterval, findDeadHosts, isRegistered, PortError, runPeriodically, type HostRecord, type ListedHost,
} from 'heatherpond-core';
import type {HostContext} from '../wiring/host-context.js';
import {readLogOnce} from './log-follower.js';

const REGISTRATION_INTERVAL_MS = 200;
const APPEND_TIMEOUT_MS = 5000;
const LIST_TIMEOUT_MS = 5000;

/**
 * Tries once to append this host's registration. Resolves with whether the log then contains this incarnation of the
 * host.
 */
export async function registerHost(context: HostContext): Promise<boolean> {
	const {blackboard, platform, clock, signal, identity} = context;
	const {host, incarnation, domain, peerAddress} = identity;
	const {version} = blackboard.read().view;
	await runIgnoringPortErrors(async () => {
		await platform.appendEntry({
			operationId: `register-${incarnation}-${version}`,
			author: host,
			change: {
				kind: 'hostRegistered', host, incarnation, domain, peerAddress,
			},
		}, version, {deadline: clock.readNow() + APPEND_TIMEOUT_MS, signal});
	});
	await readLogOnce(context);
	return isRegistered(blackboard.read().view, host, incarnation);
}

/** Starts maintaining the registration. A host that was removed by mistake while running registers again. */
export function startRegistration(context: HostContext): void {
	const {blackboard, clock, signal, identity} = context;
	void runPeriodically(clock, REGISTRATION_INTERVAL_MS, async () => {
		const {view, phase} = blackboard.read();
		if (phase === 'starting' || phase === 'serving') {
			await (isRegistered(view, identity.host, identity.incarnation) ? undefined : registerHost(context));
		}
	}, signal);
	void runPeriodically(clock, () => decideReportInterval(Object.keys(blackboard.read().view.hosts).length), async () => {
		await runIgnoringPortErrors(async () => {
			await sendHostReport(context);
			await removeDeadHost(context);
		});
	}, signal);
}

/** Reports to the platform whether this host is running or shutting down. */
export async function sendHostReport({blackboard, platform, clock, signal, identity}: HostContext): Promise<void> {
	const {phase} = blackboard.read();
	const state: ListedHost['state'] = phase === 'starting' || phase === 'serving' ? 'live' : 'leaving';
	const {host, domain, peerAddress} = identity;
	await platform.reportHost({
		host, domain, peerAddress, state,
	}, {deadline: clock.readNow() + LIST_TIMEOUT_MS, signal});
}

/** Reports the shutdown of this host to the platform. Errors of the platform are ignored. */
export async function sendDepartureReport(context: HostContext): Promise<void> {
	await runIgnoringPortErrors(async () => {
		await sendHostReport(context);
	});
}

/**
 * Removes this host's own registration once it no longer uses its shares, so that no other host has to wait for its
 * leases. If the platform does not respond, the other hosts remove the registration later and wait for the leases.
 */
export async function removeOwnRegistration(context: HostContext): Promise<void> {
	const {blackboard, identity} = context;
	blackboard.update(state => ({...state, phase: 'stopped'}));
	const record = blackboard.read().view.hosts[identity.host];
	if (record?.incarnation === identity.incarnation) {
		await runIgnoringPortErrors(async () => {
			await appendHostRemoval(context, record);
		});
	}
}

/** Appends the removal of a host's registration. Whether the entry was accepted becomes visible in the log. */
export async function appendHostRemoval({blackboard, platform, clock, signal, identity}: HostContext, record: HostRecord): Promise<void> {
	const {version} = blackboard.read().view;
	await platform.appendEntry({
		operationId: `remove-${record.incarnation}-${record.version}-${identity.incarnation}`,
		author: identity.host,
		change: {kind: 'hostRemoved', host: record.host, incarnation: record.incarnation},
	}, version, {deadline: clock.readNow() + APPEND_TIMEOUT_MS, signal});
}

/** Removes the first host that both this host and the platform's list consider dead. */
async function removeDeadHost(context: HostContext): Promise<void> {
	const {blackboard, platform, clock, signal, identity, recordEvent} = context;
	const suspected = findDeadHosts({
		...blackboard.read(), host: identity.host, listed: [], now: clock.readNow(),
	});
	// The list grows with the fleet, so it is read only when a peer is unresponsive.
	if (suspected.length === 0) {
		return;
	}

	const listed = await platform.readHosts({deadline: clock.readNow() + LIST_TIMEOUT_MS, signal});
	const {view, peers} = blackboard.read();
	const [dead] = findDeadHosts({
		view, host: identity.host, peers, listed, now: clock.readNow(),
	});
	if (dead) {
		recordEvent('peerLost', {peer: dead.host, step: 'remove'});
		await appendHostRemoval(context, dead);
	}
}

/** Runs a call whose failure needs no handling, because the next periodic run repeats it or other hosts make up for it. */
async function runIgnoringPortErrors(call: () => Promise<void>): Promise<void> {
	try {
		await call();
	} catch (error) {
		if (!(error instanceof PortError)) {
			throw error;
		}
	}
}
