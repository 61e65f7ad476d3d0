/** Obtains the host's first view, registers the host in the log, and keeps its view, stamp and registration current. */
import {PortError, waitUntil} from 'heatherpond-core';
import {registerHost, startRegistration} from '../controllers/host-registration.js';
import {readLogOnce, startLogFollower} from '../controllers/log-follower.js';
import {readSnapshotOnce} from '../controllers/snapshots.js';
import {createStampRequester, exchangeStamps} from '../controllers/peer-exchange.js';
import {startPeerHeartbeat} from '../controllers/peer-heartbeat.js';
import type {HostContext} from './host-context.js';

const START_RETRY_DELAY_MS = 100;
/** Time that the platform has to respond before the initial view is requested from peers. */
const PLATFORM_TIMEOUT_MS = 500;

/**
 * Starts membership. Resolves when the host is registered or, while the platform is down, has obtained a view from
 * peers.
 */
export async function startMembership(context: HostContext): Promise<void> {
	await Promise.race([readSnapshotOnce(context), waitUntil(context.clock, context.clock.readNow() + PLATFORM_TIMEOUT_MS, context.signal)]);
	const isPlatformUp = await readFirstView(context);
	if (isPlatformUp) {
		await registerWithRetries(context);
	}

	const requestStamp = createStampRequester(context);
	startLogFollower({...context, requestStamp});
	startPeerHeartbeat({...context, requestStamp});
	startRegistration(context);
}

async function registerWithRetries(context: HostContext): Promise<void> {
	const {clock, signal} = context;
	while (!signal.aborted && !(await registerHost(context))) {
		await waitUntil(clock, clock.readNow() + START_RETRY_DELAY_MS, signal);
	}
}

/** Waits for the first view. Resolves with whether it came from the platform. */
async function readFirstView(context: HostContext): Promise<boolean> {
	const {blackboard, clock, signal, settings} = context;
	while (!signal.aborted) {
		const isPlatformUp = await Promise.race([readLogOnce(context), waitUntil(clock, clock.readNow() + PLATFORM_TIMEOUT_MS, signal).then(() => false)]);
		if (isPlatformUp) {
			return true;
		}

		await Promise.all(settings.peers.map(async address => requestPeerStamp(context, address)));
		if (blackboard.read().view.version > 0) {
			return false;
		}

		await waitUntil(clock, clock.readNow() + START_RETRY_DELAY_MS, signal);
	}

	return false;
}

async function requestPeerStamp(context: HostContext, address: string): Promise<void> {
	try {
		await exchangeStamps(context, address);
	} catch (error) {
		if (!(error instanceof PortError)) {
			throw error;
		}
	}
}
