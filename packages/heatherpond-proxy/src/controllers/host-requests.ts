/** Requests to other hosts during promotions: their assessment of a group, and their promise to stop using an old lease. */
import {
	applyFence, decideAgreement, decideLeaseHolders, hasEndedLeases, PortError, readLeaseWaitMs, waitUntil,
	type AnnouncedContext, type Announcement, type GroupAssessment, type LeaseHolder, type ViewResponse, type ViewRequest,
} from 'heatherpond-core';
import type {PromotionOptions} from './promotion-options.js';

/** Host to which requests can be sent. */
type RequestTarget = LeaseHolder & {readonly peerAddress: string; readonly version: number};

const REQUEST_TIMEOUT_MS = 200;
const RETRY_INTERVAL_MS = 20;

/** Requests a host's view of a group. Resolves with `undefined` if the host does not respond in time. */
export async function requestView({hosts, clock, signal}: PromotionOptions, host: {readonly peerAddress: string}, request: ViewRequest): Promise<ViewResponse | undefined> {
	try {
		return await hosts.askView(host.peerAddress, request, {deadline: clock.readNow() + REQUEST_TIMEOUT_MS, signal});
	} catch (error) {
		if (error instanceof PortError) {
			return undefined;
		}

		throw error;
	}
}

/**
 * Creates a request about a group.
 *
 * @param fenceTerm - term below which the host is to use no lease any more; 0 requests no such promise
 */
export function createViewRequest({identity, blackboard}: PromotionOptions, group: string, fenceTerm: number): ViewRequest {
	return {
		host: identity.host, group, version: blackboard.read().view.version, fenceTerm,
	};
}

/** Returns all other hosts that are registered in the log. */
export function collectOtherHosts({identity, blackboard}: PromotionOptions): readonly RequestTarget[] {
	return Object.values(blackboard.read().view.hosts).filter(host => host.host !== identity.host);
}

/**
 * Asks the other monitors of a group, which span the failure domains, whether they agree that its primary must be
 * replaced.
 */
export async function requestAgreement(options: PromotionOptions, group: string, own: GroupAssessment): Promise<boolean> {
	const assessments: GroupAssessment[] = [];
	const request = createViewRequest(options, group, 0);
	let handleAgreement: () => void = () => undefined;
	const agreed = new Promise<void>(resolve => {
		handleAgreement = resolve;
	});
	const responses = findOtherMonitors(options, group).map(async monitor => {
		const response = await requestView(options, monitor, request);
		if (response) {
			assessments.push(response);
		}

		if (response?.suspicion && response.domain !== own.domain && own.suspicion !== 'unreachable') {
			handleAgreement();
		}
	});
	await Promise.race([agreed, Promise.all(responses)]);
	return decideAgreement(own, assessments);
}

/** Returns the other hosts that monitor a group. Hosts that do not monitor it probe it too rarely to assess its primary. */
function findOtherMonitors(options: PromotionOptions, group: string): readonly RequestTarget[] {
	const monitors = new Set(options.monitors.findMonitors(group));
	return collectOtherHosts(options).filter(host => monitors.has(host.host));
}

/**
 * Waits until no host can hold a lease on a term below the announced one. The wait counts from the time this host
 * learned of the first open promotion of the group, so a takeover continues the wait of the previous promoter.
 */
export async function waitForLeaseExpiry(options: PromotionOptions, {order, announcement}: AnnouncedContext, signal: AbortSignal): Promise<void> {
	const {clock, identity, primacy, timings} = options;
	const confirmed: LeaseHolder[] = [identity];
	const knownAt = Math.min(announcement.knownAt, primacy.read().open[order.group]?.openSince ?? announcement.knownAt);
	const leaseEnd = knownAt + readLeaseWaitMs(timings.termLeaseMs);
	primacy.update(state => applyFence(state, order.group, announcement.term));

	function hasEnded(): boolean {
		return hasEndedLeases({
			knownAt, now: clock.readNow(), termLeaseMs: timings.termLeaseMs, holders: findLeaseHolders(options, announcement), confirmed,
		});
	}

	async function requestPromise(host: RequestTarget): Promise<void> {
		const response = await requestView(options, host, {...createViewRequest(options, order.group, announcement.term), version: announcement.version});
		if (response && (response.fencedTerm >= announcement.term || response.version >= announcement.version)) {
			confirmed.push(response);
		}
	}

	while (!hasEnded() && !signal.aborted) {
		const pending = (findLeaseHolders(options, announcement) ?? collectOtherHosts(options)).filter(host => !confirmed.some(known => known.incarnation === host.incarnation));
		await Promise.race([Promise.all(pending.map(requestPromise)), waitUntil(clock, leaseEnd, signal)]);
		await (!hasEnded() && waitUntil(clock, Math.min(leaseEnd, clock.readNow() + RETRY_INTERVAL_MS), signal));
	}
}

/**
 * Returns the hosts that may still hold a lease, or `undefined` if they cannot be determined. A host that registered
 * after the announcement is left out: its first view already contains the announcement.
 */
function findLeaseHolders({primacy, blackboard, clock, timings}: PromotionOptions, {version}: Announcement): readonly RequestTarget[] | undefined {
	const {former, followedSince} = primacy.read();
	const holders = decideLeaseHolders<RequestTarget>({
		registered: Object.values(blackboard.read().view.hosts), former, followedSince, now: clock.readNow(), termLeaseMs: timings.termLeaseMs,
	});
	return holders?.filter(holder => holder.version < version);
}

/** Notifies the other hosts of a new log version, so that they read the log immediately. Does not wait for responses. */
export function notifyHosts(options: PromotionOptions, group: string): void {
	const request = createViewRequest(options, group, 0);
	collectOtherHosts(options).forEach(host => {
		void requestView(options, host, request);
	});
}
